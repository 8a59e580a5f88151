//! Predicts the demand that a pool can serve with given roles.
//!
//! A prefill engine spends all its time on prefill and a decode engine all its time on decode. A mixed engine that
//! spends the share `u` of its time on prefill decodes in the rest, so each token takes `1 / (1 - u)` times as long.
//! Under a contract's token interval it needs a smaller batch or can't decode at all. Dispatch partly avoids this by
//! sending long prompts to some mixed engines and keeping streams on others, with some loss. Specialised roles avoid it
//! without loss, but an engine of one role can't take work of the other.

use std::time::Duration;

use super::role::{PoolDemand, RoleCounts};
use crate::world::EnginePerformance;

/// Bisection steps of the headroom search.
const SEARCH_STEPS: u32 = 24;
/// Upper bound of the headroom search, as a multiple of the demand.
const HEADROOM_MAXIMUM: f64 = 16.0;

/// Prefill throughput of mixed engines while dispatch separates prompts from streams, as a share of the throughput of
/// prefill engines. The rest is lost to streams that run on the engine where a prompt arrives.
const SEPARATION_EFFICIENCY: f64 = 0.85;

/// Tokens per second demanded from a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TokenRates {
    pub(super) prefill: f64,
    pub(super) decode: f64,
}

impl TokenRates {
    /// The arrival rates, plus the waiting prompt tokens spread over `drain`.
    pub(super) fn of(demand: &PoolDemand, drain: Duration) -> Self {
        let drain = drain.as_secs_f64().max(1.0);
        TokenRates {
            prefill: demand.prefill_tokens_per_second + demand.waiting_prefill_tokens as f64 / drain,
            decode: demand.decode_tokens_per_second,
        }
    }

    fn scaled_by(self, factor: f64) -> Self {
        TokenRates { prefill: self.prefill * factor, decode: self.decode * factor }
    }
}

/// A capacity model of a pool of identical engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolModel {
    performance: EnginePerformance,
    token_interval: Duration,
}

impl PoolModel {
    pub(super) fn of(demand: &PoolDemand) -> Self {
        PoolModel { performance: demand.performance, token_interval: demand.token_interval }
    }

    /// The largest multiple of `rates` that the roles can serve; below 1, the demand exceeds the pool's capacity.
    pub(super) fn headroom(&self, roles: RoleCounts, rates: TokenRates) -> f64 {
        if self.can_serve(roles, rates.scaled_by(HEADROOM_MAXIMUM)) {
            return HEADROOM_MAXIMUM;
        }
        let (mut served, mut not_served) = (0.0, HEADROOM_MAXIMUM);
        for _ in 0..SEARCH_STEPS {
            let middle = f64::midpoint(served, not_served);
            if self.can_serve(roles, rates.scaled_by(middle)) {
                served = middle;
            } else {
                not_served = middle;
            }
        }
        served
    }

    fn can_serve(&self, roles: RoleCounts, rates: TokenRates) -> bool {
        let prefill_by_mixed =
            (rates.prefill - f64::from(roles.prefill) * self.performance.prefill_tokens_per_second).max(0.0);
        let mixed = f64::from(roles.mixed);
        let prefill_share = if prefill_by_mixed > 0.0 {
            prefill_by_mixed / (mixed * self.performance.prefill_tokens_per_second)
        } else {
            0.0
        };
        if prefill_share > 1.0 {
            return false;
        }
        let prefill_free_engines = mixed - mixed * prefill_share / SEPARATION_EFFICIENCY;
        let decode_by_mixed =
            (mixed * self.decode_rate(prefill_share)).max(prefill_free_engines.max(0.0) * self.decode_rate(0.0));
        f64::from(roles.decode) * self.decode_rate(0.0) + decode_by_mixed >= rates.decode
    }

    /// Tokens per second that an engine generates within the token interval while it spends `prefill_share` of its time
    /// on prefill.
    fn decode_rate(&self, prefill_share: f64) -> f64 {
        let decode_share = 1.0 - prefill_share;
        let step_time_allowed = self.token_interval.as_secs_f64() * decode_share;
        let single_request_step = self.performance.step_time.as_secs_f64();
        if step_time_allowed < single_request_step {
            return 0.0;
        }
        let per_further_request = self.performance.step_time_per_request.as_secs_f64().max(f64::MIN_POSITIVE);
        let batch_within_interval = 1.0 + ((step_time_allowed - single_request_step) / per_further_request).floor();
        let batch = batch_within_interval.min(f64::from(self.performance.batch_maximum));
        decode_share * batch / (single_request_step + per_further_request * (batch - 1.0))
    }
}

/// All role counts with the same total that respect the floors, in a fixed order.
///
/// Decode and mixed engines are never combined: dispatch splits every long prompt that it can, so a few decode engines
/// would get all the generation of long prompts while the mixed engines have spare capacity.
pub(super) fn possible_roles(demand: &PoolDemand) -> impl Iterator<Item = RoleCounts> {
    let total = demand.roles.total();
    let (prefill_floor, decode_floor) = (demand.prefill_floor, demand.decode_floor);
    (0..=total)
        .flat_map(move |prefill| {
            (0..=total - prefill).map(move |decode| RoleCounts { prefill, decode, mixed: total - prefill - decode })
        })
        .filter(move |roles| roles.prefill + roles.mixed >= prefill_floor && roles.decode + roles.mixed >= decode_floor)
        .filter(|roles| roles.decode == 0 || roles.mixed == 0)
}

/// The roles with the most headroom; among roles with at least `enough_headroom`, those with the fewest changes.
pub(super) fn best_roles(demand: &PoolDemand, rates: TokenRates, enough_headroom: f64) -> RoleCounts {
    let model = PoolModel::of(demand);
    let rank = |roles: &RoleCounts| {
        let headroom = model.headroom(*roles, rates).min(enough_headroom);
        (headroom, std::cmp::Reverse(demand.roles.changes_to(*roles)))
    };
    let better = |left: &(f64, std::cmp::Reverse<u16>), right: &(f64, std::cmp::Reverse<u16>)| {
        left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
    };
    let ranked = possible_roles(demand).map(|roles| (rank(&roles), roles));
    ranked.max_by(|left, right| better(&left.0, &right.0)).map_or(demand.roles, |(_, roles)| roles)
}
