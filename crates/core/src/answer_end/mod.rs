//! Decides whether an answer that ended without an error is complete.
//!
//! An answer may end with its connection, without a length and without chunks. A back end that terminates closes its
//! connections in the same way, so such an end proves little. What the content shows comes first; where that is not
//! enough, the end needs a proof that the back end closed the connection on purpose.

mod chunk_mark;
mod event_stream;
mod json_document;

pub use chunk_mark::BodyStart;
pub use event_stream::EventStream;
pub use json_document::{DocumentEnd, JsonDocument};

/// How an answer marks its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length that is sent before the body, or by having no body.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}

/// What an answer's content shows about its end.
#[derive(Clone, Debug)]
pub enum Content {
    /// A stream of server-sent events.
    EventStream(EventStream),
    /// A JSON document.
    Json(JsonDocument),
    /// Content that doesn't show its end.
    Opaque,
}

impl Content {
    /// The content of an answer with this `Content-Type`; `is_encoded` when its bytes are compressed or encoded.
    pub fn of(content_type: Option<&str>, is_encoded: bool) -> Self {
        let media_type = content_type.and_then(|value| value.split(';').next()).unwrap_or_default().trim();
        if is_encoded {
            Content::Opaque
        } else if media_type.eq_ignore_ascii_case("text/event-stream") {
            Content::EventStream(EventStream::default())
        } else if media_type.eq_ignore_ascii_case("application/json") {
            Content::Json(JsonDocument::default())
        } else {
            Content::Opaque
        }
    }
}

/// What is known of an answer that ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It is complete.
    Complete,
    /// A part of it is missing: it ended inside an event or a document.
    Truncated,
    /// It is complete only if the back end ended it on purpose.
    Unproven,
}

impl AnswerEnd {
    /// The name in logs.
    pub fn code(self) -> &'static str {
        match self {
            AnswerEnd::Complete => "complete",
            AnswerEnd::Truncated => "truncated",
            AnswerEnd::Unproven => "unproven",
        }
    }
}

/// Follows an answer's body and decides about its end. The memory that it needs does not grow with the answer.
#[derive(Clone, Debug)]
pub struct AnswerEndJudge {
    framing: Framing,
    content: Content,
}

impl AnswerEndJudge {
    /// Follows an answer from the beginning of its body.
    pub fn new(framing: Framing, content: Content) -> Self {
        AnswerEndJudge { framing, content }
    }

    /// How the answer marks its end.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Follows the next bytes of the body.
    pub fn record(&mut self, bytes: &[u8]) {
        match &mut self.content {
            Content::EventStream(stream) => stream.record(bytes),
            // A document is followed only where its own end is the only mark.
            Content::Json(document) if self.framing == Framing::Connection => document.record(bytes),
            Content::Json(_) | Content::Opaque => {}
        }
    }

    /// What is known if the body ends here without an error.
    pub fn end(&self) -> AnswerEnd {
        let by_content = match &self.content {
            Content::EventStream(stream) if !stream.is_between_events() => DocumentEnd::Truncated,
            Content::Json(document) if self.framing == Framing::Connection => document.end(),
            Content::EventStream(_) | Content::Json(_) | Content::Opaque => DocumentEnd::Unknown,
        };
        match (by_content, self.framing) {
            (DocumentEnd::Truncated, _) => AnswerEnd::Truncated,
            (DocumentEnd::Complete, _) | (DocumentEnd::Unknown, Framing::Length | Framing::Chunks) => {
                AnswerEnd::Complete
            }
            (DocumentEnd::Unknown, Framing::Connection) => AnswerEnd::Unproven,
        }
    }
}
