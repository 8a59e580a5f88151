//! A holder's record of one key.

use super::message::{HeldClaim, RecordedOutcome, TransferredClaim};
use crate::request::{IdempotencyKey, RequestId};
use crate::time::Timestamp;

/// What a holder knows about one key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ClaimRecord {
    pub state: ClaimState,
    /// When the key expires.
    pub expires: Timestamp,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) enum ClaimState {
    /// The request owns the key and must have ended by the deadline.
    Granted { request: RequestId, deadline: Timestamp },
    /// After a takeover: previous holders had granted the key to different requests, so either may have won. No request
    /// is granted the key until it expires.
    Contested { deadline: Timestamp },
    /// The request has ended, and has run or may have run.
    Ended { request: RequestId, outcome: Box<RecordedOutcome> },
    /// The request released the key; any other request may claim it.
    Released { request: RequestId },
}

impl ClaimRecord {
    pub fn request(&self) -> Option<RequestId> {
        match &self.state {
            ClaimState::Contested { .. } => None,
            ClaimState::Granted { request, .. }
            | ClaimState::Ended { request, .. }
            | ClaimState::Released { request } => Some(*request),
        }
    }

    /// The answer to another request that claims the key; `None` when it may have the key.
    pub fn held(&self, now: Timestamp) -> Option<HeldClaim> {
        match &self.state {
            ClaimState::Granted { deadline, .. } | ClaimState::Contested { deadline } if now < *deadline => {
                Some(HeldClaim::InProgress)
            }
            ClaimState::Granted { .. } | ClaimState::Contested { .. } => Some(HeldClaim::Overdue),
            ClaimState::Ended { outcome, .. } => Some(HeldClaim::Ended((**outcome).clone())),
            ClaimState::Released { .. } => None,
        }
    }

    /// Bytes of answer text that the record keeps.
    pub fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Ended { outcome, .. } => outcome.answer.as_ref().map_or(0, |answer| answer.text.len()),
            _ => 0,
        }
    }

    /// The record as it is handed over to another holder. A released claim blocks no request and is not handed over.
    pub fn transfer(&self, key: &IdempotencyKey, now: Timestamp) -> Option<TransferredClaim> {
        let (deadline, outcome) = match &self.state {
            ClaimState::Granted { deadline, .. } | ClaimState::Contested { deadline } => (*deadline, None),
            ClaimState::Ended { outcome, .. } => (now, Some((**outcome).clone())),
            ClaimState::Released { .. } => return None,
        };
        Some(TransferredClaim {
            key: key.clone(),
            request: self.request(),
            time_left: deadline.since(now),
            expires_in: self.expires.since(now),
            outcome,
        })
    }

    /// The record of a transferred claim. It expires later than at the sender, by the message's time in transit.
    pub fn from_transfer(claim: TransferredClaim, now: Timestamp) -> ClaimRecord {
        let deadline = now + claim.time_left;
        let state = match (claim.request, claim.outcome) {
            (Some(request), Some(outcome)) => ClaimState::Ended { request, outcome: Box::new(outcome) },
            (Some(request), None) => ClaimState::Granted { request, deadline },
            (None, _) => ClaimState::Contested { deadline },
        };
        ClaimRecord { state, expires: now + claim.expires_in }
    }

    /// Merges two different records of one key, from two previous holders or from a previous holder and this one.
    ///
    /// If a request has won the key, the merged record grants it to no other request.
    pub fn merge(self, other: ClaimRecord) -> ClaimRecord {
        let expires = self.expires.max(other.expires);
        let state = match (self.state, other.state) {
            (ended @ ClaimState::Ended { .. }, _) | (_, ended @ ClaimState::Ended { .. }) => ended,
            (ClaimState::Released { request }, ClaimState::Granted { request: same, .. }) if request == same => {
                ClaimState::Released { request }
            }
            (ClaimState::Released { .. }, state) | (state, ClaimState::Released { .. }) => state,
            (
                ClaimState::Granted { request, deadline },
                ClaimState::Granted { request: same, deadline: other_deadline },
            ) if request == same => ClaimState::Granted { request, deadline: deadline.max(other_deadline) },
            (
                ClaimState::Granted { deadline, .. } | ClaimState::Contested { deadline },
                ClaimState::Granted { deadline: other, .. } | ClaimState::Contested { deadline: other },
            ) => ClaimState::Contested { deadline: deadline.max(other) },
        };
        ClaimRecord { state, expires }
    }
}
