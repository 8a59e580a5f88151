//! Serves callers: their connections, and each request from its head to the end of its answer.

mod answer;
mod answer_step;
mod block_step;
pub mod body_memory;
mod body_reader;
mod caller_request;
mod caller_socket;
mod candidates;
pub mod connections;
mod exchange_driver;
mod handler;
pub mod planned_stop;
mod prefill_step;
mod record;
mod resumption;
mod send_step;
mod server;
mod stream_body;
mod traffic;

pub use answer::{LocalAnswer, RelayBody};
pub use caller_request::CallerRequest;
pub use handler::handle;
pub use record::RequestRecord;
pub use server::{CallerServer, LAST_CONNECTIONS_GRACE, ServerPhase, listen};
pub use traffic::{ActiveRequests, Traffic};
