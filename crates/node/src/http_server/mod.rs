//! An HTTP/1.1 server that streams: callers' and operators' APIs and the rehearsal's stand-ins are built on it.
//!
//! A few I/O threads read requests and write responses. Each request is handled on a worker thread of its own, so a
//! [`Handler`] may block for as long as it takes. Every limit refuses at once and says so: nobody waits without a word.
//! ADR 0008 tells why it is built on hyper directly.

mod body;
mod config;
mod connection;
mod exchange;
mod hang_up;
mod monitor;
mod refusal;
mod request;
mod response;
mod server;
mod workers;

pub use config::{HttpServerConfig, HttpServerConfigError};
pub use hang_up::{HangUp, HangUpTrigger, hang_up};
pub use hyper::header;
pub use hyper::{HeaderMap, Method, StatusCode};
pub use refusal::ServerRefusal;
pub use request::Request;
pub use response::{HungUp, Response, ResponseSender, StreamWriter};
pub use server::{DrainError, FailureWatch, HttpServer, HttpServerHandle};

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, on a worker thread of its own; it may block.
    ///
    /// Dropping `response` unanswered, or a panic, gives the client [`ServerRefusal::HandlerFailed`].
    fn handle(&self, request: Request, response: ResponseSender);

    /// The response for a request that the server refuses by itself, in the API's own form of errors.
    fn refuse(&self, refusal: ServerRefusal) -> Response {
        refusal.plain_response()
    }
}
