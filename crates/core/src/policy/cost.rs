//! The placement policy `cost`: chooses the engine with the lowest predicted cost, a weighted sum of predicted times.

use super::PolicyError;
use super::parameters::{Parameter, check};
use super::placement::{EngineView, PlacementPolicy, Stage};
use crate::configuration::PolicyChoice;
use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::world::EngineRole;

const FIRST_TOKEN: Parameter = Parameter::new("first_token", 1.0, 0.0, 100.0)
    .meaning("weight of the time to the first token: link, waiting prompts, this prompt, one step");
const READ: Parameter =
    Parameter::new("read", 1.0, 0.0, 100.0).meaning("weight of the time to read what is not cached of the prompt");
const GENERATION: Parameter = Parameter::new("generation", 0.2, 0.0, 100.0)
    .meaning("weight of the time that the batch adds to this request's generation");
const INTERFERENCE: Parameter = Parameter::new("interference", 0.2, 0.0, 100.0)
    .meaning("weight of the time by which reading delays the engine's streams, summed over them");
const BROKEN_INTERVAL: Parameter = Parameter::new("broken_interval", 4.0, 0.0, 100.0)
    .meaning("weight of the time by which that delay exceeds what the streams' contracts bear");
const MEMORY: Parameter = Parameter::new("memory", 0.05, 0.0, 100.0).meaning("weight of the share of KV memory in use");
const LINK: Parameter = Parameter::new("link", 1.0, 0.0, 100.0)
    .meaning("weight of the one-way time on the link, besides its part in the time to the first token");
pub(super) const PARAMETERS: [Parameter; 7] =
    [FIRST_TOKEN, READ, GENERATION, INTERFERENCE, BROKEN_INTERVAL, MEMORY, LINK];

/// The weights of the cost terms; each multiplies a predicted time in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// Time to the first token: link, prompts waiting at the engine, this prompt, one step.
    first_token: f64,
    /// Time to prefill the uncached part of the prompt, which an engine with more of it cached would save.
    read: f64,
    /// Time that the other requests in the batch add to this request's generation.
    generation: f64,
    /// Delay of the engine's streams by the prefill of the prompt, summed over the streams.
    interference: f64,
    /// Time by which that delay exceeds what the streams' contracts still allow.
    broken_interval: f64,
    /// The share of KV memory in use; a full memory counts as one second.
    memory: f64,
    /// One-way time on the link, in addition to its part in the time to the first token.
    link: f64,
}

impl Cost {
    pub(super) fn from_choice(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        check(choice, &PARAMETERS)?;
        Ok(Cost {
            first_token: FIRST_TOKEN.value_in(choice),
            read: READ.value_in(choice),
            generation: GENERATION.value_in(choice),
            interference: INTERFERENCE.value_in(choice),
            broken_interval: BROKEN_INTERVAL.value_in(choice),
            memory: MEMORY.value_in(choice),
            link: LINK.value_in(choice),
        })
    }

    fn cost(&self, request: &RequestProfile, stage: Stage, engine: &EngineView) -> f64 {
        let prefills = stage != Stage::Decode;
        let prefill_time = if prefills { engine.prefill_time(request).as_secs_f64() } else { 0.0 };
        let interferes = prefills && engine.role == EngineRole::Mixed && engine.decoding > 0;
        let total_delay = if interferes { prefill_time * f64::from(engine.decoding) } else { 0.0 };
        let excess = if interferes { prefill_time - engine.interference_slack.as_secs_f64() } else { 0.0 };
        let memory = f64::from(engine.reserved_kv_tokens) / f64::from(engine.performance.kv_capacity_tokens.max(1));
        self.first_token * engine.time_to_first_token(request, stage).as_secs_f64()
            + self.read * prefill_time
            + self.generation * generation_delay(request, stage, engine)
            + self.interference * total_delay
            + self.broken_interval * excess.max(0.0)
            + self.memory * memory
            + self.link * engine.link_latency.as_secs_f64()
    }
}

/// Seconds by which generation takes longer than on an idle engine.
fn generation_delay(request: &RequestProfile, stage: Stage, engine: &EngineView) -> f64 {
    if stage == Stage::Prefill {
        return 0.0;
    }
    let per_token = engine.step_time().saturating_sub(engine.performance.step_time);
    per_token.as_secs_f64() * f64::from(request.max_output_tokens)
}

impl PlacementPolicy for Cost {
    fn choose(
        &mut self,
        request: &RequestProfile,
        stage: Stage,
        candidates: &[EngineView],
        _: Timestamp,
    ) -> Option<usize> {
        let costs: Vec<f64> = candidates.iter().map(|engine| self.cost(request, stage, engine)).collect();
        (0..costs.len()).min_by(|&left, &right| costs[left].total_cmp(&costs[right]))
    }
}
