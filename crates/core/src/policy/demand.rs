//! Measures the demand on a pool, for role policies.

use std::collections::BTreeMap;
use std::time::Duration;

use super::role::{PoolDemand, RoleCounts};
use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::world::{Contract, ContractName, EnginePerformance};

/// Rates are averaged over about this time, so that a policy sees a shift of the mix within seconds.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// How much each finished answer moves the estimate of how long answers are.
const OUTPUT_SMOOTHING: f64 = 0.05;
/// A contract with a smaller share of the output doesn't set the token interval of the pool.
const CONTRACT_SHARE_MINIMUM: f64 = 0.05;

/// A rate of something that comes in lumps, averaged with exponentially falling weight.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    window: Duration,
    amount: f64,
    started: Option<Timestamp>,
    updated: Timestamp,
}

impl DecayingRate {
    /// A rate averaged over about `window`.
    pub fn new(window: Duration) -> Self {
        DecayingRate { window, amount: 0.0, started: None, updated: Timestamp::ZERO }
    }

    /// Notes that `amount` came at `now`.
    pub fn add(&mut self, amount: f64, now: Timestamp) {
        self.amount = self.amount_at(now) + amount;
        self.started = self.started.or(Some(now));
        self.updated = self.updated.max(now);
    }

    /// The rate a second. In the first moments it is an average over the time since the first amount, but at least over
    /// a tenth of the window.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let Some(started) = self.started else { return 0.0 };
        let window = self.window.as_secs_f64();
        let seen = now.since(started).as_secs_f64().max(window / 10.0);
        self.amount_at(now) / (window * (1.0 - (-seen / window).exp()))
    }

    fn amount_at(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.updated).as_secs_f64();
        self.amount * (-idle / self.window.as_secs_f64()).exp()
    }
}

/// Work that waits or runs in a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolBacklog {
    /// Prompt tokens that wait to be read.
    pub prefill_tokens: u64,
    /// Output tokens that requests may still generate, running and waiting.
    pub decode_tokens_allowed: u64,
}

/// What control says of a pool when it asks for its demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Engines by their present role; engines that are changing count under their new role.
    pub roles: RoleCounts,
    /// The fewest engines that must serve prompt work.
    pub prefill_floor: u16,
    /// The fewest engines that must serve generation.
    pub decode_floor: u16,
    /// What one engine can do.
    pub performance: EnginePerformance,
}

#[derive(Clone, Copy, Debug)]
struct ContractDemand {
    token_interval: Duration,
    output_tokens: DecayingRate,
}

/// Builds a [`PoolDemand`] from arrivals and answers. Refused requests count too: they are demand.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    prefill_tokens: DecayingRate,
    output_tokens: DecayingRate,
    by_contract: BTreeMap<ContractName, ContractDemand>,
    /// Tokens of an answer as a share of those allowed.
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
    /// Notes that a request arrived, of whose prompt `uncached_tokens` have to be read.
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
        let new =
            ContractDemand { token_interval: contract.token_interval, output_tokens: DecayingRate::new(RATE_WINDOW) };
        let demand = self.by_contract.entry(contract.name.clone()).or_insert(new);
        demand.token_interval = contract.token_interval;
        demand.output_tokens.add(output_tokens, now);
    }

    /// Notes that a whole answer had `tokens` of the `allowed` ones.
    pub fn record_answer(&mut self, tokens: u32, allowed: u32) {
        let share = (f64::from(tokens) / f64::from(allowed.max(1))).min(1.0);
        self.output_share += OUTPUT_SMOOTHING * (share - self.output_share);
    }

    /// Tokens that answers are expected to have, as a share of those allowed.
    pub fn output_share(&self) -> f64 {
        self.output_share
    }

    /// The demand now.
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

    /// The shortest token interval among contracts that matter now.
    fn token_interval(&self, now: Timestamp) -> Duration {
        let share_minimum = CONTRACT_SHARE_MINIMUM * self.output_tokens.per_second(now);
        let matters = |demand: &&ContractDemand| demand.output_tokens.per_second(now) >= share_minimum;
        let intervals = self.by_contract.values().filter(matters).map(|demand| demand.token_interval);
        intervals.min().unwrap_or(Duration::MAX)
    }
}
