//! For what share of the nodes a node may grant, while it may be partitioned from some of them.

use crate::time::Timestamp;

/// Tells a node for what share of all nodes it may grant.
#[derive(Clone, Debug)]
pub struct FleetReach {
    started_at: Timestamp,
}

impl FleetReach {
    /// The reach of a node that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        FleetReach { started_at: now }
    }

    /// The share of all nodes that this node may grant for at `now`, from 0 to 1.
    pub fn grant_share(&self, now: Timestamp) -> f64 {
        if now < self.started_at { 0.0 } else { 1.0 }
    }
}
