//! How fast engines read prompts and move KV caches, estimated from what this node's own sends show.
//!
//! Nothing here is configured: a prior says what is believed before anything was seen, and it fades with each sample.

use std::time::Duration;

use speedy::{Readable, Writable};

use crate::back_ends::EngineStage;

/// The share of samples that lies below an estimate of a reading rate. A reading that waited for others looks slow, and
/// many do; one that looks too fast kept more than was known, which is rare.
const RATE_QUANTILE: f64 = 0.7;

/// The share of samples that lies below an estimate of a move.
const MOVE_QUANTILE: f64 = 0.5;

/// How far the first sample moves an estimate, as a factor's logarithm: the prior may be wrong by ten times.
const FIRST_STEP: f64 = 0.7;

/// How far a sample moves an estimate that has seen many: engines change slowly.
const LAST_STEP: f64 = 0.04;

/// Shorter readings show the way to the engine rather than its rate.
const SAMPLE_MINIMUM_TOKENS: u32 = 1_000;

/// What is believed of prefill engines before any was seen, in tokens a millisecond.
const PREFILL_RATE_PRIOR: f64 = 100.0;

/// What is believed of decode engines before any was seen: they read between the tokens of others, at half the pace.
const DECODE_RATE_PRIOR: f64 = 50.0;

/// What is believed of a move of a KV cache before any was seen, in milliseconds a thousand tokens.
const MOVE_PRIOR: f64 = 1.0;

/// A quantile of a stream of positive samples, held as one number that each sample moves a little.
#[derive(Clone, Copy, Debug)]
struct QuantileEstimate {
    logarithm: f64,
    quantile: f64,
    samples: u32,
}

impl QuantileEstimate {
    fn new(prior: f64, quantile: f64) -> Self {
        QuantileEstimate { logarithm: prior.ln(), quantile, samples: 0 }
    }

    fn value(&self) -> f64 {
        self.logarithm.exp()
    }

    /// Takes a sample in. However far off it is, it moves the estimate by one step at most.
    fn observe(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.samples).sqrt()).max(LAST_STEP);
        let direction = if sample.ln() > self.logarithm { self.quantile } else { self.quantile - 1.0 };
        self.logarithm += step * direction;
    }
}

/// An estimate as metrics and logs show it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// The samples that it rests on; 0: the prior.
    pub samples: u32,
}

/// What prefill engines have read that had nothing else to read. Totals of several nodes can be added up, which estimates
/// can't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ReadingTotals {
    /// The tokens that were read.
    pub tokens: u64,
    /// The time that this took, in microseconds.
    pub micros: u64,
}

impl ReadingTotals {
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
    move_millis: QuantileEstimate,
    readings_alone: ReadingTotals,
}

impl Default for EngineModel {
    fn default() -> Self {
        EngineModel {
            prefill: QuantileEstimate::new(PREFILL_RATE_PRIOR, RATE_QUANTILE),
            decode: QuantileEstimate::new(DECODE_RATE_PRIOR, RATE_QUANTILE),
            move_millis: QuantileEstimate::new(MOVE_PRIOR, MOVE_QUANTILE),
            readings_alone: ReadingTotals::default(),
        }
    }
}

impl EngineModel {
    /// Notes that an engine that had nothing else to read took `took` for `tokens`.
    pub fn observe_reading(&mut self, stage: EngineStage, tokens: u32, took: Duration) {
        if tokens < SAMPLE_MINIMUM_TOKENS {
            return;
        }
        let rate = f64::from(tokens) / millis(took);
        match stage {
            EngineStage::Prefill => {
                self.prefill.observe(rate);
                self.readings_alone.add(tokens, took);
            }
            EngineStage::Decode => self.decode.observe(rate),
        }
    }

    /// Notes that an engine took `took` to get a KV cache of `tokens` and to begin its answer.
    pub fn observe_move(&mut self, tokens: u32, took: Duration) {
        if tokens >= SAMPLE_MINIMUM_TOKENS {
            self.move_millis.observe(1e3 * millis(took) / f64::from(tokens));
        }
    }

    /// What prefill engines have read that had nothing else to read.
    pub fn readings_alone(&self) -> ReadingTotals {
        self.readings_alone
    }

    /// The milliseconds in which an engine of `stage` reads `tokens`.
    pub fn reading_millis(&self, stage: EngineStage, tokens: f64) -> f64 {
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
    pub fn move_millis(&self, tokens: f64) -> f64 {
        self.move_millis.value() * tokens / 1e3
    }

    /// The estimates by name, for metrics and logs.
    pub fn estimates(&self) -> [(&'static str, Estimate); 3] {
        [
            ("prefill_tokens_per_millisecond", shown(&self.prefill)),
            ("decode_tokens_per_millisecond", shown(&self.decode)),
            ("move_milliseconds_per_1000_tokens", shown(&self.move_millis)),
        ]
    }
}

fn shown(estimate: &QuantileEstimate) -> Estimate {
    Estimate { value: estimate.value(), samples: estimate.samples }
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e3).max(0.1)
}
