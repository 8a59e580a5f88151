//! Pending requests: probes, messages whose answer only shows contact, and pings on behalf of others.

use std::collections::BTreeMap;

use super::member::{Incarnation, Member};
use super::message::Sequence;
use crate::time::Timestamp;
use crate::world::Address;

/// The stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeStage {
    /// The target has been pinged.
    Direct,
    /// Relays have been asked to ping the target.
    Indirect,
}

/// A ping that makes its target suspect if it fails.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) target: Member,
    pub(super) stage: ProbeStage,
    pub(super) deadline: Timestamp,
}

/// A ping sent on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    pub(super) requester: Address,
    pub(super) probe: Sequence,
    pub(super) target: Member,
}

/// All pending requests of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    last: Sequence,
    sent_at: BTreeMap<Sequence, Timestamp>,
    probes: BTreeMap<Sequence, Probe>,
    relays: BTreeMap<Sequence, Relay>,
}

impl PendingRequests {
    /// Opens a request whose answer shows contact with a peer.
    pub(super) fn open(&mut self, now: Timestamp) -> Sequence {
        self.last = Sequence(self.last.0.wrapping_add(1));
        self.sent_at.insert(self.last, now);
        self.last
    }

    /// Opens a probe.
    pub(super) fn open_probe(&mut self, target: Member, deadline: Timestamp, now: Timestamp) -> Sequence {
        let sequence = self.open(now);
        self.probes.insert(sequence, Probe { target, stage: ProbeStage::Direct, deadline });
        sequence
    }

    /// Opens a ping on behalf of another member.
    pub(super) fn open_relay(&mut self, relay: Relay, now: Timestamp) -> Sequence {
        let sequence = self.open(now);
        self.relays.insert(sequence, relay);
        sequence
    }

    /// Closes a request and returns the time at which it was sent; `None` for a duplicate answer.
    pub(super) fn close(&mut self, sequence: Sequence) -> Option<Timestamp> {
        self.sent_at.remove(&sequence)
    }

    /// Closes a probe if `incarnation` is the one that was probed.
    pub(super) fn close_probe(&mut self, sequence: Sequence, incarnation: Incarnation) {
        if self.probes.get(&sequence).is_some_and(|probe| probe.target.incarnation == incarnation) {
            self.probes.remove(&sequence);
        }
    }

    /// Closes a ping on behalf of another member, and returns it if `incarnation` is the requested one.
    pub(super) fn close_relay(&mut self, sequence: Sequence, incarnation: Incarnation) -> Option<Relay> {
        let relay = self.relays.remove(&sequence)?;
        (relay.target.incarnation == incarnation).then_some(relay)
    }

    /// Whether a probe of the member is pending.
    pub(super) fn is_probed(&self, member: Member) -> bool {
        self.probes.values().any(|probe| probe.target == member)
    }

    /// Takes the probes whose deadline has passed; a probe that enters its next stage must be put back.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<(Sequence, Probe)> {
        let due: Vec<Sequence> =
            self.probes.iter().filter(|(_, probe)| probe.deadline <= now).map(|(sequence, _)| *sequence).collect();
        due.into_iter().filter_map(|sequence| Some((sequence, self.probes.remove(&sequence)?))).collect()
    }

    /// Puts back a probe that was taken by `take_due`, in its next stage.
    pub(super) fn put_back(&mut self, sequence: Sequence, probe: Probe) {
        self.probes.insert(sequence, probe);
    }

    /// The earliest deadline of a pending probe.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.probes.values().map(|probe| probe.deadline).min()
    }

    /// Forgets requests sent before `oldest`, whose answers would arrive too late to be of use.
    pub(super) fn forget_before(&mut self, oldest: Timestamp) {
        self.sent_at.retain(|_, sent_at| *sent_at >= oldest);
        let open = &self.sent_at;
        self.relays.retain(|sequence, _| open.contains_key(sequence));
    }

    /// Forgets all requests before a new incarnation. Sequences continue, so that old answers match nothing.
    pub(super) fn clear(&mut self) {
        self.sent_at.clear();
        self.probes.clear();
        self.relays.clear();
    }
}
