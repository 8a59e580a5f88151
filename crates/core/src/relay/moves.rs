//! Estimates how long transfers of KV caches take, without the wait at the engine that answers.
//!
//! A node only observes when the answer to a prompt with a transferred cache begins. That time includes the engine's
//! queue time and step time, which grow with the prompts that are prefilled there; and nodes prefill prompts there when
//! transfers look slow. So the wait is subtracted from each sample, and the estimate decays to the prior. Without these
//! two measures, an overload of a few seconds outlives its cause: transfers look slow, prompts are prefilled at the
//! engines that answer, and no transfer is made that could correct the estimate.

use std::time::Duration;

use super::quantile_estimate::{Estimate, QuantileEstimate};
use crate::time::Timestamp;

/// The share of samples that lie below the estimate.
const QUANTILE: f64 = 0.5;

/// The estimate without samples, in milliseconds per 1,000 tokens.
const PRIOR: f64 = 1.0;

/// The minimum duration of a transfer in milliseconds, needed because the subtracted wait is an estimate and may exceed
/// the actual wait in the sample.
const MINIMUM_MILLIS: f64 = 0.1;

/// The weight of one answer in the estimate of the wait, on a logarithmic scale: about four answers dominate it.
const WAIT_WEIGHT: f64 = 0.25;

/// The half-life of the estimated wait without new answers. Longer than the time between two short prompts of a node at
/// most loads.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(5);

/// The half-life of the weight of transfer samples, so that an estimate that prevents all transfers expires by itself.
/// New transfers renew it.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(3);

/// A node's estimate of the duration of transfers.
#[derive(Clone, Copy, Debug)]
pub struct Moves {
    /// The duration of a transfer in milliseconds per 1,000 tokens, as of the last transfer.
    estimate: QuantileEstimate,
    moved_at: Timestamp,
    /// The logarithm of the milliseconds that engines recently took to begin answers that needed no large transfer.
    log_wait: f64,
    waited_at: Timestamp,
}

impl Default for Moves {
    fn default() -> Self {
        Moves {
            estimate: QuantileEstimate::new(PRIOR, QUANTILE),
            moved_at: Timestamp::ZERO,
            log_wait: MINIMUM_MILLIS.ln(),
            waited_at: Timestamp::ZERO,
        }
    }
}

impl Moves {
    /// Records that an engine began an answer `took` after the request was sent, without a transfer or prefill of a
    /// long prompt.
    pub fn observe_wait(&mut self, took: Duration, now: Timestamp) {
        let previous = self.wait_at(now).max(MINIMUM_MILLIS).ln();
        self.log_wait = previous + WAIT_WEIGHT * (millis(took).ln() - previous);
        self.waited_at = now;
    }

    /// Records that an engine took `took` to fetch a KV cache of `tokens` and to begin its answer. For a slower
    /// transfer between zones or regions, `tokens` is multiplied by how much longer it takes than one within a zone.
    pub fn observe(&mut self, tokens: f64, took: Duration, now: Timestamp) {
        let transfer_millis = (millis(took) - self.wait_at(now)).max(MINIMUM_MILLIS);
        self.estimate = self.at(now);
        self.estimate.observe(1e3 * transfer_millis / tokens);
        self.moved_at = now;
    }

    /// The estimated milliseconds for the transfer of a KV cache of `tokens`.
    pub fn millis(&self, tokens: f64, now: Timestamp) -> f64 {
        self.at(now).value() * tokens / 1e3
    }

    /// The estimate at `now`, in milliseconds per 1,000 tokens.
    pub fn estimate(&self, now: Timestamp) -> Estimate {
        self.at(now).estimate()
    }

    fn at(&self, now: Timestamp) -> QuantileEstimate {
        self.estimate.decayed(remaining_share(now.since(self.moved_at), SAMPLE_HALF_LIFE))
    }

    fn wait_at(&self, now: Timestamp) -> f64 {
        self.log_wait.exp() * remaining_share(now.since(self.waited_at), WAIT_HALF_LIFE)
    }
}

fn remaining_share(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e3).max(MINIMUM_MILLIS)
}
