//! The body of a back end's answer, and what its end shows.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use havengate_core::answer_end::{AnswerEnd, AnswerEndJudge, Content, Framing};
use hyper::body::{Body, Incoming, SizeHint};
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};

/// Why a body can't be read to its end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// interrupted: {0}
    Interrupted(hyper::Error),
    /// larger than allowed
    TooLarge,
}

/// The body of a back end's answer.
pub struct AnswerBody {
    incoming: Incoming,
    judge: AnswerEndJudge,
    end: Option<AnswerEnd>,
}

impl AnswerBody {
    /// The body `incoming` of an answer with these headers, unread.
    pub fn new(headers: &HeaderMap, incoming: Incoming) -> Self {
        let judge = AnswerEndJudge::new(framing(headers, &incoming), content(headers));
        AnswerBody { incoming, judge, end: None }
    }

    /// How the answer marks its end.
    pub fn framing(&self) -> Framing {
        self.judge.framing()
    }

    /// What the end of the body shows; `None` before it.
    pub fn end(&self) -> Option<AnswerEnd> {
        self.end
    }

    /// The next piece; `None` at the end.
    pub fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        loop {
            match ready!(Pin::new(&mut self.incoming).poll_frame(context)) {
                None => {
                    self.end = Some(self.judge.end());
                    return Poll::Ready(Ok(None));
                }
                Some(Err(error)) => return Poll::Ready(Err(BodyError::Interrupted(error))),
                Some(Ok(frame)) => {
                    // Trailers concern only the back end's connection.
                    if let Ok(piece) = frame.into_data() {
                        self.judge.record(&piece);
                        return Poll::Ready(Ok(Some(piece)));
                    }
                }
            }
        }
    }

    /// Waits for the next piece; `None` at the end.
    ///
    /// # Errors
    /// If the answer is interrupted before.
    pub async fn piece(&mut self) -> Result<Option<Bytes>, BodyError> {
        poll_fn(|context| self.poll_piece(context)).await
    }

    /// Reads the body to its end, of at most `maximum_bytes`.
    ///
    /// # Errors
    /// If the answer is interrupted or too large.
    pub async fn read_to_end(&mut self, maximum_bytes: usize) -> Result<Bytes, BodyError> {
        let mut collected = BytesMut::new();
        while let Some(piece) = self.piece().await? {
            if collected.len() + piece.len() > maximum_bytes {
                return Err(BodyError::TooLarge);
            }
            collected.extend_from_slice(&piece);
        }
        Ok(collected.freeze())
    }

    /// The bytes that are still to come.
    pub fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

fn framing(headers: &HeaderMap, body: &Incoming) -> Framing {
    if body.is_end_stream() || body.size_hint().exact().is_some() {
        return Framing::Length;
    }
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last_coding = codings.and_then(|value| value.to_str().ok()).and_then(|codings| codings.rsplit(',').next());
    match last_coding {
        Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Framing::Chunks,
        _ => Framing::Connection,
    }
}

fn content(headers: &HeaderMap) -> Content {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let encoding = headers.get(CONTENT_ENCODING);
    let is_encoded = encoding.is_some_and(|value| !value.as_bytes().eq_ignore_ascii_case(b"identity"));
    Content::of(content_type, is_encoded)
}
