//! Estimates of how fast engines process prompts and move KV caches, taken from this node's own requests.
//!
//! Nothing here is configured: estimates begin at a prior, whose influence decreases with each sample.

use std::time::Duration;

use speedy::{Readable, Writable};

use super::moves::Moves;
use super::quantile_estimate::{Estimate, QuantileEstimate};
use crate::back_ends::EngineStage;
use crate::time::Timestamp;

/// The quantile of the samples that estimates a prefill rate. Many prefills look slow because they queued behind others;
/// few look too fast, because the engine had cached more than this node knew.
const RATE_QUANTILE: f64 = 0.7;

/// Shorter prefills measure the network latency rather than the engine's rate.
const SAMPLE_MINIMUM_TOKENS: u32 = 1_000;

/// The assumed rate of prefill engines before any sample, in tokens a millisecond.
const PREFILL_RATE_PRIOR: f64 = 100.0;

/// The assumed prefill rate of decode engines before any sample, in tokens a millisecond: half that of prefill engines,
/// since decode engines interleave prefill with the tokens of other requests.
const DECODE_RATE_PRIOR: f64 = 50.0;

/// Totals of the prefills that ran on otherwise idle prefill engines. Totals of several nodes can be added up, which
/// estimates can't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct PrefillTotals {
    /// The tokens processed.
    pub tokens: u64,
    /// The time taken, in microseconds.
    pub micros: u64,
}

impl PrefillTotals {
    fn add(&mut self, tokens: u32, took: Duration) {
        self.tokens = self.tokens.saturating_add(u64::from(tokens));
        self.micros = self.micros.saturating_add(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
    }
}

/// Rate estimates for the engines of the services that this node serves.
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
    /// Records that an otherwise idle engine took `took` for a prefill of `tokens`.
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

    /// Records that an engine began an answer `took` after the request was sent, with no long prompt moved or prefilled
    /// for it.
    pub fn observe_wait(&mut self, took: Duration, now: Timestamp) {
        self.moves.observe_wait(took, now);
    }

    /// Records that an engine took `took` to receive a KV cache of `tokens` and to begin its answer.
    pub fn observe_move(&mut self, tokens: u32, took: Duration, now: Timestamp) {
        self.observe_distant_move(tokens, took, 1.0, now);
    }

    /// Like [`EngineModel::observe_move`], for a transfer that takes `factor` times as long as one within a zone.
    pub fn observe_distant_move(&mut self, tokens: u32, took: Duration, factor: f64, now: Timestamp) {
        if tokens >= SAMPLE_MINIMUM_TOKENS {
            self.moves.observe(f64::from(tokens) * factor, took, now);
        }
    }

    /// Totals of the prefills that ran on otherwise idle prefill engines.
    pub fn isolated_prefills(&self) -> PrefillTotals {
        self.isolated_prefills
    }

    /// The milliseconds that an engine of `stage` takes to prefill `tokens`.
    pub fn prefill_millis(&self, stage: EngineStage, tokens: f64) -> f64 {
        tokens / self.rate(stage)
    }

    /// The tokens that an engine of `stage` prefills in a millisecond.
    pub fn rate(&self, stage: EngineStage) -> f64 {
        match stage {
            EngineStage::Prefill => self.prefill.value(),
            EngineStage::Decode => self.decode.value(),
        }
    }

    /// The milliseconds that a transfer of a KV cache of `tokens` takes.
    pub fn move_millis(&self, tokens: f64, now: Timestamp) -> f64 {
        self.moves.millis(tokens, now)
    }

    /// The milliseconds that an engine of `stage` saves by fetching a cached part of `tokens` instead of prefilling it.
    /// The transfer takes `factor` times as long as one within a zone.
    pub fn fetch_saving_millis(&self, stage: EngineStage, tokens: u32, factor: f64, now: Timestamp) -> f64 {
        let tokens = f64::from(tokens);
        self.prefill_millis(stage, tokens) - self.move_millis(tokens * factor, now)
    }

    /// The estimates by name, for metrics and logs.
    pub fn estimates(&self, now: Timestamp) -> [(&'static str, Estimate); 3] {
        [
            ("prefill_tokens_per_millisecond", self.prefill.estimate()),
            ("decode_tokens_per_millisecond", self.decode.estimate()),
            ("move_milliseconds_per_1000_tokens", self.moves.estimate(now)),
        ]
    }
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e3).max(0.1)
}
