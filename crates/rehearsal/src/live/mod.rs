//! A whole deployment on loopback in one process: nodes, stand-in engines and a stand-in platform, with load on it.

mod bootstrap;
mod cluster;
mod fault_driver;
mod fault_schedule;
mod gate;
mod load;
mod rehearsal;
mod summary;

pub use bootstrap::{BootstrapError, put_in_force};
pub use cluster::{Cluster, ClusterError};
pub use fault_driver::{FaultDriver, FaultHistory};
pub use fault_schedule::{Event, seeded_events};
pub use gate::{ZoneCut, ZoneGate};
pub use load::{
    CallerTargets, LoadHistory, LoadPlan, PlannedCall, ReadinessError, mild_experiment, plan_calls, run_load,
    wait_for_claims,
};
pub use rehearsal::{Rehearsal, RehearsalError, rehearse};
pub use summary::{ContractSummary, LiveSummary};
