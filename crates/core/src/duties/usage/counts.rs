//! A node's own counts, and when to send them to which candidate.

use std::collections::BTreeMap;
use std::time::Duration;

use speedy::{Readable, Writable};

use super::window::{UsageConfig, WindowNumber};
use crate::world::{Address, TenantName};

/// The requests of each tenant that engines started in a window, as counted so far by one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UsageCountsMessage {
    /// The sender's address for its peers; identifies the node.
    pub sender: Address,
    /// Distinguishes the incarnations of the sender's process.
    pub incarnation: u64,
    /// The window.
    pub window: WindowNumber,
    /// The counts, which never decrease.
    pub counts: Vec<(TenantName, u32)>,
}

/// The counts of a node in the windows that are still kept.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<WindowNumber, BTreeMap<TenantName, u32>>,
}

impl UsageCounts {
    /// Counts a request of `tenant` that an engine started in `window`.
    pub fn record(&mut self, window: WindowNumber, tenant: &TenantName) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(tenant) {
            Some(count) => *count = count.saturating_add(1),
            None => drop(counts.insert(tenant.clone(), 1)),
        }
    }

    /// Drops the windows before `first`.
    pub fn forget_before(&mut self, first: WindowNumber) {
        self.windows = self.windows.split_off(&first);
    }

    /// The windows that contain counts.
    pub fn windows(&self) -> impl Iterator<Item = (WindowNumber, &BTreeMap<TenantName, u32>)> {
        self.windows.iter().map(|(window, counts)| (*window, counts))
    }
}

/// How often the final counts of a window are sent, since a message may be lost.
const FINAL_ANNOUNCEMENTS: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Announced {
    requests: u64,
    times: u32,
}

/// The counts that a node has announced to each candidate.
#[derive(Clone, Debug, Default)]
pub struct UsageAnnouncements {
    announced: BTreeMap<Address, BTreeMap<WindowNumber, Announced>>,
}

impl UsageAnnouncements {
    /// The windows whose counts must be sent to `receiver` at `true_time`: those that have changed, and those that have ended
    /// and were not sent twice since their last change. A new receiver gets all windows.
    pub fn due(
        &mut self,
        receiver: Address,
        counts: &UsageCounts,
        config: &UsageConfig,
        true_time: Duration,
    ) -> Vec<WindowNumber> {
        let current_window = config.window_at(true_time);
        let announced = self.announced.entry(receiver).or_default();
        announced.retain(|window, _| counts.windows.contains_key(window));
        let mut due = Vec::new();
        for (window, counts) in counts.windows() {
            let requests = counts.values().map(|count| u64::from(*count)).sum();
            let announced = announced.entry(window).or_default();
            if announced.requests != requests {
                *announced = Announced { requests, times: 0 };
            }
            // The counts of the current window change anyway.
            let times = if window < current_window { FINAL_ANNOUNCEMENTS } else { 1 };
            if announced.times < times {
                announced.times += 1;
                due.push(window);
            }
        }
        due
    }

    /// Drops the state of all nodes but `receivers`, so that a node that becomes a receiver again gets all windows.
    pub fn retain_receivers(&mut self, receivers: &[Address]) {
        self.announced.retain(|receiver, _| receivers.contains(receiver));
    }

    /// Drops the state of `receiver`, which has restarted without any counts.
    pub fn forget(&mut self, receiver: Address) {
        self.announced.remove(&receiver);
    }
}
