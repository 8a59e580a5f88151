//! Checks that the pieces of an answer are its own, and that they are all there.

use displaydoc::Display;
use havengate_core::request::{AnswerPiece, FinishReason, RequestId};
use havengate_core::verdict::{MayHaveRun, Verdict};

/// Why a piece of an answer is dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PieceFault {
    /// the piece answers another request
    Foreign,
    /// the piece repeats tokens that the caller has
    Repeated,
    /// tokens before the piece are missing
    Gap,
    /// the answer is at its end
    AfterEnd,
}

impl PieceFault {
    /// The stable code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            PieceFault::Foreign => "foreign",
            PieceFault::Repeated => "repeated",
            PieceFault::Gap => "gap",
            PieceFault::AfterEnd => "after_end",
        }
    }
}

/// What the caller has of one answer.
///
/// Invariant: the pieces taken are those of `request`, without repetition or gap, from its first token to
/// `next_token`; once `finish` is set they are the whole answer.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    request: RequestId,
    next_token: u32,
    finish: Option<FinishReason>,
}

impl AnswerAssembly {
    /// Nothing yet of the answer to `request`.
    pub fn new(request: RequestId) -> Self {
        AnswerAssembly { request, next_token: 0, finish: None }
    }

    /// Takes the next piece.
    ///
    /// # Errors
    /// When the piece doesn't go on where the answer stands; it must not reach the caller.
    pub fn take(&mut self, piece: &AnswerPiece) -> Result<(), PieceFault> {
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

    /// Tokens that the caller has.
    pub fn tokens(&self) -> u32 {
        self.next_token
    }

    /// Why the answer is at its end; none while it isn't whole.
    pub fn finish(&self) -> Option<FinishReason> {
        self.finish
    }

    /// The verdict that the caller is told when the request has ended with `verdict`.
    ///
    /// Only a whole answer is completed, and an answer that has begun can't count as not run.
    pub fn conclude(&self, verdict: Verdict) -> Verdict {
        let cut = Verdict::MayHaveRun(MayHaveRun::AnswerCut);
        match verdict {
            Verdict::Completed if self.finish.is_none() => cut,
            Verdict::NotRun(_) if self.next_token > 0 => cut,
            verdict => verdict,
        }
    }
}
