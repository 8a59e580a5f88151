//! Placement policies: which engine takes a request.

use std::time::Duration;

use super::trial::{ArmOutcomes, RequestOutcome};
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
    /// Requests that the dispatcher has placed on it and that have not ended, and those that others run there.
    pub running: u32,
    /// Requests among `running` that generate tokens: reading a prompt delays each of them.
    pub decoding: u32,
    /// Prompt tokens placed on it and not yet read, less what is predicted to be cached.
    pub waiting_prefill_tokens: u32,
    /// Predicted time until it starts to read a prompt that is placed on it now.
    pub prefill_wait: Duration,
    /// How long it may read prompts before the first of its streams breaks its contract's token interval.
    pub interference_slack: Duration,
    /// KV tokens that its requests will hold at their longest.
    pub reserved_kv_tokens: u32,
    /// Tokens at the start of this request's prompt that are believed to be cached there.
    pub cached_prefix_tokens: u32,
    /// One-way latency from the dispatcher to the engine.
    pub link_latency: Duration,
    /// What the engine can do.
    pub performance: EnginePerformance,
}

impl EngineView {
    /// Predicted time to read what is not cached of a prompt.
    pub fn prefill_time(&self, request: &RequestProfile) -> Duration {
        let tokens = request.prompt_tokens.saturating_sub(self.cached_prefix_tokens);
        self.performance.prefill_time(tokens)
    }

    /// Predicted time of one generation step once one more request runs here.
    pub fn step_time(&self) -> Duration {
        self.performance.step_time_of(self.decoding + 1)
    }

    /// Predicted time to the first token when the request is placed here now.
    pub fn time_to_first_token(&self, request: &RequestProfile, stage: Stage) -> Duration {
        let prefill = match stage {
            Stage::Prefill | Stage::Whole => self.prefill_wait + self.prefill_time(request),
            Stage::Decode => self.performance.transfer_time(request.prompt_tokens),
        };
        2 * self.link_latency + prefill + self.step_time()
    }
}

/// Chooses an engine for a piece of work.
pub trait PlacementPolicy: Send {
    /// The index in `candidates` of the engine that takes the work; `None` leaves it in the queue.
    ///
    /// All candidates serve the stage and have room for the request. They are in the order of their names.
    fn choose(
        &mut self,
        request: &RequestProfile,
        stage: Stage,
        candidates: &[EngineView],
        now: Timestamp,
    ) -> Option<usize>;

    /// Learns how a request ended; called once for each request, also for one that was refused.
    fn record(&mut self, _request: &RequestProfile, _outcome: RequestOutcome) {}

    /// Outcomes so far, by arm of a trial; empty for a policy that isn't a trial.
    fn arm_outcomes(&self) -> Vec<ArmOutcomes> {
        Vec::new()
    }
}
