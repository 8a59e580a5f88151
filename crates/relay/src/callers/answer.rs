//! Answers that the node itself generates, and the body type of all answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use havengate_core::verdict::{MayHaveRun, NotRunReason};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};

use super::caller_socket::CloseMode;
use super::stream_body::StreamBody;

/// The body of an answer to a caller.
pub enum RelayBody {
    /// A body that is in memory.
    Buffered(Full<Bytes>),
    /// A body that is streamed from a back end.
    Stream(Box<StreamBody>),
}

impl RelayBody {
    /// Lets the caller's connection end by a reset until the answer is complete.
    pub fn reset_unless_complete(&mut self, close_mode: CloseMode) {
        if let RelayBody::Stream(body) = self {
            body.reset_unless_complete(close_mode);
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            RelayBody::Buffered(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            RelayBody::Stream(body) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Buffered(body) => body.is_end_stream(),
            RelayBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Buffered(body) => body.size_hint(),
            RelayBody::Stream(body) => body.size_hint(),
        }
    }
}

/// An answer that the node generates without a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalAnswer {
    /// The status.
    pub status: StatusCode,
    /// The code of the cause: the answer's body, and the cause in logs.
    pub cause: &'static str,
    /// When to retry, for requests that have not run.
    pub retry_after: Option<Duration>,
}

/// The retry delay for requests that found no capacity: long enough for a queue to shrink, short enough for callers
/// that wait only half a second.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(150);

/// The retry delay at a node that can't serve yet, or no longer serves. The retry most likely reaches another node.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(50);

impl LocalAnswer {
    /// The request has not run and never will; the answer tells the caller when to retry.
    pub fn refusal(reason: NotRunReason) -> Self {
        let retry_after = match reason {
            NotRunReason::NodeLeaving | NotRunReason::NodeSuspended => RETRY_AFTER_UNAVAILABLE,
            _ => RETRY_AFTER_BUSY,
        };
        let status = match reason {
            NotRunReason::TenantLimit => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        LocalAnswer { status, cause: reason.code(), retry_after: Some(retry_after) }
    }

    /// Like `refusal`, for a request whose retry is refused again until `wait` has passed.
    pub fn refusal_for(reason: NotRunReason, wait: Duration) -> Self {
        LocalAnswer { retry_after: Some(wait), ..LocalAnswer::refusal(reason) }
    }

    /// The outcome of the request is unknown.
    pub fn failure(reason: MayHaveRun) -> Self {
        let status = match reason {
            MayHaveRun::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        LocalAnswer { status, cause: reason.code(), retry_after: None }
    }

    /// The request is invalid for this node.
    pub fn rejection(status: StatusCode, cause: &'static str) -> Self {
        LocalAnswer { status, cause, retry_after: None }
    }

    /// The HTTP response that is sent.
    pub fn response(&self) -> Response<RelayBody> {
        let mut response = Response::new(RelayBody::Buffered(Full::new(Bytes::from_static(self.cause.as_bytes()))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
