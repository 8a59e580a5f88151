//! Limits of a dispatcher.

use std::time::Duration;

use displaydoc::Display;

use super::health::HealthConfig;
use super::retry_budget::RetryBudgetConfig;

/// Limits of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchConfig {
    /// The most requests that wait; more are refused, since a longer queue only turns into missed deadlines.
    pub queue_maximum: usize,
    /// Tokens in one piece of prompt work, as engines interleave it with generation. A longer prompt is read by a
    /// prefill engine where there is one, since it would hold up the streams of the engine that reads it.
    pub piece_tokens: u32,
    /// Unread prompt tokens at an engine up to which it gets another prompt. More would queue there, out of reach of
    /// the fair queue; fewer would leave the engine idle for the time of a link.
    pub prefill_backlog_tokens: u32,
    /// The share of the tokens still allowed that a stream is counted on to generate, from 0 to 1. Reading a prompt holds
    /// up the streams of a mixed engine; each token to come makes up for some of it. An answer that ends sooner than
    /// counted on breaks its contract's token interval, while counting on less leaves prompts waiting.
    pub output_counted_on: f64,
    /// How much later than its arrival a request's turn within its tenant comes, as a multiple of its predicted work.
    /// So short work overtakes long work, but only for so long: see [`DispatchConfig::patience`].
    pub stretch: f64,
    /// The most that `stretch` may put a request back, as a share of its contract's time to the first token.
    pub patience: f64,
    /// The share of the time to the first token that is kept for errors of prediction, from 0 to 1.
    pub deadline_reserve: f64,
    /// The most attempts at one request, the first included; it bounds what one bad request costs.
    pub attempts_maximum: u32,
    /// Bounds retries to a share of the traffic.
    pub retry_budget: RetryBudgetConfig,
    /// When a failing engine gets no more work, and when it is tried again.
    pub health: HealthConfig,
    /// The most request identities that are remembered so that they never start again. When it is reached, requests
    /// are refused: forgetting one early could run a request that its gateway has reported as not run.
    pub closed_requests_maximum: usize,
    /// How long a closed request's identity is remembered. It has to exceed the longest time that a message may be
    /// under way between gateway and dispatcher.
    pub closed_requests_retention: Duration,
    /// The most prefixes, in blocks, that are believed cached at one engine; it bounds memory.
    pub prefix_blocks_maximum: usize,
    /// How long a reported load counts; an older one tells nothing about the load now.
    pub load_report_lifetime: Duration,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        DispatchConfig {
            queue_maximum: 1_000,
            piece_tokens: 2_000,
            prefill_backlog_tokens: 4_000,
            output_counted_on: 0.125,
            stretch: 8.0,
            patience: 0.5,
            deadline_reserve: 0.1,
            attempts_maximum: 3,
            retry_budget: RetryBudgetConfig::default(),
            health: HealthConfig::default(),
            closed_requests_maximum: 100_000,
            closed_requests_retention: Duration::from_secs(120),
            prefix_blocks_maximum: 4_096,
            load_report_lifetime: Duration::from_secs(10),
        }
    }
}

impl DispatchConfig {
    /// Checks that the limits make sense together.
    ///
    /// # Errors
    /// Names the first limit that is out of range.
    pub fn validate(&self) -> Result<(), DispatchConfigError> {
        let checks = [
            ("queue_maximum", self.queue_maximum > 0),
            ("piece_tokens", self.piece_tokens > 0),
            ("output_counted_on", (0.0..=1.0).contains(&self.output_counted_on)),
            ("stretch", self.stretch.is_finite() && self.stretch >= 0.0),
            ("patience", (0.0..=1.0).contains(&self.patience)),
            ("deadline_reserve", (0.0..1.0).contains(&self.deadline_reserve)),
            ("attempts_maximum", self.attempts_maximum > 0),
            ("retry_budget", self.retry_budget.is_valid()),
            ("health", self.health.is_valid()),
            ("closed_requests_maximum", self.closed_requests_maximum > self.queue_maximum),
            ("closed_requests_retention", !self.closed_requests_retention.is_zero()),
        ];
        match checks.into_iter().find(|(_, holds)| !holds) {
            Some((limit, _)) => Err(DispatchConfigError { limit }),
            None => Ok(()),
        }
    }
}

/// the dispatcher's limit `{limit}` is out of range
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct DispatchConfigError {
    /// The limit's field in [`DispatchConfig`].
    pub limit: &'static str,
}
