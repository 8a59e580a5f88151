//! A node's own counts, and when it tells them to whom.

use std::collections::BTreeMap;
use std::time::Duration;

use speedy::{Readable, Writable};

use super::window::{UsageConfig, WindowNumber};
use crate::world::{Address, TenantName};

/// The requests of each tenant that engines began in a window, as one life of a node has counted them so far.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct UsageCountsMessage {
    /// The sender's address for its peers; names the node.
    pub sender: Address,
    /// Tells the lives of the sender's process apart.
    pub incarnation: u64,
    /// The window.
    pub window: WindowNumber,
    /// The counts, which only rise.
    pub counts: Vec<(TenantName, u32)>,
}

/// What a node has counted in the windows that are still of interest.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<WindowNumber, BTreeMap<TenantName, u32>>,
}

impl UsageCounts {
    /// Counts a request of `tenant` that an engine began in `window`.
    pub fn record(&mut self, window: WindowNumber, tenant: &TenantName) {
        let counts = self.windows.entry(window).or_default();
        match counts.get_mut(tenant) {
            Some(count) => *count = count.saturating_add(1),
            None => drop(counts.insert(tenant.clone(), 1)),
        }
    }

    /// Forgets windows before `first`.
    pub fn forget_before(&mut self, first: WindowNumber) {
        self.windows = self.windows.split_off(&first);
    }

    /// The windows in which something was counted.
    pub fn windows(&self) -> impl Iterator<Item = (WindowNumber, &BTreeMap<TenantName, u32>)> {
        self.windows.iter().map(|(window, counts)| (*window, counts))
    }
}

/// How often the last counts of a window are told, since a message may be lost.
const LAST_TOLD_TIMES: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Told {
    requests: u64,
    times: u32,
}

/// Which counts a node has told to which candidate.
#[derive(Clone, Debug, Default)]
pub struct UsageAnnouncements {
    told: BTreeMap<Address, BTreeMap<WindowNumber, Told>>,
}

impl UsageAnnouncements {
    /// The windows whose counts are to be told to `receiver` now, at `true_time`: those that have changed, and those that
    /// have ended and were not told twice since their last change. A receiver that was told nothing yet is told all.
    pub fn due(
        &mut self,
        receiver: Address,
        counts: &UsageCounts,
        config: &UsageConfig,
        true_time: Duration,
    ) -> Vec<WindowNumber> {
        let present = config.window_at(true_time);
        let told = self.told.entry(receiver).or_default();
        told.retain(|window, _| counts.windows.contains_key(window));
        let mut due = Vec::new();
        for (window, counts) in counts.windows() {
            let requests = counts.values().map(|count| u64::from(*count)).sum();
            let told = told.entry(window).or_default();
            if told.requests != requests {
                *told = Told { requests, times: 0 };
            }
            // The counts of the present window change anyway.
            let times = if window < present { LAST_TOLD_TIMES } else { 1 };
            if told.times < times {
                told.times += 1;
                due.push(window);
            }
        }
        due
    }

    /// Forgets all but `receivers`, so that one that becomes a receiver anew is told all.
    pub fn retain_receivers(&mut self, receivers: &[Address]) {
        self.told.retain(|receiver, _| receivers.contains(receiver));
    }

    /// Notes that `receiver` knows nothing: it has started anew.
    pub fn forget(&mut self, receiver: Address) {
        self.told.remove(&receiver);
    }
}
