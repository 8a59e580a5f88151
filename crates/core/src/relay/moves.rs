//! How long moves of KV caches take, without the wait at the engine that answers.
//!
//! A node sees only when the answer of a moved prompt begins. The engine's queue and step are in that time, and they grow with what is read
//! there, which is what nodes choose when moves look slow. So the wait is taken out of each sample, and what is believed fades back to the prior. With
//! neither, an overload of seconds outlives its cause: moves look slow, prompts are read where they are answered, and nothing is moved that could show the contrary.

use std::time::Duration;

use super::quantile_estimate::{Estimate, QuantileEstimate};
use crate::time::Timestamp;

/// The share of samples that lies below the estimate.
const QUANTILE: f64 = 0.5;

/// What is believed of a move before any was seen, in milliseconds a thousand tokens.
const PRIOR: f64 = 1.0;

/// What a move takes at least, in milliseconds: the wait that is taken out may be longer than that of this one.
const LEAST_MILLIS: f64 = 0.1;

/// How far one answer moves what is believed of the wait, on a logarithmic scale: some four decide.
const WAIT_WEIGHT: f64 = 0.25;

/// Without an answer that shows it, what is believed of the wait halves in this time: longer than the time between two short prompts of a
/// node at most loads.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(5);

/// What was learned of moves counts half as much after this time, so that a belief which keeps nodes from moving anything ends by itself. Moves that are made
/// hold it up.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(3);

/// What a node believes of moves.
#[derive(Clone, Copy, Debug)]
pub struct Moves {
    /// In milliseconds a thousand tokens, as it was after the last move.
    estimate: QuantileEstimate,
    moved_at: Timestamp,
    /// The logarithm of the milliseconds that engines lately took to begin answers for which nothing large was moved.
    wait: f64,
    waited_at: Timestamp,
}

impl Default for Moves {
    fn default() -> Self {
        Moves {
            estimate: QuantileEstimate::new(PRIOR, QUANTILE),
            moved_at: Timestamp::ZERO,
            wait: LEAST_MILLIS.ln(),
            waited_at: Timestamp::ZERO,
        }
    }
}

impl Moves {
    /// Notes that an engine began an answer `took` after it was sent there, for which no long prompt was moved or read.
    pub fn observe_wait(&mut self, took: Duration, now: Timestamp) {
        let known = self.wait_at(now).max(LEAST_MILLIS).ln();
        self.wait = known + WAIT_WEIGHT * (millis(took).ln() - known);
        self.waited_at = now;
    }

    /// Notes that an engine took `took` to get a KV cache of `tokens` and to begin its answer.
    pub fn observe(&mut self, tokens: u32, took: Duration, now: Timestamp) {
        let own_millis = (millis(took) - self.wait_at(now)).max(LEAST_MILLIS);
        self.estimate = self.at(now);
        self.estimate.observe(1e3 * own_millis / f64::from(tokens));
        self.moved_at = now;
    }

    /// The milliseconds that a move of a KV cache of `tokens` takes.
    pub fn millis(&self, tokens: f64, now: Timestamp) -> f64 {
        self.at(now).value() * tokens / 1e3
    }

    /// What is believed at `now`, in milliseconds a thousand tokens.
    pub fn shown(&self, now: Timestamp) -> Estimate {
        self.at(now).estimate()
    }

    fn at(&self, now: Timestamp) -> QuantileEstimate {
        self.estimate.decayed(share_left(now.since(self.moved_at), LEARNED_HALF_LIFE))
    }

    fn wait_at(&self, now: Timestamp) -> f64 {
        self.wait.exp() * share_left(now.since(self.waited_at), WAIT_HALF_LIFE)
    }
}

fn share_left(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e3).max(LEAST_MILLIS)
}
