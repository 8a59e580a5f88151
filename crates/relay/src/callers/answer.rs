//! Answers that the node gives by itself, and the body type of all answers.

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

use super::stream_body::StreamBody;

/// The body of an answer to a caller.
pub enum RelayBody {
    /// A body that is there already.
    Whole(Full<Bytes>),
    /// A body that is passed on as it comes.
    Stream(Box<StreamBody>),
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            RelayBody::Whole(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            RelayBody::Stream(body) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RelayBody::Whole(body) => body.is_end_stream(),
            RelayBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RelayBody::Whole(body) => body.size_hint(),
            RelayBody::Stream(body) => body.size_hint(),
        }
    }
}

/// An answer that no back end gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    /// The status.
    pub status: StatusCode,
    /// Why, in a word: the answer's body, and the cause in logs.
    pub cause: &'static str,
    /// When to come back, for requests that have not run.
    pub retry_after: Option<Duration>,
}

/// Callers whose request found no room come back after this time: long enough for a queue to move, short enough to be
/// of use to those who wait for half a second only.
const RETRY_AFTER_BUSY: Duration = Duration::from_millis(150);

/// Callers of a node that can't serve yet (or any more) come back after this time, to another node most likely.
const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(50);

impl OwnAnswer {
    /// The request has not run and never will; the caller is told when to come back.
    pub fn refusal(reason: NotRunReason) -> Self {
        let retry_after = match reason {
            NotRunReason::NodeLeaving | NotRunReason::NodeSuspended => RETRY_AFTER_UNAVAILABLE,
            _ => RETRY_AFTER_BUSY,
        };
        OwnAnswer { status: StatusCode::SERVICE_UNAVAILABLE, cause: reason.code(), retry_after: Some(retry_after) }
    }

    /// The same, for a request that is of no use before `wait` is over.
    pub fn refusal_for(reason: NotRunReason, wait: Duration) -> Self {
        OwnAnswer { retry_after: Some(wait), ..OwnAnswer::refusal(reason) }
    }

    /// The outcome of the request is not known.
    pub fn failure(reason: MayHaveRun) -> Self {
        let status = match reason {
            MayHaveRun::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        OwnAnswer { status, cause: reason.code(), retry_after: None }
    }

    /// The request is not one that the node takes.
    pub fn rejection(status: StatusCode, cause: &'static str) -> Self {
        OwnAnswer { status, cause, retry_after: None }
    }

    /// The answer as it is sent.
    pub fn response(&self) -> Response<RelayBody> {
        let mut response = Response::new(RelayBody::Whole(Full::new(Bytes::from_static(self.cause.as_bytes()))));
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
