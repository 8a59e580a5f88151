//! Traffic: requests between callers, dispatching nodes and engines, on threads of their own.

mod answer;
mod attempt;
mod pool_runtime;

pub use answer::AnswerEvent;
pub use pool_runtime::{EngineTarget, PoolRuntime, SubmittedRequest};
