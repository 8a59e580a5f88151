//! What clients have asked for and got: the clients' history, for figures and the checker.

use std::time::Duration;

use havengate_core::request::{AnswerPiece, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::verdict::Verdict;
use havengate_core::world::Contract;

use crate::experiment::Arrival;

/// One request as its client has seen it.
#[derive(Clone, Debug)]
pub(super) struct ClientRecord {
    pub(super) id: RequestId,
    pub(super) contract: Contract,
    pub(super) phase: usize,
    /// When the client made it.
    pub(super) made_at: Timestamp,
    /// Whether it must not run twice.
    pub(super) once_only: bool,
    /// Tokens of the whole answer.
    pub(super) answer_tokens: u32,
    /// Tokens that came, in order and without a gap.
    pub(super) received_tokens: u32,
    pub(super) first_token_at: Option<Timestamp>,
    pub(super) last_token_at: Option<Timestamp>,
    /// The last piece has come.
    pub(super) ended: bool,
    /// A piece came that doesn't follow the one before, answers another request, or comes after the end.
    pub(super) wrong: bool,
    /// The verdicts that came; there must be one.
    pub(super) verdicts: Vec<Verdict>,
}

impl ClientRecord {
    pub(super) fn new(arrival: &Arrival, id: RequestId, contract: &Contract) -> Self {
        ClientRecord {
            id,
            contract: contract.clone(),
            phase: arrival.phase,
            made_at: arrival.at,
            once_only: arrival.once_only || !contract.repeatable,
            answer_tokens: arrival.output_tokens,
            received_tokens: 0,
            first_token_at: None,
            last_token_at: None,
            ended: false,
            wrong: false,
            verdicts: Vec::new(),
        }
    }

    /// Takes in a piece that reaches the client at `at`.
    pub(super) fn receive(&mut self, piece: &AnswerPiece, at: Timestamp) {
        let follows = piece.request == self.id && piece.first_token == self.received_tokens;
        if !follows || self.ended || !self.verdicts.is_empty() {
            self.wrong = true;
            return;
        }
        self.received_tokens += piece.tokens;
        self.ended = piece.finish.is_some();
        self.first_token_at.get_or_insert(at);
        self.last_token_at = Some(at);
    }

    /// Whether the client was told that it has the whole answer.
    pub(super) fn completed(&self) -> bool {
        matches!(self.verdicts.first(), Some(Verdict::Completed))
    }

    /// Whether the answer is whole and every token came once and in order.
    pub(super) fn has_whole_answer(&self) -> bool {
        !self.wrong && self.ended && self.received_tokens == self.answer_tokens
    }

    /// Time to the first token.
    pub(super) fn first_token_after(&self) -> Option<Duration> {
        Some(self.first_token_at?.since(self.made_at))
    }

    /// The mean time between two tokens; `None` for answers of one token.
    pub(super) fn token_interval(&self) -> Option<Duration> {
        let intervals = self.received_tokens.checked_sub(1).filter(|intervals| *intervals > 0)?;
        Some(self.last_token_at?.since(self.first_token_at?) / intervals)
    }

    /// Whether the contract was met.
    pub(super) fn met(&self) -> bool {
        let in_time = self.first_token_after().is_some_and(|after| after <= self.contract.first_token_within);
        let fast = self.token_interval().is_none_or(|interval| interval <= self.contract.token_interval);
        self.completed() && self.has_whole_answer() && in_time && fast
    }
}
