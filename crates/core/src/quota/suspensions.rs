//! Nodes that didn't answer a request for units, and get no other one until they answer a probe.

use std::collections::BTreeMap;

use super::config::QuotaConfig;
use crate::time::Timestamp;
use crate::world::Address;

/// The suspended nodes, for all tenants together. A node is suspended until it answers a probe.
#[derive(Debug, Default)]
pub(super) struct Suspensions {
    nodes: BTreeMap<Address, Suspension>,
}

#[derive(Debug)]
struct Suspension {
    /// When the next probe is due.
    probe_at: Timestamp,
    /// The sequence number of the latest probe.
    probe: Option<u64>,
}

impl Suspensions {
    pub(super) fn suspend(&mut self, node: Address, config: &QuotaConfig, now: Timestamp) {
        self.nodes.insert(node, Suspension { probe_at: now + config.suspension, probe: None });
    }

    pub(super) fn contains(&self, node: Address) -> bool {
        self.nodes.contains_key(&node)
    }

    pub(super) fn retain(&mut self, is_peer: impl Fn(Address) -> bool) {
        self.nodes.retain(|node, _| is_peer(*node));
    }

    /// Makes the first probe of a suspended node due at once. Called when a node ranked after it answers `NotHome`, which
    /// suggests that the suspended node is back.
    pub(super) fn expedite(&mut self, node: Address, now: Timestamp) {
        if let Some(suspension) = self.nodes.get_mut(&node).filter(|suspension| suspension.probe.is_none()) {
            suspension.probe_at = now;
        }
    }

    /// The sequence number of the probe to send now, if one is due.
    pub(super) fn next_probe(
        &mut self,
        node: Address,
        sequence: &mut u64,
        config: &QuotaConfig,
        now: Timestamp,
    ) -> Option<u64> {
        let suspension = self.nodes.get_mut(&node).filter(|suspension| suspension.probe_at <= now)?;
        *sequence += 1;
        suspension.probe = Some(*sequence);
        suspension.probe_at = now + config.probe_interval;
        suspension.probe
    }

    /// Ends the suspension if the answer is that to the latest probe.
    pub(super) fn receive_probe_answer(&mut self, node: Address, sequence: u64) -> bool {
        let is_answer = self.nodes.get(&node).is_some_and(|suspension| suspension.probe == Some(sequence));
        if is_answer {
            self.nodes.remove(&node);
        }
        is_answer
    }
}
