//! Limits of a dispatcher.

use std::time::Duration;

use displaydoc::Display;

use super::health::HealthConfig;
use super::retry_budget::RetryBudgetConfig;

/// Limits of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchConfig {
    /// The most waiting requests; further ones are refused, since a longer queue only leads to missed deadlines.
    pub queue_maximum: usize,
    /// Tokens in one piece of a prefill, as engines interleave it with generation. A longer prompt is prefilled by a
    /// prefill engine where there is one, since it would delay the streams of the engine that processes it.
    pub piece_tokens: u32,
    /// Pending prompt tokens at an engine up to which it gets another prompt. With more, prompts would queue at the
    /// engine, outside the fair queue; with fewer, the engine would be idle for the latency of a link.
    pub prefill_backlog_tokens: u32,
    /// The share of the tokens still allowed that a stream is expected to generate, from 0 to 1. A prefill delays the
    /// streams of a mixed engine; each further token compensates part of the delay. An answer that ends earlier than
    /// expected violates its contract's token interval, while a lower share delays prompts.
    pub output_counted_on: f64,
    /// How far after its arrival a request is ordered within its flow, as a multiple of its predicted work. So short
    /// requests overtake long ones, but for a bounded time: see [`DispatchConfig::patience`].
    pub stretch: f64,
    /// The longest delay by `stretch`, as a share of the contract's time to the first token.
    pub patience: f64,
    /// The share of the time to the first token that is reserved for prediction errors, from 0 to below 1.
    pub deadline_reserve: f64,
    /// The most attempts at one request, including the first; it bounds the cost of one bad request.
    pub attempts_maximum: u32,
    /// Limits retries to a share of the traffic.
    pub retry_budget: RetryBudgetConfig,
    /// When a failing engine is ejected, and when it is probed.
    pub health: HealthConfig,
    /// The most identities of closed requests that are stored so that these never start again. At the maximum, requests
    /// are refused: removing an identity early could run a request that its gateway has reported as not run.
    pub closed_requests_maximum: usize,
    /// How long a closed request's identity is stored. It has to exceed the longest time that a message may be in
    /// transit between gateway and dispatcher.
    pub closed_requests_retention: Duration,
    /// The most prefix blocks that are tracked as cached at one engine; it bounds memory.
    pub prefix_blocks_maximum: usize,
    /// How long a reported load is used; an older report says nothing about the current load.
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
    /// Checks that the limits are valid and consistent.
    ///
    /// # Errors
    /// Returns the first limit that is out of range.
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
