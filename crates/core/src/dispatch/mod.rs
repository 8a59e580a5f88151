//! Dispatch: which request runs on which engine of a pool, and when.
//!
//! A [`Dispatcher`] is a state machine for one pool. The caller hands in requests and what engines answer, and carries
//! out the actions that [`Dispatcher::poll`] returns.

mod config;
mod dispatcher;
mod event;
mod retry_budget;

pub use config::DispatchConfig;
pub use dispatcher::Dispatcher;
pub use event::{
    AttemptOutcome, DispatchAction, EngineAvailability, EngineEvent, EngineSlot, Placement, ReportedLoad, Revocation,
};
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
