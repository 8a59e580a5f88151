//! Selects where short prompts are processed: on a prefill engine or on the decode engine that answers. Each node compares
//! the latencies of its own requests, so that it stops using slow KV cache transfers within a few requests.

use std::time::Duration;

/// Prefill engines are preferred if their latency is below this share of the request's target, even if decode engines are
/// faster: this avoids delaying the answers that run on decode engines.
const FAST_SHARE: f64 = 0.3;

/// The weight of one request in the moving average of the latency's logarithm. About five requests decide: KV cache
/// transfers can become slow, and fast again, within a second.
const WEIGHT: f64 = 0.25;

/// The assumed latency before any request, in milliseconds.
const PRIOR_MILLIS: f64 = 30.0;

/// One request in this many uses prefill engines although they are estimated to be slower, to update the estimate.
const PROBE_ONE_IN: u32 = 10;

/// Recent times to the start of the answer of a node's requests with short prompts, by where the prompt was processed.
#[derive(Clone, Copy, Debug)]
pub struct ShortPrefill {
    prefill_engine: f64,
    decode_engine: f64,
}

impl Default for ShortPrefill {
    fn default() -> Self {
        ShortPrefill { prefill_engine: PRIOR_MILLIS.ln(), decode_engine: PRIOR_MILLIS.ln() }
    }
}

impl ShortPrefill {
    /// Records that an answer began after `took`, or that the request waited for `took` without an answer.
    pub fn observe(&mut self, on_prefill_engine: bool, took: Duration) {
        let estimate = if on_prefill_engine { &mut self.prefill_engine } else { &mut self.decode_engine };
        let millis = (took.as_secs_f64() * 1e3).max(1.0);
        *estimate += WEIGHT * (millis.ln() - *estimate);
    }

    /// Whether the next prompt, of a request with this target, is processed by a prefill engine.
    pub fn prefers_prefill_engine(&self, target: Duration, random: &mut fastrand::Rng) -> bool {
        let fast_millis = target.as_secs_f64() * 1e3 * FAST_SHARE;
        let prefers = self.prefill_engine.exp() <= fast_millis.max(self.decode_engine.exp());
        prefers || random.u32(..PROBE_ONE_IN) == 0
    }
}
