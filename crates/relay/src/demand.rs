//! What this node's own callers ask of engines: counted by the traffic thread, read by the control thread.

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

/// This node's own demand. Copies share it; neither thread holds it for longer than it takes to add or copy numbers.
#[derive(Clone, Debug, Default)]
pub struct SharedDemand {
    own: Arc<Mutex<OwnDemand>>,
}

impl SharedDemand {
    /// Counts a prompt of which `unread` tokens have to be read.
    pub fn record_prompt(&self, service: &ServiceName, unread: u32) {
        self.lock().counters.record_prompt(service, unread);
    }

    /// Counts an answer that was generated in `took`.
    pub fn record_answer(&self, service: &ServiceName, took: Duration) {
        self.lock().counters.record_answer(service, took);
    }

    /// Sets what was seen of engines that had nothing else to read.
    pub fn set_isolated_prefills(&self, totals: PrefillTotals) {
        self.lock().isolated_prefills = totals;
    }

    /// What the nodes that decide on stages are told.
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
        // The numbers are whole after every change, also when a thread has ended while it held them.
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
