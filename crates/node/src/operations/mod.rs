//! What operators do, carried out: plans, confirmations and status, behind the operators' API.

mod change_text;
mod demand;
mod planning;
mod policies;
mod service;
mod status;
mod store_edits;

pub use change_text::describe_change;
pub use demand::{PoolReading, demand_by_model};
pub use planning::{make_plan, plan_answer};
pub use service::{DrainSignal, OperatorService, OperatorServiceParts};
pub use status::{configuration_status, confirm_answer};
