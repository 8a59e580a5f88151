//! Whether a node may rely on having missed no accepted version.
//!
//! A node that starts, wakes from a pause or rejoins may have been left out of the live view under which a version was
//! accepted. It waits until everyone counts on it again and then asks once more: a ready peer, or, when there is none,
//! the store by a compare-and-set, which unlike a read can't be answered from the past. Versions that are accepted
//! later need this node's own acknowledgement.

use std::time::Duration;

use super::config::ReplicaConfig;
use super::content::ConfigurationVersion;
use super::message::ProbeId;
use crate::time::Timestamp;

/// The state of the check.
#[derive(Default)]
pub(super) struct Synchronization {
    trusted: bool,
    ready: bool,
    settled_at: Option<Timestamp>,
    last_probe: ProbeId,
    first_probe: Option<ProbeId>,
    target: Option<Option<ConfigurationVersion>>,
}

impl Synchronization {
    /// Ends the node's part until it is trusted again. A node that is cut off sees nobody else, would take itself for the
    /// coordinator, and could prove by the store alone that it has the latest version: it must not accept any.
    pub fn suspend(&mut self) {
        *self = Synchronization { last_probe: self.last_probe, ..Synchronization::default() };
    }

    /// Starts the check of a node that membership counts as live.
    pub fn trust(&mut self, config: &ReplicaConfig, now: Timestamp) {
        self.trusted = true;
        self.restart(config, now);
    }

    /// Starts the check again.
    pub fn restart(&mut self, config: &ReplicaConfig, now: Timestamp) {
        self.ready = false;
        self.settled_at = Some(now + config.settle_time);
        self.first_probe = None;
        self.target = None;
    }

    /// Postpones the check by a time in which the node did nothing: it has learnt nothing meanwhile.
    pub fn postpone(&mut self, gap: Duration) {
        self.settled_at = self.settled_at.map(|settled_at| settled_at + gap);
    }

    /// Whether membership counts this node as live.
    pub fn is_trusted(&self) -> bool {
        self.trusted
    }

    /// Whether the check has succeeded.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether everyone counts on this node again, so that answers from now on decide the check.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.settled_at.is_some_and(|settled_at| now >= settled_at)
    }

    /// The identity of a probe that is sent now.
    pub fn next_probe(&mut self, now: Timestamp) -> ProbeId {
        self.last_probe.0 += 1;
        if self.is_settled(now) {
            self.first_probe.get_or_insert(self.last_probe);
        }
        self.last_probe
    }

    /// Takes in a ready peer's answer; it counts when its probe was sent after settling.
    pub fn record_answer(&mut self, probe: ProbeId, in_force: Option<ConfigurationVersion>) {
        if self.first_probe.is_some_and(|first| probe >= first && probe <= self.last_probe) {
            self.raise_target(in_force);
        }
    }

    /// Notes the version that must be in force here before the node is ready.
    pub fn raise_target(&mut self, in_force: Option<ConfigurationVersion>) {
        self.target = Some(self.target.flatten().max(in_force));
    }

    /// Ends the check when `in_force` has reached the target and `floor`.
    pub fn update(&mut self, in_force: Option<ConfigurationVersion>, floor: ConfigurationVersion) {
        let Some(target) = self.target else { return };
        if self.trusted && in_force >= target && in_force >= Some(floor) {
            self.ready = true;
        }
    }
}
