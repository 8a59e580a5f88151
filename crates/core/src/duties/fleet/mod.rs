//! The number of engines: planned from prices and from the cost of losing a zone, ordered by the holder of the lease.
//!
//! Engines come in two kinds. On-demand engines are never preempted; preemptible engines cost a fraction of the on-demand
//! price, and all those of a zone may be preempted together at any time. [`FleetPolicy`] plans how many of each kind a zone
//! should have, and [`FleetOrders`] issues orders where the present engines differ from the plan.

mod orders;
mod policy;

pub use orders::{FleetOrder, FleetOrders, FleetOrdersConfig};
pub use policy::{
    EngineKind, FleetBaseline, FleetPlan, FleetPolicy, FleetPolicyConfig, FleetPolicyConfigError, FleetPolicyName,
    ZoneFleet,
};
