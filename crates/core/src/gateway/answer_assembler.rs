//! Assembles an answer from pieces that may be late, duplicated, out of order, or belong to another request.

use crate::request::{AnswerPiece, RequestId};

/// Number of dropped pieces, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AssemblerCounters {
    /// Pieces of another request.
    pub foreign: u64,
    /// Pieces that arrived after the last one.
    pub late: u64,
    /// Pieces whose tokens have all been passed on already.
    pub duplicate: u64,
    /// Pieces of which some tokens have been passed on already. A piece is not split, since its text doesn't show where
    /// a token ends.
    pub overlapping: u64,
    /// Pieces that would leave a gap of missing tokens.
    pub gapped: u64,
}

impl AssemblerCounters {
    /// Number of all dropped pieces.
    pub fn total(&self) -> u64 {
        self.foreign + self.late + self.duplicate + self.overlapping + self.gapped
    }
}

/// Passes on each token of one answer once and in order, whatever pieces arrive.
///
/// The pieces passed on are always a prefix of the answer, and the answer is complete only with its last piece. This
/// distinguishes a truncated answer from a complete one.
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

    /// Returns the piece if it is the next one of the answer; otherwise drops and counts it.
    pub fn accept(&mut self, piece: AnswerPiece) -> Option<AnswerPiece> {
        if let Some(counter) = self.drop_counter(&piece) {
            *counter += 1;
            return None;
        }
        self.next_token = piece.first_token.saturating_add(piece.tokens);
        self.is_complete = piece.finish.is_some();
        Some(piece)
    }

    /// Number of tokens that have been passed on; a new attempt must resume after them.
    pub fn next_token(&self) -> u32 {
        self.next_token
    }

    /// Whether the complete answer has been passed on.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Counts of the dropped pieces.
    pub fn counters(&self) -> AssemblerCounters {
        self.counters
    }

    fn drop_counter(&mut self, piece: &AnswerPiece) -> Option<&mut u64> {
        let counters = &mut self.counters;
        let end = piece.first_token.saturating_add(piece.tokens);
        let adds_nothing = end == self.next_token && piece.finish.is_none();
        if piece.request != self.request {
            Some(&mut counters.foreign)
        } else if self.is_complete {
            Some(&mut counters.late)
        } else if piece.first_token > self.next_token {
            Some(&mut counters.gapped)
        } else if end < self.next_token || adds_nothing {
            Some(&mut counters.duplicate)
        } else if piece.first_token < self.next_token {
            Some(&mut counters.overlapping)
        } else {
            None
        }
    }
}
