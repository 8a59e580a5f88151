//! Records the answer of a request with a key while it is passed on, to store it with the outcome.

use super::message::{RecordedAnswer, RecordedOutcome};
use crate::request::{AnswerPiece, FinishReason, RequestId};
use crate::verdict::Verdict;

/// Collects an answer that is passed on to its caller, unless it is too long to be kept.
#[derive(Clone, Debug)]
pub struct AnswerRecorder {
    /// The text so far; `None` once it is too long.
    text: Option<String>,
    tokens: u32,
    finish: Option<FinishReason>,
    bytes_maximum: usize,
}

impl AnswerRecorder {
    /// A recorder that keeps at most `bytes_maximum` bytes of text, see [`super::ClaimConfig::answer_bytes_maximum`].
    pub fn new(bytes_maximum: usize) -> Self {
        AnswerRecorder { text: Some(String::new()), tokens: 0, finish: None, bytes_maximum }
    }

    /// Appends a piece that was delivered. Pieces must come in the order of the answer.
    pub fn push(&mut self, piece: &AnswerPiece) {
        self.tokens = self.tokens.saturating_add(piece.tokens);
        self.finish = piece.finish;
        let fits = |text: &String| text.len() + piece.text.len() <= self.bytes_maximum;
        self.text = self.text.take().filter(fits).map(|text| text + &piece.text);
    }

    /// The outcome to record. Only the complete answer of a completed request is kept.
    pub fn outcome(self, verdict: Verdict) -> RecordedOutcome {
        let is_completed = verdict == Verdict::Completed;
        let complete = self.text.zip(self.finish).filter(|_| is_completed);
        let answer = complete.map(|(text, finish)| RecordedAnswer { text, tokens: self.tokens, finish });
        RecordedOutcome { verdict, answer }
    }
}

impl RecordedAnswer {
    /// The complete answer as one piece, for a repeated request with its key.
    pub fn into_piece(self, request: RequestId) -> AnswerPiece {
        AnswerPiece { request, first_token: 0, tokens: self.tokens, text: self.text, finish: Some(self.finish) }
    }
}
