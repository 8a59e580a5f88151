//! The counts of all nodes, at a candidate.

use std::collections::BTreeMap;

use super::counts::UsageCountsMessage;
use super::window::WindowNumber;
use crate::world::{Address, TenantName};

/// One life of a node.
type NodeLife = (Address, u64);

/// What all nodes have counted in the windows that are still of interest.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    windows: BTreeMap<WindowNumber, BTreeMap<NodeLife, BTreeMap<TenantName, u32>>>,
    /// Windows before this one are reported, or of no interest any more.
    first: Option<WindowNumber>,
}

impl UsageTable {
    /// Takes counts in; whether they told anything new. Of two messages about the same window, whichever order they come
    /// in, the higher count of each tenant holds.
    pub fn receive(&mut self, message: &UsageCountsMessage) -> bool {
        if self.first.is_some_and(|first| message.window < first) {
            return false;
        }
        let of_window = self.windows.entry(message.window).or_default();
        let known = of_window.entry((message.sender, message.incarnation)).or_default();
        let mut is_news = false;
        for (tenant, count) in &message.counts {
            let known = known.entry(tenant.clone()).or_default();
            is_news |= *count > *known;
            *known = (*known).max(*count);
        }
        is_news
    }

    /// Forgets windows before `first` and takes nothing of them in any more.
    pub fn forget_before(&mut self, first: WindowNumber) {
        if self.first.is_none_or(|known| known < first) {
            self.first = Some(first);
            self.windows = self.windows.split_off(&first);
        }
    }

    /// The first window of which anything was counted.
    pub fn first_window(&self) -> Option<WindowNumber> {
        self.windows.keys().next().copied()
    }

    /// The requests of each tenant in `window`, over all nodes.
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
