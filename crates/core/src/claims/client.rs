//! The gateway's side of claims: claims keys for its callers' requests.

use std::collections::BTreeMap;

use super::attempt::{ClaimAttempt, ClaimOutcome};
use super::config::ClaimConfig;
use super::delivery::OutcomeDelivery;
use super::message::{ClaimEnvelope, ClaimMessage, OutcomeReport, RecordedOutcome};
use super::slot_map::SlotMap;
use crate::request::{IdempotencyKey, RequestId};
use crate::time::Timestamp;
use crate::verdict::{NotRun, NotRunReason, Verdict};
use crate::world::Address;

/// The result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimDecision {
    /// The request that the key was claimed for.
    pub request: RequestId,
    /// How the attempt ended.
    pub outcome: ClaimOutcome,
}

/// The work that a call to [`ClaimClient::poll`] returns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimWork {
    /// Messages to send.
    pub messages: Vec<ClaimEnvelope>,
    /// Attempts that have ended.
    pub decisions: Vec<ClaimDecision>,
}

/// Makes the claims of one gateway.
#[derive(Debug)]
pub struct ClaimClient {
    config: ClaimConfig,
    map: SlotMap,
    attempts: BTreeMap<RequestId, ClaimAttempt>,
    won: BTreeMap<RequestId, IdempotencyKey>,
    deliveries: BTreeMap<RequestId, OutcomeDelivery>,
    decisions: Vec<ClaimDecision>,
}

impl ClaimClient {
    /// A client without a map: it refuses every key until it adopts one.
    pub fn new(config: ClaimConfig) -> Self {
        ClaimClient {
            config,
            map: SlotMap::default(),
            attempts: BTreeMap::new(),
            won: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    /// Adopts a map if it is newer than the current one.
    pub fn adopt(&mut self, map: &SlotMap, now: Timestamp) {
        if map.version <= self.map.version {
            return;
        }
        self.map = map.clone();
        for attempt in self.attempts.values_mut() {
            if let Some((_, slot)) = self.map.slot_of(attempt.key()) {
                attempt.adopt(slot, now);
            }
        }
    }

    /// Starts to claim `key` for a request that ends by `deadline`. [`ClaimClient::poll`] returns the decision.
    ///
    /// # Errors
    /// When there is no map yet, or the deadline is further away than `request_time_maximum`. The request has not run.
    pub fn claim(
        &mut self,
        key: IdempotencyKey,
        request: RequestId,
        deadline: Timestamp,
        now: Timestamp,
    ) -> Result<(), NotRun> {
        if deadline.since(now) > self.config.request_time_maximum {
            return Err(NotRun::new(NotRunReason::InvalidRequest));
        }
        let Some((_, slot)) = self.map.slot_of(&key) else {
            return Err(NotRun::retry_after(NotRunReason::KeyUnclaimable, self.config.attempt_timeout));
        };
        let attempt = ClaimAttempt::new(key, request, deadline, slot, &self.config, now);
        self.attempts.insert(request, attempt);
        Ok(())
    }

    /// Reports to the holders how a request that had won its key ended. [`Verdict::NotRun`] releases the key.
    pub fn record(&mut self, request: RequestId, outcome: RecordedOutcome, now: Timestamp) {
        if let Some(key) = self.won.remove(&request) {
            self.deliver(OutcomeReport { key, request, outcome }, now);
        }
    }

    /// Cancels an attempt whose caller has disconnected, and releases the key. True when it had not been decided.
    pub fn abandon(&mut self, request: RequestId, now: Timestamp) -> bool {
        let attempt = self.attempts.remove(&request);
        attempt.map(|attempt| self.release(attempt.key().clone(), request, now)).is_some()
    }

    /// Applies a holder's answer.
    pub fn step(&mut self, from: Address, message: ClaimMessage, now: Timestamp) {
        match message {
            ClaimMessage::ClaimReply(reply) => {
                let request = reply.request;
                let attempt = self.attempts.get_mut(&request);
                if let Some(outcome) = attempt.and_then(|attempt| attempt.step(from, reply, now)) {
                    self.finish_attempt(request, outcome, now);
                }
            }
            ClaimMessage::OutcomeAck(ack) => {
                if let Some(delivery) = self.deliveries.get_mut(&ack.request) {
                    delivery.acknowledge(from);
                }
            }
            _ => {}
        }
    }

    /// The messages to send and the attempts that have ended since the last call.
    pub fn poll(&mut self, now: Timestamp) -> ClaimWork {
        let expired = self.attempts.iter().filter_map(|(request, attempt)| Some((*request, attempt.expire(now)?)));
        for (request, outcome) in expired.collect::<Vec<_>>() {
            self.finish_attempt(request, outcome, now);
        }
        let mut messages = Vec::new();
        for attempt in self.attempts.values_mut() {
            let claims = attempt.messages(now).into_iter();
            messages.extend(claims.map(|(to, claim)| ClaimEnvelope { to, message: ClaimMessage::Claim(claim) }));
        }
        self.deliveries.retain(|_, delivery| !delivery.is_done(now));
        for delivery in self.deliveries.values_mut() {
            let reports = delivery.messages(now).into_iter();
            messages.extend(reports.map(|(to, report)| ClaimEnvelope { to, message: ClaimMessage::Outcome(report) }));
        }
        ClaimWork { messages, decisions: std::mem::take(&mut self.decisions) }
    }

    /// When [`ClaimClient::poll`] must be called again even if no message arrives.
    pub fn next_poll(&self) -> Option<Timestamp> {
        let attempts = self.attempts.values().map(ClaimAttempt::next_poll);
        attempts.chain(self.deliveries.values().map(OutcomeDelivery::next_poll)).min()
    }

    /// Whether [`ClaimClient::poll`] has a decision to return.
    pub fn has_decisions(&self) -> bool {
        !self.decisions.is_empty()
    }

    fn finish_attempt(&mut self, request: RequestId, outcome: ClaimOutcome, now: Timestamp) {
        let Some(attempt) = self.attempts.remove(&request) else { return };
        match &outcome {
            ClaimOutcome::Won => drop(self.won.insert(request, attempt.key().clone())),
            ClaimOutcome::Refused(_) | ClaimOutcome::Repeated(_) => self.release(attempt.key().clone(), request, now),
        }
        self.decisions.push(ClaimDecision { request, outcome });
    }

    /// Releases what a failed attempt may have been granted; its request will not be dispatched.
    fn release(&mut self, key: IdempotencyKey, request: RequestId, now: Timestamp) {
        let verdict = Verdict::NotRun(NotRun::new(NotRunReason::KeyUnclaimable));
        self.deliver(OutcomeReport { key, request, outcome: RecordedOutcome { verdict, answer: None } }, now);
    }

    fn deliver(&mut self, report: OutcomeReport, now: Timestamp) {
        let Some((_, slot)) = self.map.slot_of(&report.key) else { return };
        let delivery = OutcomeDelivery::new(report.clone(), slot, &self.config, now);
        self.deliveries.insert(report.request, delivery);
    }
}
