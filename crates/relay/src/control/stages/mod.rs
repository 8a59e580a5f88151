//! Stages: the node that decides tells engines to change between reading prompts and answering.

mod decisions;
mod engine_orders;
mod lease_keeper;
mod settings;
mod steering;

pub use settings::{StageLeaseSettings, StageSettings};
pub use steering::{Steering, SteeringParts};
