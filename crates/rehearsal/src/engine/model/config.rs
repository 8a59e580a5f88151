//! What a modelled engine is and how it behaves.

use std::time::Duration;

use displaydoc::Display;
use havengate_core::world::{AdapterName, Engine, EnginePerformance, EngineRole, ModelName, ModelVersion};

/// The settings of one modelled engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModelConfig {
    /// The model that it serves after a start.
    pub model: ModelName,
    /// The version that it has loaded after a start.
    pub version: ModelVersion,
    /// The adapter that it has loaded after a start.
    pub adapter: Option<AdapterName>,
    /// The role that it has after a start.
    pub role: EngineRole,
    /// Its speed and its limits.
    pub performance: EnginePerformance,
    /// The incarnation of its first life; each restart counts one up.
    pub incarnation: u64,
    /// The most prompt tokens read in one step. Longer prompts are read in pieces, so that a long prompt delays the
    /// tokens of the running requests by one piece at a time.
    pub chunk_tokens: u32,
    /// Tokens after which a piece of an answer is put out. The first token and the end are always put out at once.
    /// A higher number makes simulations faster.
    pub piece_tokens: u32,
    /// The most requests that wait; a real engine's queue is bounded by its memory.
    pub waiting_maximum: usize,
    /// How long loading a model, a version or an adapter takes.
    pub load_time: Duration,
    /// How long an exported KV cache is held for its importer; after it the memory is needed for other work.
    pub export_retention: Duration,
    /// How old a load report is when it is read.
    pub load_lag: Duration,
    /// How late cache events can be read.
    pub cache_event_lag: Duration,
    /// The share of cache events that are lost, from 0 to 1.
    pub cache_event_loss: f64,
    /// The most cache events kept for readers; older ones are lost to a reader that comes late.
    pub cache_events_maximum: usize,
    /// The most request identities remembered as cancelled, and as started; bounds memory on a long run.
    pub remembered_maximum: usize,
    /// The most runs and the most orders kept in the history; bounds memory on a long run.
    pub history_maximum: usize,
    /// Decides which cache events are lost.
    pub seed: u64,
}

impl EngineModelConfig {
    /// The settings of a mixed engine that serves `model` with the speed of `performance`.
    pub fn new(model: ModelName, performance: EnginePerformance) -> Self {
        EngineModelConfig {
            model,
            version: ModelVersion::default(),
            adapter: None,
            role: EngineRole::Mixed,
            performance,
            incarnation: 1,
            chunk_tokens: 2_000,
            piece_tokens: 1,
            waiting_maximum: 256,
            load_time: Duration::from_secs(8),
            export_retention: Duration::from_secs(30),
            load_lag: Duration::from_secs(2),
            cache_event_lag: Duration::from_secs(1),
            cache_event_loss: 0.0,
            cache_events_maximum: 4_096,
            remembered_maximum: 100_000,
            history_maximum: 1_000_000,
            seed: 1,
        }
    }

    /// The settings of `engine` in the state that configuration wants it to have.
    pub fn for_engine(engine: &Engine, version: ModelVersion, performance: EnginePerformance) -> Self {
        EngineModelConfig {
            version,
            adapter: engine.adapter.clone(),
            role: engine.role,
            ..EngineModelConfig::new(engine.model.clone(), performance)
        }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// When an engine with these settings could not make progress.
    pub fn validate(&self) -> Result<(), EngineConfigError> {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        let performance = &self.performance;
        if !positive(performance.prefill_tokens_per_second) {
            return Err(EngineConfigError::NotPositive { field: "prefill_tokens_per_second" });
        }
        if !positive(performance.kv_transfer_tokens_per_second) {
            return Err(EngineConfigError::NotPositive { field: "kv_transfer_tokens_per_second" });
        }
        let counts = [
            ("step_time", performance.step_time.as_micros() as u64),
            ("batch_maximum", performance.batch_maximum.into()),
            ("kv_capacity_tokens", performance.kv_capacity_tokens.into()),
            ("chunk_tokens", self.chunk_tokens.into()),
            ("piece_tokens", self.piece_tokens.into()),
            ("waiting_maximum", self.waiting_maximum as u64),
        ];
        if let Some((field, _)) = counts.into_iter().find(|(_, count)| *count == 0) {
            return Err(EngineConfigError::NotPositive { field });
        }
        if !(0.0..=1.0).contains(&self.cache_event_loss) {
            return Err(EngineConfigError::NotAShare { field: "cache_event_loss" });
        }
        Ok(())
    }
}

/// Why settings of a modelled engine are refused.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum EngineConfigError {
    /// `{field}` must be greater than zero
    NotPositive {
        /// The setting.
        field: &'static str,
    },
    /// `{field}` must lie between 0 and 1
    NotAShare {
        /// The setting.
        field: &'static str,
    },
}
