//! A whole deployment on loopback in one process: nodes, stand-in engines and a stand-in platform, with load on it.

mod bootstrap;
mod cluster;
mod load;
mod rehearsal;
mod summary;

pub use bootstrap::{BootstrapError, put_in_force};
pub use cluster::{Cluster, ClusterError};
pub use load::{
    CallerTargets, LoadHistory, LoadPlan, PlannedCall, ReadinessError, mild_experiment, plan_calls, run_load,
    wait_for_claims,
};
pub use rehearsal::{Rehearsal, RehearsalError, rehearse};
pub use summary::{ContractSummary, LiveSummary};
