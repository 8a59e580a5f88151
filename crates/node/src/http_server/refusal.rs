//! Requests that the server refuses by itself.

use displaydoc::Display;
use hyper::StatusCode;

use super::response::Response;

/// Why the server refused a request. Only [`ServerRefusal::HandlerFailed`] leaves open whether the request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ServerRefusal {
    /// the body is larger than {maximum} bytes
    BodyTooLarge {
        /// The most bytes that a body may have.
        maximum: usize,
    },
    /// the body did not arrive in time
    BodyTimeout,
    /// the body can't be read
    BodyUnreadable,
    /// the head of the request did not arrive in time
    HeadTimeout,
    /// HTTP/1.1 is needed
    HttpVersion,
    /// too many request bodies are being read
    TooManyBodies,
    /// too many requests are being handled
    TooManyRequests,
    /// too many connections are open
    TooManyConnections,
    /// the request's handler failed
    HandlerFailed,
}

impl ServerRefusal {
    /// The status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            ServerRefusal::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ServerRefusal::BodyTimeout | ServerRefusal::HeadTimeout => StatusCode::REQUEST_TIMEOUT,
            ServerRefusal::BodyUnreadable => StatusCode::BAD_REQUEST,
            ServerRefusal::HttpVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            ServerRefusal::TooManyBodies | ServerRefusal::TooManyRequests | ServerRefusal::TooManyConnections => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            ServerRefusal::HandlerFailed => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The stable code for bodies and logs.
    pub fn code(self) -> &'static str {
        match self {
            ServerRefusal::BodyTooLarge { .. } => "body_too_large",
            ServerRefusal::BodyTimeout => "body_timeout",
            ServerRefusal::BodyUnreadable => "body_unreadable",
            ServerRefusal::HeadTimeout => "head_timeout",
            ServerRefusal::HttpVersion => "http_version",
            ServerRefusal::TooManyBodies => "too_many_bodies",
            ServerRefusal::TooManyRequests => "too_many_requests",
            ServerRefusal::TooManyConnections => "too_many_connections",
            ServerRefusal::HandlerFailed => "handler_failed",
        }
    }

    /// The refusal in plain text.
    pub fn plain_response(self) -> Response {
        Response::text(self.status(), format!("{self}\n"))
    }
}
