//! What operators do, carried out: plans, confirmations and status, behind the operators' API.

mod planning;
mod service;
mod status;
mod store_edits;

pub use service::{DrainSignal, OperatorService, OperatorServiceParts};
