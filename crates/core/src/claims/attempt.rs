//! A claimer's attempt to claim a key at a majority of its holders.

use std::collections::BTreeMap;
use std::time::Duration;

use super::config::ClaimConfig;
use super::message::{ClaimAnswer, ClaimReply, ClaimRequest, HeldClaim, RecordedOutcome};
use super::slot_map::{HolderSet, Slot};
use crate::membership::Incarnation;
use crate::request::{IdempotencyKey, RequestId};
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use crate::world::Address;

/// The retry delay given to the caller while another request with the key is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The retry delay given to the caller after a claim that reached no majority.
const UNCLAIMABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How an attempt to claim a key ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The request owns the key: it may be dispatched until its deadline, and its outcome must then be recorded.
    Won,
    /// The request must not be dispatched, now or later. The key may be free, so the caller may retry.
    Refused(NotRun),
    /// The request must not be dispatched: an earlier one with the key has run or may have run. The caller receives the
    /// earlier outcome.
    Repeated(RecordedOutcome),
}

/// An attempt to claim a key for one request. It ends once, and cannot win after it has ended with another outcome.
#[derive(Clone, Debug)]
pub(super) struct ClaimAttempt {
    key: IdempotencyKey,
    request: RequestId,
    deadline: Timestamp,
    expires_at: Timestamp,
    next_send: Timestamp,
    resend_interval: Duration,
    holders: HolderSet,
    answers: BTreeMap<Address, ClaimAnswer>,
}

impl ClaimAttempt {
    pub fn new(
        key: IdempotencyKey,
        request: RequestId,
        deadline: Timestamp,
        slot: &Slot,
        config: &ClaimConfig,
        now: Timestamp,
    ) -> Self {
        ClaimAttempt {
            key,
            request,
            deadline,
            expires_at: deadline.min(now + config.attempt_timeout),
            next_send: now,
            resend_interval: config.resend_interval,
            holders: slot.current.clone(),
            answers: BTreeMap::new(),
        }
    }

    pub fn key(&self) -> &IdempotencyKey {
        &self.key
    }

    /// Continues with a newer holder set. Grants of the older set are discarded: they belong to another version.
    pub fn adopt(&mut self, slot: &Slot, now: Timestamp) {
        if slot.current.version > self.holders.version {
            self.holders = slot.current.clone();
            self.answers.clear();
            self.next_send = now;
        }
    }

    /// The claims to send now: to all holders that have neither granted the key nor reported another claim on it.
    pub fn messages(&mut self, now: Timestamp) -> Vec<(Address, ClaimRequest)> {
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + self.resend_interval;
        let has_decided = |address: &Address| {
            matches!(self.answers.get(address), Some(ClaimAnswer::Granted(_) | ClaimAnswer::Held(_)))
        };
        let request = ClaimRequest {
            key: self.key.clone(),
            request: self.request,
            version: self.holders.version,
            time_left: self.deadline.since(now),
        };
        let unanswered = self.holders.addresses().filter(|address| !has_decided(address));
        unanswered.map(|address| (address, request.clone())).collect()
    }

    /// When [`ClaimAttempt::messages`] or [`ClaimAttempt::expire`] is due next.
    pub fn next_poll(&self) -> Timestamp {
        self.next_send.min(self.expires_at)
    }

    /// Applies a holder's answer.
    pub fn step(&mut self, from: Address, reply: ClaimReply, now: Timestamp) -> Option<ClaimOutcome> {
        if now >= self.expires_at {
            return self.expire(now);
        }
        if reply.version != self.holders.version || self.holders.position(from).is_none() {
            return None;
        }
        self.answers.insert(from, reply.answer);
        self.drop_grants_of_old_incarnations();
        self.decide()
    }

    /// The outcome of an attempt that has timed out; `None` before the timeout.
    pub fn expire(&self, now: Timestamp) -> Option<ClaimOutcome> {
        let refusal = NotRun::retry_after(NotRunReason::KeyUnclaimable, UNCLAIMABLE_RETRY_AFTER);
        (now >= self.expires_at).then_some(ClaimOutcome::Refused(refusal))
    }

    fn decide(&self) -> Option<ClaimOutcome> {
        let ended = self.held().find_map(|held| match held {
            HeldClaim::Ended(outcome) => Some(outcome.clone()),
            _ => None,
        });
        if let Some(outcome) = ended {
            return Some(ClaimOutcome::Repeated(outcome));
        }
        if self.holders.has_majority(|holder| self.granted(holder.member.address).is_some()) {
            return Some(ClaimOutcome::Won);
        }
        let cannot_win = self.holders.holders.len() - self.held().count() < self.holders.majority();
        cannot_win.then(|| self.failure())
    }

    fn failure(&self) -> ClaimOutcome {
        if self.held().all(|held| *held == HeldClaim::Overdue) {
            let verdict = Verdict::MayHaveRun(MayHaveRun::KeyUsed);
            return ClaimOutcome::Repeated(RecordedOutcome { verdict, answer: None });
        }
        ClaimOutcome::Refused(NotRun::retry_after(NotRunReason::KeyInProgress, IN_PROGRESS_RETRY_AFTER))
    }

    fn held(&self) -> impl Iterator<Item = &HeldClaim> {
        self.answers.values().filter_map(|answer| match answer {
            ClaimAnswer::Held(held) => Some(held),
            _ => None,
        })
    }

    fn granted(&self, address: Address) -> Option<&[Incarnation]> {
        match self.answers.get(&address) {
            Some(ClaimAnswer::Granted(incarnations)) => Some(incarnations),
            _ => None,
        }
    }

    /// Grants of two holders count together only if neither knows a later incarnation of the other: a restarted holder
    /// has lost the grants of its previous incarnation, and may have granted the key to another request since.
    fn drop_grants_of_old_incarnations(&mut self) {
        let grants: Vec<(usize, Address, &[Incarnation])> = (self.holders.addresses().enumerate())
            .filter_map(|(position, address)| Some((position, address, self.granted(address)?)))
            .collect();
        let newest = |position: usize| {
            grants.iter().filter_map(|(_, _, incarnations)| incarnations.get(position)).max().copied()
        };
        let is_outdated = |(position, _, incarnations): &&(usize, Address, &[Incarnation])| {
            incarnations.len() != self.holders.holders.len() || incarnations.get(*position).copied() < newest(*position)
        };
        let outdated: Vec<Address> = grants.iter().filter(is_outdated).map(|(_, address, _)| *address).collect();
        for address in outdated {
            self.answers.remove(&address);
        }
    }
}
