//! What this node's own callers ask of engines: counted by the traffic thread, read by the control thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use havengate_core::relay::EngineModel;
use havengate_core::stages::{DemandCounters, DemandReport};
use havengate_core::world::{Address, ServiceName};

#[derive(Debug, Default)]
struct OwnDemand {
    counters: DemandCounters,
    model: EngineModel,
}

/// This node's own demand. Copies share it; neither thread holds it for longer than it takes to add or copy numbers.
#[derive(Clone, Debug, Default)]
pub struct SharedDemand {
    own: Arc<Mutex<OwnDemand>>,
}

impl SharedDemand {
    /// Counts a request with a long prompt of which `unread` tokens have to be read.
    pub fn record_long_prompt(&self, service: &ServiceName, unread: u32, model: EngineModel) {
        let mut own = self.lock();
        own.counters.record_long_prompt(service, unread);
        own.model = model;
    }

    /// Counts a request whose prompt is read where it is answered.
    pub fn record_short_prompt(&self, service: &ServiceName, model: EngineModel) {
        let mut own = self.lock();
        own.counters.record_short_prompt(service);
        own.model = model;
    }

    /// What the nodes that decide on stages are told.
    pub fn report(&self, sender: Address, life: u64) -> DemandReport {
        let own = self.lock();
        DemandReport::of(sender, life, &own.counters, &own.model)
    }

    fn lock(&self) -> MutexGuard<'_, OwnDemand> {
        // The numbers are whole after every change, also when a thread has ended while it held them.
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
