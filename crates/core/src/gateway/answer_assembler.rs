//! Puts an answer together from pieces that may come late, doubled, out of order, or belong to another request.

use crate::request::{AnswerPiece, RequestId};

/// Pieces that were dropped, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AssemblerCounters {
    /// Pieces of another request.
    pub foreign: u64,
    /// Pieces that came after the last one.
    pub late: u64,
    /// Pieces whose tokens have all been passed on.
    pub doubled: u64,
    /// Pieces of which some tokens have been passed on. A piece is not cut, since its text doesn't show where a token
    /// ends.
    pub overlapping: u64,
    /// Pieces before which tokens are missing.
    pub skipping: u64,
}

impl AssemblerCounters {
    /// All dropped pieces.
    pub fn total(&self) -> u64 {
        self.foreign + self.late + self.doubled + self.overlapping + self.skipping
    }
}

/// Passes on each token of one answer once and in order, whatever arrives.
///
/// What it has passed on is always a prefix of the answer, and it is complete only with the last piece. So an answer
/// that stops short can be told from a whole one.
#[derive(Clone, Debug)]
pub struct AnswerAssembler {
    request: RequestId,
    next_token: u32,
    is_complete: bool,
    counters: AssemblerCounters,
}

impl AnswerAssembler {
    /// An assembler for the answer to `request`.
    pub fn new(request: RequestId) -> Self {
        AnswerAssembler { request, next_token: 0, is_complete: false, counters: AssemblerCounters::default() }
    }

    /// Takes in a piece; returns it when it is the next one of the answer, and drops and counts it otherwise.
    pub fn accept(&mut self, piece: AnswerPiece) -> Option<AnswerPiece> {
        if let Some(counter) = self.reason_to_drop(&piece) {
            *counter += 1;
            return None;
        }
        self.next_token = piece.first_token.saturating_add(piece.tokens);
        self.is_complete = piece.finish.is_some();
        Some(piece)
    }

    /// Tokens that have been passed on; a new attempt has to go on after them.
    pub fn next_token(&self) -> u32 {
        self.next_token
    }

    /// Whether the whole answer has been passed on.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Pieces that were dropped.
    pub fn counters(&self) -> AssemblerCounters {
        self.counters
    }

    fn reason_to_drop(&mut self, piece: &AnswerPiece) -> Option<&mut u64> {
        let counters = &mut self.counters;
        let end = piece.first_token.saturating_add(piece.tokens);
        let brings_nothing = end == self.next_token && piece.finish.is_none();
        if piece.request != self.request {
            Some(&mut counters.foreign)
        } else if self.is_complete {
            Some(&mut counters.late)
        } else if piece.first_token > self.next_token {
            Some(&mut counters.skipping)
        } else if end < self.next_token || brings_nothing {
            Some(&mut counters.doubled)
        } else if piece.first_token < self.next_token {
            Some(&mut counters.overlapping)
        } else {
            None
        }
    }
}
