//! Checks that the pieces of an answer belong to the request, in order and without gaps.

use displaydoc::Display;
use havengate_core::request::{AnswerPiece, FinishReason, RequestId};
use havengate_core::verdict::{MayHaveRun, Verdict};

/// Reason for dropping a piece of an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PieceFault {
    /// the piece belongs to another request
    Foreign,
    /// the piece repeats tokens that were already accepted
    Repeated,
    /// tokens before the piece are missing
    Gap,
    /// the answer has already ended
    AfterEnd,
}

impl PieceFault {
    /// Returns the stable code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            PieceFault::Foreign => "foreign",
            PieceFault::Repeated => "repeated",
            PieceFault::Gap => "gap",
            PieceFault::AfterEnd => "after_end",
        }
    }
}

/// Tracks how much of one answer has been accepted for the caller.
///
/// Invariant: the accepted pieces are those of `request`, without repetition or gap, from its first token to
/// `next_token`; once `finish` is set they are the complete answer.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    request: RequestId,
    next_token: u32,
    finish: Option<FinishReason>,
}

impl AnswerAssembly {
    /// Creates an empty assembly for the answer to `request`.
    pub fn new(request: RequestId) -> Self {
        AnswerAssembly { request, next_token: 0, finish: None }
    }

    /// Accepts the next piece.
    ///
    /// # Errors
    /// When the piece does not continue the answer at `next_token`; it must not reach the caller.
    pub fn accept(&mut self, piece: &AnswerPiece) -> Result<(), PieceFault> {
        if piece.request != self.request {
            return Err(PieceFault::Foreign);
        }
        if self.finish.is_some() {
            return Err(PieceFault::AfterEnd);
        }
        if piece.first_token < self.next_token {
            return Err(PieceFault::Repeated);
        }
        if piece.first_token > self.next_token {
            return Err(PieceFault::Gap);
        }
        self.next_token += piece.tokens;
        self.finish = piece.finish;
        Ok(())
    }

    /// Returns the number of accepted tokens.
    pub fn tokens(&self) -> u32 {
        self.next_token
    }

    /// Returns why the answer ended; none while it is incomplete.
    pub fn finish(&self) -> Option<FinishReason> {
        self.finish
    }

    /// Returns the verdict to report to the caller when the request ended with `verdict`.
    ///
    /// Only a complete answer is reported as completed, and an answer that has begun is never reported as not run.
    pub fn final_verdict(&self, verdict: Verdict) -> Verdict {
        let answer_cut = Verdict::MayHaveRun(MayHaveRun::AnswerCut);
        match verdict {
            Verdict::Completed if self.finish.is_none() => answer_cut,
            Verdict::NotRun(_) if self.next_token > 0 => answer_cut,
            verdict => verdict,
        }
    }
}
