//! The holder's side of claims: keeps the claims of other nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::config::ClaimConfig;
use super::message::{
    ClaimEnvelope, ClaimMessage, ClaimReply, ClaimRequest, OutcomeAck, OutcomeReport, SlotStatus, TakeOverReply,
};
use super::slot_map::{SLOTS, SlotIndex, SlotMap};
use super::slot_state::SlotState;
use super::usage::Usage;
use crate::membership::Member;
use crate::time::Timestamp;
use crate::world::Address;

/// The claims that one incarnation of a node holds. Its state is in memory only: a restarted node starts without claims
/// and abstains until it has taken over its slots.
#[derive(Debug)]
pub struct ClaimHolder {
    me: Member,
    config: ClaimConfig,
    slots: BTreeMap<SlotIndex, SlotState>,
    usage: Usage,
    next_sweep: Timestamp,
}

impl ClaimHolder {
    /// A holder without slots.
    pub fn new(me: Member, config: ClaimConfig, now: Timestamp) -> Self {
        let next_sweep = now + config.sweep_interval;
        let usage = Usage::new(config.records_maximum);
        ClaimHolder { me, config, slots: BTreeMap::new(), usage, next_sweep }
    }

    /// Continues under a later incarnation of the same process. It keeps its claims, since the process lost none.
    pub fn rejoin(&mut self, me: Member) {
        if me.address == self.me.address && me.incarnation > self.me.incarnation {
            self.me = me;
        }
    }

    /// Adopts a map; slots that are older in it than the known ones are left unchanged.
    pub fn adopt(&mut self, map: &SlotMap) {
        for (index, slot) in map.iter() {
            let is_holder = slot.current.position(self.me.address).is_some();
            if is_holder || self.slots.contains_key(&index) {
                self.slots.entry(index).or_default().adopt(slot, self.me);
            }
        }
    }

    /// Handles a message and returns the answer to its sender, if there is one.
    pub fn step(&mut self, from: Address, message: ClaimMessage, now: Timestamp) -> Option<ClaimMessage> {
        match message {
            ClaimMessage::Claim(request) => Some(ClaimMessage::ClaimReply(self.claim(request, now))),
            ClaimMessage::Outcome(report) => self.record(report, now).map(ClaimMessage::OutcomeAck),
            ClaimMessage::TakeOver(request) => {
                let is_slot = request.slot.0 < SLOTS;
                let state = is_slot.then(|| self.slots.entry(request.slot).or_default())?;
                state.hand_over(request, self.me, &self.config, now).map(ClaimMessage::TakeOverReply)
            }
            ClaimMessage::TakeOverReply(reply) => {
                self.receive_claims(from, reply, now);
                None
            }
            ClaimMessage::StatusRequest => Some(ClaimMessage::Status(self.status())),
            _ => None,
        }
    }

    /// Answers one claim.
    pub fn claim(&mut self, request: ClaimRequest, now: Timestamp) -> ClaimReply {
        let (id, version) = (request.request, request.version);
        let state = self.slots.entry(SlotIndex::of(&request.key)).or_default();
        let answer = state.claim(request, self.me.address, &self.config, &mut self.usage, now);
        ClaimReply { request: id, version, answer }
    }

    /// The messages to send now.
    pub fn poll(&mut self, now: Timestamp) -> Vec<ClaimEnvelope> {
        self.sweep(now);
        let mut messages = Vec::new();
        for (index, state) in &mut self.slots {
            state.finish_takeover(self.me.address, &self.config, now);
            let Some(takeover) = &mut state.takeover else { continue };
            for (to, request) in takeover.requests(*index, self.me, now, self.config.takeover_interval) {
                messages.push(ClaimEnvelope { to, message: ClaimMessage::TakeOver(request) });
            }
        }
        messages
    }

    /// When [`ClaimHolder::poll`] must be called again even if no message arrives.
    pub fn next_poll(&self) -> Timestamp {
        let sends = self.slots.values().filter_map(|state| state.takeover.as_ref()?.next_send());
        sends.min().unwrap_or(self.next_sweep).min(self.next_sweep)
    }

    /// The slots that this node holds in the newest map it has adopted.
    pub fn status(&self) -> Vec<SlotStatus> {
        let held = self.slots.iter().filter(|(_, state)| state.is_holder(self.me.address));
        let status = |(slot, state): (&SlotIndex, &SlotState)| SlotStatus {
            slot: *slot,
            version: state.version(),
            votes: state.votes(self.me.address),
        };
        held.map(status).collect()
    }

    /// Number of keys kept now, including expired ones until the next sweep.
    pub fn records(&self) -> usize {
        self.usage.records()
    }

    /// Bytes of answers kept now.
    pub fn answer_bytes(&self) -> usize {
        self.usage.answer_bytes()
    }

    /// The longest time that a claim may block a key: the request's maximum time plus the retention.
    pub fn claim_lifetime_maximum(&self) -> Duration {
        self.config.request_time_maximum + self.config.retention
    }

    fn record(&mut self, report: OutcomeReport, now: Timestamp) -> Option<OutcomeAck> {
        let request = report.request;
        let state = self.slots.get_mut(&SlotIndex::of(&report.key))?;
        state.record(report, &self.config, &mut self.usage, now).then_some(OutcomeAck { request })
    }

    fn receive_claims(&mut self, from: Address, reply: TakeOverReply, now: Timestamp) {
        let Some(state) = self.slots.get_mut(&reply.slot) else { return };
        state.receive(from, reply, self.me.address, &mut self.usage, now);
        state.finish_takeover(self.me.address, &self.config, now);
    }

    fn sweep(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + self.config.sweep_interval;
        for state in self.slots.values_mut() {
            state.sweep(&mut self.usage, now);
        }
    }
}
