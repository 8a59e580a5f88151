//! Placement policies, which choose the engine for a request.

use std::time::Duration;

use super::trial::{ArmOutcomes, RequestOutcome};
use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::world::{EngineName, EnginePerformance, EngineRole};

/// The part of a request's work to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The prompt only; its KV cache then moves to the decode engine.
    Prefill,
    /// Generation only, after the KV cache has been imported.
    Decode,
    /// Prompt and generation on one engine.
    Whole,
}

/// The dispatcher's view of one candidate engine.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// The engine.
    pub name: EngineName,
    /// The engine's current role.
    pub role: EngineRole,
    /// Unfinished requests on the engine, both those placed by the dispatcher and those from other sources.
    pub running: u32,
    /// Requests among `running` that are generating tokens; a prefill delays each of them.
    pub decoding: u32,
    /// Prompt tokens placed on the engine and not yet prefilled, without those predicted to be cached.
    pub waiting_prefill_tokens: u32,
    /// Predicted time until the engine starts the prefill of a prompt placed now.
    pub prefill_wait: Duration,
    /// How long the engine may prefill before the first of its streams exceeds its contract's token interval.
    pub interference_slack: Duration,
    /// KV tokens that the engine's requests hold at their maximum length.
    pub reserved_kv_tokens: u32,
    /// Estimated number of tokens at the start of this request's prompt that the engine has cached.
    pub cached_prefix_tokens: u32,
    /// One-way latency from the dispatcher to the engine.
    pub link_latency: Duration,
    /// The engine's performance.
    pub performance: EnginePerformance,
}

impl EngineView {
    /// Predicted prefill time of the uncached part of the prompt.
    pub fn prefill_time(&self, request: &RequestProfile) -> Duration {
        let tokens = request.prompt_tokens.saturating_sub(self.cached_prefix_tokens);
        self.performance.prefill_time(tokens)
    }

    /// Predicted time of one generation step with one more running request.
    pub fn step_time(&self) -> Duration {
        self.performance.step_time_of(self.decoding + 1)
    }

    /// Predicted time to the first token if the request is placed on this engine now.
    pub fn time_to_first_token(&self, request: &RequestProfile, stage: Stage) -> Duration {
        let prefill = match stage {
            Stage::Prefill | Stage::Whole => self.prefill_wait + self.prefill_time(request),
            Stage::Decode => self.performance.transfer_time(request.prompt_tokens),
        };
        2 * self.link_latency + prefill + self.step_time()
    }
}

/// Chooses the engine for one stage of a request.
pub trait PlacementPolicy: Send {
    /// The index in `candidates` of the chosen engine; `None` leaves the request in the queue.
    ///
    /// All candidates serve the stage and have capacity for the request. They are ordered by name.
    fn choose(
        &mut self,
        request: &RequestProfile,
        stage: Stage,
        candidates: &[EngineView],
        now: Timestamp,
    ) -> Option<usize>;

    /// Records the outcome of a request; called once per request, including refused requests.
    fn record(&mut self, _request: &RequestProfile, _outcome: RequestOutcome) {}

    /// Outcomes so far by trial arm; empty for a policy that isn't a trial.
    fn arm_outcomes(&self) -> Vec<ArmOutcomes> {
        Vec::new()
    }
}
