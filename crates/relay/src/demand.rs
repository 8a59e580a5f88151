//! The load that this node's own callers put on engines, counted by the traffic thread and read by the control thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use havengate_core::relay::PrefillTotals;
use havengate_core::stages::{DemandCounters, DemandReport};
use havengate_core::world::{Address, ServiceName};

#[derive(Debug, Default)]
struct OwnDemand {
    counters: DemandCounters,
    isolated_prefills: PrefillTotals,
}

/// This node's own demand. Clones share it. Both threads hold the lock only while they add or copy numbers.
#[derive(Clone, Debug, Default)]
pub struct SharedDemand {
    own: Arc<Mutex<OwnDemand>>,
}

impl SharedDemand {
    /// Counts a prompt of which `uncached` tokens need a prefill.
    pub fn record_prompt(&self, service: &ServiceName, uncached: u32) {
        self.lock().counters.record_prompt(service, uncached);
    }

    /// Counts an answer whose generation took `took`.
    pub fn record_answer(&self, service: &ServiceName, took: Duration) {
        self.lock().counters.record_answer(service, took);
    }

    /// Sets the totals of the prefills that ran alone at their engines.
    pub fn set_isolated_prefills(&self, totals: PrefillTotals) {
        self.lock().isolated_prefills = totals;
    }

    /// The report to the nodes that decide on stages.
    pub fn report(&self, sender: Address, incarnation: u64) -> DemandReport {
        let own = self.lock();
        DemandReport {
            sender,
            incarnation,
            services: own.counters.services(),
            isolated_prefills: own.isolated_prefills,
        }
    }

    fn lock(&self) -> MutexGuard<'_, OwnDemand> {
        // The numbers are consistent after every change, even if a thread panicked while it held the lock.
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
