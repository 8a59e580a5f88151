//! Checks that a node has missed no accepted version.
//!
//! A node that starts, resumes after a pause or rejoins may have been absent from the live view under which a version
//! was accepted. It waits until all nodes regard it as live again and then asks a ready peer or, when there is none,
//! the store by a compare-and-set, which unlike a read can't return stale data. Versions that are accepted later need
//! this node's own acknowledgement.

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
    /// Suspends the node until it is trusted again. An isolated node sees no peers, would regard itself as the
    /// coordinator, and could prove through the store alone that it has the latest version; it must not accept any.
    pub fn suspend(&mut self) {
        *self = Synchronization { last_probe: self.last_probe, ..Synchronization::default() };
    }

    /// Starts the check after membership regards this node as live.
    pub fn trust(&mut self, config: &ReplicaConfig, now: Timestamp) {
        self.trusted = true;
        self.restart(config, now);
    }

    /// Restarts the check.
    pub fn restart(&mut self, config: &ReplicaConfig, now: Timestamp) {
        self.ready = false;
        self.settled_at = Some(now + config.settle_time);
        self.first_probe = None;
        self.target = None;
    }

    /// Postpones the check by a time in which the node did not run and therefore received no updates.
    pub fn postpone(&mut self, gap: Duration) {
        self.settled_at = self.settled_at.map(|settled_at| settled_at + gap);
    }

    /// Whether membership regards this node as live.
    pub fn is_trusted(&self) -> bool {
        self.trusted
    }

    /// Whether the check has succeeded.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether all nodes regard this node as live again, so that answers to new probes count for the check.
    pub fn is_settled(&self, now: Timestamp) -> bool {
        self.settled_at.is_some_and(|settled_at| now >= settled_at)
    }

    /// Allocates the identifier of a probe that is sent at `now`.
    pub fn next_probe(&mut self, now: Timestamp) -> ProbeId {
        self.last_probe.0 += 1;
        if self.is_settled(now) {
            self.first_probe.get_or_insert(self.last_probe);
        }
        self.last_probe
    }

    /// Records a ready peer's answer; it counts only when its probe was sent after the settle time.
    pub fn record_answer(&mut self, probe: ProbeId, in_force: Option<ConfigurationVersion>) {
        if self.first_probe.is_some_and(|first| probe >= first && probe <= self.last_probe) {
            self.raise_target(in_force);
        }
    }

    /// Raises the version that must be in force here before the node is ready.
    pub fn raise_target(&mut self, in_force: Option<ConfigurationVersion>) {
        self.target = Some(self.target.flatten().max(in_force));
    }

    /// Completes the check when `in_force` has reached both the target and `floor`.
    pub fn update(&mut self, in_force: Option<ConfigurationVersion>, floor: ConfigurationVersion) {
        let Some(target) = self.target else { return };
        if self.trusted && in_force >= target && in_force >= Some(floor) {
            self.ready = true;
        }
    }
}
