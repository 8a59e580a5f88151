//! Where short prompts are read: apart, by a prefill engine, or by the engine that answers. Each node goes by how long its
//! own requests took either way, so that moves of KV caches that turn slow are given up within a few requests.

use std::time::Duration;

/// The share of a request's target below which reading apart is fast enough, whatever the other way takes: it spares the
/// answers that run on decode engines.
const FAST_SHARE: f64 = 0.3;

/// How far one request moves what is believed, on a logarithmic scale. Some five requests decide: moves can turn slow, and
/// fast again, within a second.
const WEIGHT: f64 = 0.25;

/// What is believed before any request was seen, in milliseconds.
const PRIOR_MILLIS: f64 = 30.0;

/// One request in so many goes the way that is believed to be the slower one, to see whether it still is.
const PROBE_ONE_IN: u32 = 10;

/// How long a node's requests with short prompts took to begin their answers lately, by where the prompt was read.
#[derive(Clone, Copy, Debug)]
pub struct ShortPrefill {
    apart: f64,
    there: f64,
}

impl Default for ShortPrefill {
    fn default() -> Self {
        ShortPrefill { apart: PRIOR_MILLIS.ln(), there: PRIOR_MILLIS.ln() }
    }
}

impl ShortPrefill {
    /// Notes that a request took `took` to begin its answer, or waited so long in vain.
    pub fn observe(&mut self, apart: bool, took: Duration) {
        let believed = if apart { &mut self.apart } else { &mut self.there };
        let millis = (took.as_secs_f64() * 1e3).max(1.0);
        *believed += WEIGHT * (millis.ln() - *believed);
    }

    /// Whether the next prompt, of a request with this target, is read apart.
    pub fn prefers_prefill_engine(&self, target: Duration, random: &mut fastrand::Rng) -> bool {
        let fast_millis = target.as_secs_f64() * 1e3 * FAST_SHARE;
        let prefers = self.apart.exp() <= fast_millis.max(self.there.exp());
        prefers || random.u32(..PROBE_ONE_IN) == 0
    }
}
