//! Placement policies: which engine takes a request.

use std::time::Duration;

use super::PolicyError;
use crate::configuration::PolicyChoice;
use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::world::{EngineName, EnginePerformance, EngineRole};

/// The part of a request's work that is to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The prompt only; its KV cache then moves to the decode engine.
    Prefill,
    /// Generation only, after the KV cache has been imported.
    Decode,
    /// Prompt and generation on one engine.
    Whole,
}

/// What the dispatcher knows about one engine that could take the work.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The engine.
    pub name: EngineName,
    /// Its role now.
    pub role: EngineRole,
    /// Requests that the dispatcher has placed on it and that have not ended.
    pub running: u32,
    /// Prompt tokens placed on it and not yet read, less what is predicted to be cached.
    pub waiting_prefill_tokens: u32,
    /// KV tokens that its requests will hold at their longest.
    pub reserved_kv_tokens: u32,
    /// Tokens at the start of this request's prompt that are believed to be cached there.
    pub cached_prefix_tokens: u32,
    /// One-way latency from the dispatcher to the engine.
    pub link_latency: Duration,
    /// What the engine can do.
    pub performance: EnginePerformance,
}

/// Chooses an engine for a piece of work.
pub trait PlacementPolicy: Send {
    /// The index in `candidates` of the engine that takes the work; `None` leaves it in the queue.
    ///
    /// All candidates serve the stage and have room for the request.
    fn choose(
        &mut self,
        request: &RequestProfile,
        stage: Stage,
        candidates: &[EngineView],
        now: Timestamp,
    ) -> Option<usize>;
}

/// Creates the placement policy that `choice` names. `seed` makes its random choices repeatable.
///
/// # Errors
/// When the name or a parameter is unknown or out of range.
pub fn placement_policy(choice: &PolicyChoice, _seed: u64) -> Result<Box<dyn PlacementPolicy>, PolicyError> {
    match choice.name.as_str() {
        "least_loaded" => Ok(Box::new(LeastLoaded)),
        name => Err(PolicyError::UnknownName { name: name.to_owned(), known: "least_loaded".to_owned() }),
    }
}

struct LeastLoaded;

impl PlacementPolicy for LeastLoaded {
    fn choose(&mut self, _: &RequestProfile, _: Stage, candidates: &[EngineView], _: Timestamp) -> Option<usize> {
        (0..candidates.len()).min_by_key(|&index| candidates[index].running)
    }
}
