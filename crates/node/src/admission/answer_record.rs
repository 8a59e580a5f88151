//! Records an answer while it is relayed, so that a repeat of its idempotency key gets the same answer.

use havengate_core::claims::{AnswerRecorder, RecordedOutcome};
use havengate_core::request::AnswerPiece;
use havengate_core::verdict::Verdict;

use crate::callers::AnswerSink;
use crate::http_server::HungUp;

/// Relays an answer, counts its tokens and records its text up to a maximum length.
pub struct RecordingSink<'a> {
    sink: &'a mut dyn AnswerSink,
    recorder: AnswerRecorder,
    tokens: u32,
}

impl<'a> RecordingSink<'a> {
    /// Creates a sink that records answers of at most `bytes_maximum` bytes.
    pub fn new(sink: &'a mut dyn AnswerSink, bytes_maximum: usize) -> Self {
        RecordingSink { sink, recorder: AnswerRecorder::new(bytes_maximum), tokens: 0 }
    }

    /// Number of tokens relayed so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the outcome that the holders of the key record.
    pub fn outcome(&self, verdict: Verdict) -> RecordedOutcome {
        self.recorder.clone().outcome(verdict)
    }
}

impl AnswerSink for RecordingSink<'_> {
    fn replayed(&mut self) {
        self.sink.replayed();
    }

    fn piece(&mut self, piece: AnswerPiece) -> Result<(), HungUp> {
        self.tokens = self.tokens.saturating_add(piece.tokens);
        self.recorder.push(&piece);
        self.sink.piece(piece)
    }
}
