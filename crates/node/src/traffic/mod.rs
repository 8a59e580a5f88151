//! Traffic: relays requests between callers, dispatching nodes and engines, on its own threads.

mod answer;
mod attempt;
mod engine_watch;
mod gateway;
mod hop;
mod pool_factory;
mod pool_runtime;
mod registry;

pub use answer::AnswerEvent;
pub use attempt::{AttemptPlan, PieceSink, run_attempt};
pub use gateway::{Gateway, GatewayParts};
pub use hop::{Hop, HopEvent, HopRequest, Hops};
pub use pool_factory::PoolFactory;
pub use pool_runtime::{EngineTarget, PoolRuntime, ReportedWork, SubmittedRequest};
pub use registry::PoolRegistry;
