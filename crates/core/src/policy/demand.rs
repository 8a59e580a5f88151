//! Measures the demand on a pool, for role policies.

use std::collections::BTreeMap;
use std::time::Duration;

use super::role::{PoolDemand, RoleCounts};
use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::world::{Contract, ContractName, EnginePerformance};

/// Averaging window of the rates; it lets a policy detect a shift in the request mix within seconds.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Weight of each finished answer in the moving average of the answer length.
const OUTPUT_SMOOTHING: f64 = 0.05;
/// A contract with a smaller share of the output is ignored for the pool's token interval.
const CONTRACT_SHARE_MINIMUM: f64 = 0.05;

/// The rate of discrete amounts, averaged with exponentially decaying weights.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    window: Duration,
    amount: f64,
    first_added: Option<Timestamp>,
    last_added: Timestamp,
}

impl DecayingRate {
    /// Creates a rate averaged over about `window`.
    pub fn new(window: Duration) -> Self {
        DecayingRate { window, amount: 0.0, first_added: None, last_added: Timestamp::ZERO }
    }

    /// Adds `amount` at `now`.
    pub fn add(&mut self, amount: f64, now: Timestamp) {
        self.amount = self.decayed_amount(now) + amount;
        self.first_added = self.first_added.or(Some(now));
        self.last_added = self.last_added.max(now);
    }

    /// The rate per second. Before a full window has passed it is averaged over the time since the first amount, but at
    /// least over a tenth of the window.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let Some(first_added) = self.first_added else { return 0.0 };
        let window = self.window.as_secs_f64();
        let elapsed = now.since(first_added).as_secs_f64().max(window / 10.0);
        self.decayed_amount(now) / (window * (1.0 - (-elapsed / window).exp()))
    }

    fn decayed_amount(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.last_added).as_secs_f64();
        self.amount * (-idle / self.window.as_secs_f64()).exp()
    }
}

/// Work waiting or running in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolBacklog {
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens: u64,
    /// Output tokens that requests may still generate, running and waiting.
    pub decode_tokens_allowed: u64,
}

/// What the control loop supplies about a pool when it queries the demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Engines by current role; engines whose role is changing count under their new role.
    pub roles: RoleCounts,
    /// The minimum number of engines that must serve prefill.
    pub prefill_floor: u16,
    /// The minimum number of engines that must serve decode.
    pub decode_floor: u16,
    /// The performance of one engine.
    pub performance: EnginePerformance,
}

#[derive(Clone, Copy, Debug)]
struct ContractDemand {
    token_interval: Duration,
    output_tokens: DecayingRate,
}

/// Computes a [`PoolDemand`] from arrivals and answers. Refused requests are part of the demand.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    prefill_tokens: DecayingRate,
    output_tokens: DecayingRate,
    by_contract: BTreeMap<ContractName, ContractDemand>,
    /// Moving average of output tokens per answer, as a share of the tokens allowed.
    output_share: f64,
}

impl Default for DemandTracker {
    fn default() -> Self {
        DemandTracker {
            prefill_tokens: DecayingRate::new(RATE_WINDOW),
            output_tokens: DecayingRate::new(RATE_WINDOW),
            by_contract: BTreeMap::new(),
            output_share: 1.0,
        }
    }
}

impl DemandTracker {
    /// Records the arrival of a request whose prompt has `uncached_tokens` left to prefill.
    pub fn record_arrival(
        &mut self,
        request: &RequestProfile,
        uncached_tokens: u32,
        contract: Option<&Contract>,
        now: Timestamp,
    ) {
        let output_tokens = f64::from(request.max_output_tokens) * self.output_share;
        self.prefill_tokens.add(f64::from(uncached_tokens), now);
        self.output_tokens.add(output_tokens, now);
        let Some(contract) = contract else { return };
        let no_demand =
            ContractDemand { token_interval: contract.token_interval, output_tokens: DecayingRate::new(RATE_WINDOW) };
        let demand = self.by_contract.entry(contract.name.clone()).or_insert(no_demand);
        demand.token_interval = contract.token_interval;
        demand.output_tokens.add(output_tokens, now);
    }

    /// Records that a complete answer had `tokens` of the `allowed` output tokens.
    pub fn record_answer(&mut self, tokens: u32, allowed: u32) {
        let share = (f64::from(tokens) / f64::from(allowed.max(1))).min(1.0);
        self.output_share += OUTPUT_SMOOTHING * (share - self.output_share);
    }

    /// The expected number of output tokens per answer, as a share of the tokens allowed.
    pub fn output_share(&self) -> f64 {
        self.output_share
    }

    /// The demand at `now`.
    pub fn demand(&self, limits: &PoolLimits, backlog: PoolBacklog, now: Timestamp) -> PoolDemand {
        PoolDemand {
            roles: limits.roles,
            prefill_floor: limits.prefill_floor,
            decode_floor: limits.decode_floor,
            prefill_tokens_per_second: self.prefill_tokens.per_second(now),
            decode_tokens_per_second: self.output_tokens.per_second(now),
            waiting_prefill_tokens: backlog.prefill_tokens,
            waiting_decode_tokens: (backlog.decode_tokens_allowed as f64 * self.output_share) as u64,
            token_interval: self.token_interval(now),
            performance: limits.performance,
            role_change: limits.performance.role_change,
        }
    }

    /// The shortest token interval among contracts with at least [`CONTRACT_SHARE_MINIMUM`] of the output at `now`.
    fn token_interval(&self, now: Timestamp) -> Duration {
        let share_minimum = CONTRACT_SHARE_MINIMUM * self.output_tokens.per_second(now);
        let is_significant = |demand: &&ContractDemand| demand.output_tokens.per_second(now) >= share_minimum;
        let intervals = self.by_contract.values().filter(is_significant).map(|demand| demand.token_interval);
        intervals.min().unwrap_or(Duration::MAX)
    }
}
