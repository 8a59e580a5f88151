//! An engine in virtual time: continuous batching, prefix cache, KV hand-over, fenced orders, crashes.
//!
//! The model has no I/O and no clock. The driver hands in work and the time, calls [`EngineModel::advance`] no later
//! than [`EngineModel::next_event`], and gets back what the engine has produced. The simulator drives it in virtual
//! time, the stand-in server in real time.

mod batch;
mod config;
mod history;
mod memory;
mod observation;
mod recent;
mod state;
mod work;

pub use config::{EngineConfigError, EngineModelConfig};
pub use history::{EngineHistory, OrderRecord, RunEnd, RunRecord};
pub use state::{EngineModel, EngineUsage};
pub use work::{
    CancelOutcome, EngineOutput, EngineRefusalCode, ExportId, ExportedKv, GenerateWork, ImportedKv, OutputEvent,
    WorkKind,
};
