//! Timing of tenants' limits.

use std::time::Duration;

/// Timing of tenants' limits. All nodes of a deployment must use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// After this time without an answer a request for units is repeated. In several regions: twice the longest round
    /// trip plus 60 ms.
    pub repeat_after: Duration,
    /// After this time without an answer a node asks the next one in rank.
    pub answer_timeout: Duration,
    /// How long a node that didn't answer is not asked.
    pub suspension: Duration,
    /// A grant counts only if it arrives within this time of sending the request that it answers.
    pub grant_lifetime: Duration,
    /// Granted units that are unused for this time are returned.
    pub unused_lifetime: Duration,
    /// The minimum time for which a node refuses after the limit was used up.
    pub refusal_minimum: Duration,
    /// How long a node that was asked waits for an answer of the nodes ranked before it until it acts as home.
    pub takeover_probe: Duration,
    /// How often a node that acts as home probes the nodes ranked before it.
    pub probe_interval: Duration,
    /// How long a new home grants at [`QuotaConfig::warm_up_rate`].
    pub warm_up: Duration,
    /// The share of the rate that a new home grants.
    pub warm_up_rate: f64,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        QuotaConfig {
            repeat_after: Duration::from_millis(120),
            answer_timeout: Duration::from_millis(400),
            suspension: Duration::from_secs(2),
            grant_lifetime: Duration::from_secs(1),
            unused_lifetime: Duration::from_secs(2),
            refusal_minimum: Duration::from_millis(100),
            takeover_probe: Duration::from_millis(300),
            probe_interval: Duration::from_secs(1),
            warm_up: Duration::from_secs(2),
            warm_up_rate: 0.25,
        }
    }
}
