//! Settings of the exchange of units between nodes.

use std::time::Duration;

/// Times, shares and rates of the exchange of units between nodes. All nodes of a deployment must use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// After this time without an answer a request for units is repeated. In several regions: twice the longest round
    /// trip plus 60 ms.
    pub repeat_after: Duration,
    /// After this time without an answer a node requests the units from the next one in rank.
    pub answer_timeout: Duration,
    /// After this time a node that didn't answer is probed; until it answers, no units are requested from it. Also how long
    /// a node that persistently answers `NotHome` is passed over.
    pub suspension: Duration,
    /// After `NotHome` the node is asked again after this time, because it may be probing the nodes before it.
    pub not_home_retry: Duration,
    /// A node that has answered `NotHome` for this time is passed over for [`QuotaConfig::suspension`].
    pub not_home_patience: Duration,
    /// The longest time that a request waits for an answer; then it is refused.
    pub waiting_maximum: Duration,
    /// The longest time that a request waits while no node answers.
    pub waiting_without_home: Duration,
    /// How long an `Unlimited` answer holds.
    pub unlimited_lifetime: Duration,
    /// A grant counts only if it arrives within this time of sending the request that it answers.
    pub grant_lifetime: Duration,
    /// Granted units that are unused for this time are returned.
    pub unused_lifetime: Duration,
    /// The minimum time for which a node refuses after the limit was used up.
    pub refusal_minimum: Duration,
    /// The maximum time for which a node refuses without asking again, so that it notices a raised limit.
    pub refusal_maximum: Duration,
    /// A node that gets a request probes the nodes ranked before it. If none answers within this time, it acts as home.
    pub takeover_probe: Duration,
    /// How often a node that acts as home probes the nodes ranked before it.
    pub probe_interval: Duration,
    /// How long a new home grants at [`QuotaConfig::warm_up_rate`].
    pub warm_up: Duration,
    /// The share of the rate that a new home grants.
    pub warm_up_rate: f64,
    /// A home that was not polled for this time may have been replaced, so it discards its buckets.
    pub stall_limit: Duration,
    /// The share of the rate that a home grants. The rest makes up for a clock that runs fast by 5 %.
    pub rate_margin: f64,
    /// The share of the burst that may be granted ahead of demand to all nodes together.
    pub ahead_share: f64,
    /// The minimum number of requests per second at which a node requests units ahead of demand; below, units would mostly
    /// remain unused.
    pub ahead_requests: u32,
    /// The number of requests per second that a home accepts from all nodes that it refuses. With more such nodes, each gets
    /// a longer retry time.
    pub refused_asks_per_second: f64,
    /// The sequence number of the first message, larger than all that an earlier incarnation of the node has used: for
    /// example the number of the node's incarnation.
    pub first_sequence: u64,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        QuotaConfig {
            repeat_after: Duration::from_millis(120),
            answer_timeout: Duration::from_millis(400),
            suspension: Duration::from_secs(2),
            not_home_retry: Duration::from_millis(100),
            not_home_patience: Duration::from_millis(500),
            waiting_maximum: Duration::from_secs(1),
            waiting_without_home: Duration::from_millis(100),
            unlimited_lifetime: Duration::from_millis(200),
            grant_lifetime: Duration::from_secs(1),
            unused_lifetime: Duration::from_secs(2),
            refusal_minimum: Duration::from_millis(100),
            refusal_maximum: Duration::from_secs(2),
            takeover_probe: Duration::from_millis(300),
            probe_interval: Duration::from_secs(1),
            warm_up: Duration::from_secs(2),
            warm_up_rate: 0.25,
            stall_limit: Duration::from_millis(700),
            rate_margin: 0.98,
            ahead_share: 0.1,
            ahead_requests: 4,
            refused_asks_per_second: 200.0,
            first_sequence: 0,
        }
    }
}
