//! Checks what callers were told against what engines have run.
//!
//! The checks are pure functions over typed histories: [`CallRecord`]s of the callers and [`EngineObservation`]s of the
//! stand-in engines. What nodes say about themselves counts for nothing here.

mod call;

pub use call::{CallRecord, KeyedPrompt, Outcome};
