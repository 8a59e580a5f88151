//! Responses, whole or as streams, and how a handler gives them.

use displaydoc::Display;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use super::body::StreamChunk;
use super::hang_up::HangUp;

/// A whole response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The header lines; the server adds those that frame the body.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response of plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Response::typed(status, "text/plain; charset=utf-8", text.into().into_bytes())
    }

    /// A response of JSON.
    pub fn json<Content: Serialize>(status: StatusCode, content: &Content) -> Self {
        match serde_json::to_vec(content) {
            Ok(body) => Response::typed(status, "application/json", body),
            Err(error) => Response::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    /// A response of the media type `content_type`.
    pub fn typed(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Self {
        let headers = HeaderMap::from_iter([(CONTENT_TYPE, HeaderValue::from_static(content_type))]);
        Response { status, headers, body }
    }
}

/// A response as it passes from a handler's thread to its connection.
pub(super) enum Answer {
    Whole(Response),
    Stream { status: StatusCode, headers: HeaderMap, chunks: mpsc::Receiver<StreamChunk> },
}

/// Gives the response to one request. Dropped without one, the client gets an error.
pub struct ResponseSender {
    answer: oneshot::Sender<Answer>,
    hang_up: HangUp,
    chunks_maximum: usize,
}

impl ResponseSender {
    pub(super) fn new(answer: oneshot::Sender<Answer>, hang_up: HangUp, chunks_maximum: usize) -> Self {
        ResponseSender { answer, hang_up, chunks_maximum }
    }

    /// Tells whether the client has hung up, before the response as well as during it.
    pub fn hang_up(&self) -> &HangUp {
        &self.hang_up
    }

    /// Gives the whole response at once. Nothing happens if the client has hung up.
    pub fn send(self, response: Response) {
        let _ = self.answer.send(Answer::Whole(response));
    }

    /// Starts a response whose body is sent chunk by chunk, each of which leaves at once.
    pub fn stream(self, status: StatusCode, headers: HeaderMap) -> StreamWriter {
        let (sender, chunks) = mpsc::channel(self.chunks_maximum);
        let _ = self.answer.send(Answer::Stream { status, headers, chunks });
        StreamWriter { chunks: sender, hang_up: self.hang_up }
    }
}

/// Writes the body of a streamed response. Dropped before [`StreamWriter::finish`], it aborts the response.
pub struct StreamWriter {
    chunks: mpsc::Sender<StreamChunk>,
    hang_up: HangUp,
}

impl StreamWriter {
    /// Sends bytes of the body; waits while the client is too far behind.
    ///
    /// # Errors
    /// When the client has hung up, or left written bytes unread for too long.
    pub fn send(&self, bytes: Vec<u8>) -> Result<(), HungUp> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.chunks.blocking_send(StreamChunk::Data(Bytes::from(bytes))).map_err(|_| HungUp)
    }

    /// Tells whether the client has hung up.
    pub fn hang_up(&self) -> &HangUp {
        &self.hang_up
    }

    /// Ends the body: the client knows that it has all of it.
    ///
    /// # Errors
    /// When the client has hung up before.
    pub fn finish(self) -> Result<(), HungUp> {
        self.chunks.blocking_send(StreamChunk::Finish).map_err(|_| HungUp)
    }

    /// Cuts the body after what has been sent: the client can tell that it is not whole.
    pub fn abort(self) {}
}

/// the client has hung up
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct HungUp;
