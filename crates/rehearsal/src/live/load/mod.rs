//! Load on a running deployment: callers that send requests over HTTP and note what became of each.

mod caller;
mod mild;
mod planned;
mod prompt;
mod readiness;
mod run;

pub use mild::mild_experiment;
pub use planned::{LoadPlan, PlannedCall, plan_calls};
pub use readiness::{ReadinessError, wait_for_claims};
pub(super) use run::sleep_until;
pub use run::{CallerTargets, LoadHistory, run_load};
