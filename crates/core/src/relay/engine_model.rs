//! How fast engines read prompts and move KV caches, estimated from what this node's own sends show.
//!
//! Nothing here is configured: a prior says what is believed before anything was seen, and it fades with each sample.

use std::time::Duration;

use speedy::{Readable, Writable};

use super::moves::Moves;
use super::quantile_estimate::{Estimate, QuantileEstimate};
use crate::back_ends::EngineStage;
use crate::time::Timestamp;

/// The share of samples that lies below an estimate of a reading rate. A reading that waited for others looks slow, and
/// many do; one that looks too fast kept more than was known, which is rare.
const RATE_QUANTILE: f64 = 0.7;

/// Shorter readings show the way to the engine rather than its rate.
const SAMPLE_MINIMUM_TOKENS: u32 = 1_000;

/// What is believed of prefill engines before any was seen, in tokens a millisecond.
const PREFILL_RATE_PRIOR: f64 = 100.0;

/// What is believed of decode engines before any was seen: they read between the tokens of others, at half the pace.
const DECODE_RATE_PRIOR: f64 = 50.0;

/// What prefill engines have read that had nothing else to read. Totals of several nodes can be added up, which estimates
/// can't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct PrefillTotals {
    /// The tokens that were read.
    pub tokens: u64,
    /// The time that this took, in microseconds.
    pub micros: u64,
}

impl PrefillTotals {
    fn add(&mut self, tokens: u32, took: Duration) {
        self.tokens = self.tokens.saturating_add(u64::from(tokens));
        self.micros = self.micros.saturating_add(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
    }
}

/// What is believed of the engines of the services that this node serves.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    prefill: QuantileEstimate,
    decode: QuantileEstimate,
    moves: Moves,
    isolated_prefills: PrefillTotals,
}

impl Default for EngineModel {
    fn default() -> Self {
        EngineModel {
            prefill: QuantileEstimate::new(PREFILL_RATE_PRIOR, RATE_QUANTILE),
            decode: QuantileEstimate::new(DECODE_RATE_PRIOR, RATE_QUANTILE),
            moves: Moves::default(),
            isolated_prefills: PrefillTotals::default(),
        }
    }
}

impl EngineModel {
    /// Notes that an engine that had nothing else to read took `took` for `tokens`.
    pub fn observe_prefill(&mut self, stage: EngineStage, tokens: u32, took: Duration) {
        if tokens < SAMPLE_MINIMUM_TOKENS {
            return;
        }
        let rate = f64::from(tokens) / millis(took);
        match stage {
            EngineStage::Prefill => {
                self.prefill.observe(rate);
                self.isolated_prefills.add(tokens, took);
            }
            EngineStage::Decode => self.decode.observe(rate),
        }
    }

    /// Notes that an engine began an answer `took` after it was sent there, for which no long prompt was moved or read.
    pub fn observe_wait(&mut self, took: Duration, now: Timestamp) {
        self.moves.observe_wait(took, now);
    }

    /// Notes that an engine took `took` to get a KV cache of `tokens` and to begin its answer.
    pub fn observe_move(&mut self, tokens: u32, took: Duration, now: Timestamp) {
        if tokens >= SAMPLE_MINIMUM_TOKENS {
            self.moves.observe(tokens, took, now);
        }
    }

    /// What prefill engines have read that had nothing else to read.
    pub fn isolated_prefills(&self) -> PrefillTotals {
        self.isolated_prefills
    }

    /// The milliseconds in which an engine of `stage` reads `tokens`.
    pub fn prefill_millis(&self, stage: EngineStage, tokens: f64) -> f64 {
        tokens / self.rate(stage)
    }

    /// The tokens that an engine of `stage` reads in a millisecond.
    pub fn rate(&self, stage: EngineStage) -> f64 {
        match stage {
            EngineStage::Prefill => self.prefill.value(),
            EngineStage::Decode => self.decode.value(),
        }
    }

    /// The milliseconds that the move of a KV cache of `tokens` takes.
    pub fn move_millis(&self, tokens: f64, now: Timestamp) -> f64 {
        self.moves.millis(tokens, now)
    }

    /// The estimates by name, for metrics and logs.
    pub fn estimates(&self, now: Timestamp) -> [(&'static str, Estimate); 3] {
        [
            ("prefill_tokens_per_millisecond", self.prefill.estimate()),
            ("decode_tokens_per_millisecond", self.decode.estimate()),
            ("move_milliseconds_per_1000_tokens", self.moves.shown(now)),
        ]
    }
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e3).max(0.1)
}
