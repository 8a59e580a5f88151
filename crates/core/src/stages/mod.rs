//! Assignment of engines to the prefill and decode stages: which node decides, on what demand, and how engines change.
//!
//! Orders to engines require a [lease](crate::duties::Lease), which one node holds at a time. [`DemandTable`]
//! aggregates the demand of all nodes, [`StagePolicy`] derives the number of prefill engines from it, and
//! [`StageChanges`] changes engines step by step. Nothing here does I/O; `docs/adr/0013-stages.md` gives the reasons.

mod changes;
mod demand;
mod order_circuit_breaker;
mod policy;

pub use changes::{ChangeEnd, ChangesConfig, OrderAnswer, StageChange, StageChanges, StageOrder, StagedEngine};
pub use demand::{DemandCounters, DemandReport, DemandTable, DemandTableConfig, ServiceDemand};
pub use order_circuit_breaker::{OrderCircuitBreaker, OrderCircuitBreakerConfig};
pub use policy::{
    ServiceLoad, StageCounts, StageDecision, StagePolicy, StagePolicyConfig, StagePolicyConfigError, StagePolicyName,
};
