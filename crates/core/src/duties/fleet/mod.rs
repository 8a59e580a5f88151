//! How many engines there are: planned from prices and from what a loss costs, ordered by the holder of the lease.
//!
//! Engines come in two kinds. On-demand ones stay; preemptible ones cost a part of that, and those of one zone may be taken
//! away together at any moment. [`FleetPolicy`] plans how many of each kind a zone is to have, [`FleetOrders`] orders what
//! differs from the plan.

mod orders;
mod policy;

pub use orders::{FleetOrder, FleetOrders, FleetOrdersConfig};
pub use policy::{
    EngineKind, FleetBaseline, FleetPlan, FleetPolicy, FleetPolicyConfig, FleetPolicyConfigError, FleetPolicyName,
    ZoneFleet,
};
