//! Traffic: requests between callers, dispatching nodes and engines, on threads of their own.

mod answer;
mod attempt;
mod gateway;
mod pool_runtime;
mod registry;

pub use answer::AnswerEvent;
pub use gateway::Gateway;
pub use pool_runtime::{EngineTarget, PoolRuntime, SubmittedRequest};
pub use registry::PoolRegistry;
