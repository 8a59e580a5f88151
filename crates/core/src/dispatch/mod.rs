//! Dispatch: which request runs on which engine of a pool, and when.
//!
//! A [`Dispatcher`] is a state machine for one pool. Its owner passes in requests and engine events, and carries out
//! the actions that [`Dispatcher::poll`] returns.

mod admission;
mod attempts;
mod closed_requests;
mod config;
mod counters;
mod dispatcher;
mod ending;
mod engine_state;
mod event;
mod fair_queue;
mod fleet;
mod health;
mod job;
mod load_correction;
mod placing;
mod prefill_backlog;
mod prefix_index;
mod retry_budget;

pub use config::{DispatchConfig, DispatchConfigError};
pub use counters::DispatchCounters;
pub use dispatcher::Dispatcher;
pub use event::{
    AttemptOutcome, DispatchAction, EngineAvailability, EngineEvent, EngineSlot, Placement, ReportedLoad, Revocation,
};
pub use health::HealthConfig;
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
