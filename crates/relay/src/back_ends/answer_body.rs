//! The body of a back end's answer, and what its end shows.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use havengate_core::answer_end::{AnswerEnd, AnswerEndJudge, BodyStart, Content, Framing};
use hyper::body::{Body, Incoming, SizeHint};
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};

use super::end_proof::{EndProof, EndProver};
use super::send::is_unacknowledged;

/// Why a body can't be read to its end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// interrupted: {0}
    Interrupted(hyper::Error),
    /// ended inside an event or a document
    Truncated,
    /// ended with its connection, without a proof that it is complete: {0:?}
    Unproven(EndProof),
    /// sent in chunks that its head does not announce
    ChunksUnannounced,
    /// larger than allowed
    TooLarge,
}

impl BodyError {
    /// Whether the back end may have terminated: it broke the answer off, and its machine still acknowledges data.
    pub fn suggests_termination(&self) -> bool {
        match self {
            BodyError::Interrupted(error) => !is_unacknowledged(error),
            BodyError::Truncated | BodyError::Unproven(_) => true,
            BodyError::ChunksUnannounced | BodyError::TooLarge => false,
        }
    }

    /// The cause in logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            BodyError::Interrupted(_) => "back_end_broke_off",
            BodyError::Truncated => "ended_inside_content",
            BodyError::Unproven(_) => "end_unproven",
            BodyError::ChunksUnannounced => "chunks_unannounced",
            BodyError::TooLarge => "too_large",
        }
    }
}

/// The body of a back end's answer. It ends without an error only if it is complete.
pub struct AnswerBody {
    incoming: Incoming,
    /// The first bytes of a body that ends with its connection, until they are known not to begin a chunk.
    start: Option<BytesMut>,
    judge: AnswerEndJudge,
    prover: EndProver,
    /// Set while a proof of the end is awaited.
    proof: Option<Pin<Box<dyn Future<Output = EndProof>>>>,
    end: Option<AnswerEnd>,
}

impl AnswerBody {
    /// The body `incoming` of an answer with these headers, unread.
    pub fn new(headers: &HeaderMap, incoming: Incoming, prover: EndProver) -> Self {
        let judge = AnswerEndJudge::new(framing(headers, &incoming), content(headers));
        let start = (judge.framing() == Framing::Connection).then(BytesMut::new);
        AnswerBody { incoming, start, judge, prover, proof: None, end: None }
    }

    /// How the answer marks its end.
    pub fn framing(&self) -> Framing {
        self.judge.framing()
    }

    /// What the end of the body shows; `None` before it.
    pub fn end(&self) -> Option<AnswerEnd> {
        self.end
    }

    /// The next piece; `None` at the end. Pieces are passed on as they arrive, but for the last one of an answer whose
    /// length is known and that ends inside an event: with it the answer would look complete.
    pub fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        if self.proof.is_some() {
            return self.poll_proof(context);
        }
        loop {
            match ready!(Pin::new(&mut self.incoming).poll_frame(context)) {
                None => match self.start.take().filter(|start| !start.is_empty()) {
                    Some(start) => return Poll::Ready(self.pass_on(start.freeze())),
                    None => return self.poll_end(context),
                },
                Some(Err(error)) => return Poll::Ready(Err(BodyError::Interrupted(error))),
                Some(Ok(frame)) => {
                    // Trailers concern only the back end's connection.
                    let Ok(piece) = frame.into_data() else {
                        continue;
                    };
                    match self.check_start(piece) {
                        Ok(None) => {}
                        Ok(Some(piece)) => return Poll::Ready(self.pass_on(piece)),
                        Err(error) => return Poll::Ready(Err(error)),
                    }
                }
            }
        }
    }

    /// The bytes that may be passed on once `piece` has arrived; `None` while the first ones may begin a chunk.
    fn check_start(&mut self, piece: Bytes) -> Result<Option<Bytes>, BodyError> {
        let Some(mut start) = self.start.take() else {
            return Ok(Some(piece));
        };
        start.extend_from_slice(&piece);
        match BodyStart::of(&start) {
            BodyStart::ChunkMark => Err(BodyError::ChunksUnannounced),
            BodyStart::Content => Ok(Some(start.freeze())),
            BodyStart::Undecided => {
                self.start = Some(start);
                Ok(None)
            }
        }
    }

    fn pass_on(&mut self, piece: Bytes) -> Result<Option<Bytes>, BodyError> {
        self.judge.record(&piece);
        if self.is_read() {
            self.end = Some(self.judge.end());
        }
        if self.end == Some(AnswerEnd::Truncated) {
            return Err(BodyError::Truncated);
        }
        Ok(Some(piece))
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        let end = self.judge.end();
        self.end = Some(end);
        match end {
            AnswerEnd::Complete => Poll::Ready(Ok(None)),
            AnswerEnd::Truncated => Poll::Ready(Err(BodyError::Truncated)),
            AnswerEnd::Unproven => {
                self.proof = Some(Box::pin(self.prover.clone().prove()));
                self.poll_proof(context)
            }
        }
    }

    fn poll_proof(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        let Some(proof) = &mut self.proof else {
            return Poll::Ready(Ok(None));
        };
        let proof = ready!(proof.as_mut().poll(context));
        self.proof = None;
        if !proof.is_complete() {
            return Poll::Ready(Err(BodyError::Unproven(proof)));
        }
        self.end = Some(AnswerEnd::Complete);
        Poll::Ready(Ok(None))
    }

    /// Whether all bytes of an answer with a known length have been read: the server then doesn't ask for its end.
    pub fn is_read(&self) -> bool {
        self.framing() == Framing::Length && self.incoming.is_end_stream()
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
