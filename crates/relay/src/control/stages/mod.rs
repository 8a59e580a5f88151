//! Stages: the node that holds the lease orders engines to change between prefill and decode.

mod decisions;
mod engine_orders;
mod stage_controller;

pub use stage_controller::{StageController, StageControllerParts};
