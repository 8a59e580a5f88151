//! The node's reach of the other nodes, shared between the two threads.

use std::sync::{Arc, Mutex, PoisonError};

use havengate_core::quota::FleetReach;
use havengate_core::time::Timestamp;

/// A [`FleetReach`] that the control thread updates and the traffic thread reads. Clones share the state.
#[derive(Clone, Debug)]
pub struct SharedFleetReach {
    reach: Arc<Mutex<FleetReach>>,
}

impl SharedFleetReach {
    /// The reach of a node that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        SharedFleetReach { reach: Arc::new(Mutex::new(FleetReach::new(now))) }
    }

    /// The share of all nodes that this node may grant for at `now`, from 0 to 1.
    pub fn grant_share(&self, now: Timestamp) -> f64 {
        self.with(|reach| reach.grant_share(now))
    }

    /// Calls `use_reach` with the reach. The lock is held only for this call.
    pub(crate) fn with<R>(&self, use_reach: impl FnOnce(&mut FleetReach) -> R) -> R {
        use_reach(&mut self.reach.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
