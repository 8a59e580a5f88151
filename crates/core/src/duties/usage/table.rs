//! The counts of all nodes, as a candidate has received them.

use std::collections::BTreeMap;

use super::counts::UsageCountsMessage;
use super::window::WindowNumber;
use crate::world::{Address, TenantName};

/// One incarnation of a node.
type NodeIncarnation = (Address, u64);

/// The counts of all nodes in the windows that are still kept.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    windows: BTreeMap<WindowNumber, BTreeMap<NodeIncarnation, BTreeMap<TenantName, u32>>>,
    /// Windows before this one are reported or no longer needed.
    first: Option<WindowNumber>,
}

impl UsageTable {
    /// Applies received counts and returns whether any count has increased. Of two messages about the same window, in either
    /// order, the higher count of each tenant applies.
    pub fn receive(&mut self, message: &UsageCountsMessage) -> bool {
        if self.first.is_some_and(|first| message.window < first) {
            return false;
        }
        let window_counts = self.windows.entry(message.window).or_default();
        let known = window_counts.entry((message.sender, message.incarnation)).or_default();
        let mut has_increased = false;
        for (tenant, count) in &message.counts {
            let known = known.entry(tenant.clone()).or_default();
            has_increased |= *count > *known;
            *known = (*known).max(*count);
        }
        has_increased
    }

    /// Drops the windows before `first` and ignores further counts for them.
    pub fn forget_before(&mut self, first: WindowNumber) {
        if self.first.is_none_or(|known| known < first) {
            self.first = Some(first);
            self.windows = self.windows.split_off(&first);
        }
    }

    /// The first window that has counts.
    pub fn first_window(&self) -> Option<WindowNumber> {
        self.windows.keys().next().copied()
    }

    /// The requests of each tenant in `window`, summed over all nodes.
    pub fn totals(&self, window: WindowNumber) -> BTreeMap<TenantName, u64> {
        let mut totals = BTreeMap::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (tenant, count) in counts {
                let total: &mut u64 = totals.entry(tenant.clone()).or_default();
                *total = total.saturating_add(u64::from(*count));
            }
        }
        totals
    }
}
