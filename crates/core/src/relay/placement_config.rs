//! The operators' placement settings. Each mechanism can be switched off to measure its effect.

use std::time::Duration;

use serde::Deserialize;

/// The placement settings. A setting that the settings file omits has its default.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementConfig {
    /// Whether cached parts count: a shared part that an engine has cached, with all parts before it, needs no prefill.
    pub affinity: bool,
    /// Whether an engine fetches cached parts from another engine instead of computing them.
    pub takes_parts_over: bool,
    /// Whether decode engines are candidates for the prefill of long prompts.
    pub decode_engines_read: bool,
    /// Decode engines are left out if a prefill engine is expected to process the prompt within this share of its target:
    /// prefill on a decode engine delays all answers that run there. 0: they are never left out.
    pub prefill_suffices_share: f64,
    /// Whether short prompts are processed by idle prefill engines instead of by the decode engine that answers them,
    /// interleaved with its other answers.
    pub short_prompts_apart: bool,
    /// The cost factor of a millisecond of prefill on a decode engine, where it delays the answers that run there.
    pub decode_interference: f64,
    /// How many fewer requests an engine in another zone must have to be preferred to one in the prompt's zone: a KV cache
    /// transfer takes twice as long between zones.
    pub zone_advantage: f64,
    /// Whether engines receive the order of requests: urgent routes before others, and requests that can be in time before
    /// those that are late.
    pub orders_by_urgency: bool,
    /// Whether a request that no engine can begin to answer before its deadline is refused at once.
    pub refuses_early: bool,
    /// The share of the target within which the prefill must be expected to end for the request to count as in time. More
    /// than 1, because the expectation is inexact and a request that queues behind the others is certainly late.
    pub target_share: f64,
    /// The prefill backlog of an engine, in milliseconds, that counts as one request in flight there: short prompts queue
    /// behind long ones.
    pub backlog_per_request_milliseconds: f64,
    /// The cost of sending a long prompt to another zone of the region, in milliseconds of expected time. This and the
    /// following three settings apply only to deployments in two regions or more.
    pub zone_hop_milliseconds: f64,
    /// The cost of sending a long prompt to another region, in milliseconds of expected time; includes the round trip.
    pub region_hop_milliseconds: f64,
    /// The cost of sending any other request to another zone of the region, in requests in flight.
    pub zone_hop_requests: f64,
    /// The cost of sending any other request to another region, in requests in flight.
    pub region_hop_requests: f64,
    /// With two regions or more: from this number of peers on, a node announces prefills only to the region of the engine.
    /// With fewer, the pace of announcements allows all prefills to all peers, which then also know how busy the engines of
    /// other regions are.
    pub region_streams_peers: usize,
}

/// The lower bound of `target_share` where it is a divisor.
const TARGET_SHARE_MINIMUM: f64 = 0.01;

/// The highest cost of a hop, in milliseconds or requests: with it, requests leave the region only when no engine there
/// can be used.
const HOP_MAXIMUM: f64 = 1e4;

/// a placement setting is out of range: {0}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct PlacementConfigError(pub &'static str);

impl Default for PlacementConfig {
    fn default() -> Self {
        PlacementConfig {
            affinity: true,
            takes_parts_over: true,
            decode_engines_read: true,
            prefill_suffices_share: 0.5,
            short_prompts_apart: true,
            decode_interference: 1.75,
            zone_advantage: 2.0,
            orders_by_urgency: true,
            refuses_early: true,
            target_share: 1.5,
            backlog_per_request_milliseconds: 20.0,
            zone_hop_milliseconds: 40.0,
            region_hop_milliseconds: 130.0,
            zone_hop_requests: 2.0,
            region_hop_requests: 8.0,
            region_streams_peers: 150,
        }
    }
}

impl PlacementConfig {
    /// The time within which the prefill must end to be in time, for a request with this `target` that has already
    /// `waited`; `None` for a request without a target, which is never late.
    pub fn in_time(&self, target: Duration, waited: Duration) -> Option<Duration> {
        (!target.is_zero()).then(|| target.mul_f64(self.target_share).saturating_sub(waited))
    }

    /// Decode engines are left out if a prefill engine is expected to process the prompt within this time, given the time
    /// `in_time` within which the prefill must end; `None` where they are never left out.
    pub fn prefill_suffices_within(&self, in_time: Option<Duration>) -> Option<Duration> {
        let share = self.prefill_suffices_share / self.target_share.max(TARGET_SHARE_MINIMUM);
        in_time.filter(|_| share > 0.0).map(|in_time| in_time.mul_f64(share))
    }

    /// Checks that each value is in its range.
    ///
    /// # Errors
    /// Names the first value that is out of range.
    pub fn validate(&self) -> Result<(), PlacementConfigError> {
        let within = |value: f64, minimum: f64| value.is_finite() && (minimum..=1e3).contains(&value);
        if !within(self.decode_interference, 0.1) {
            return Err(PlacementConfigError("decode_interference: 0.1 to 1000"));
        }
        if !within(self.prefill_suffices_share, 0.0) {
            return Err(PlacementConfigError("prefill_suffices_share: 0 to 1000"));
        }
        if !within(self.zone_advantage, 0.0) {
            return Err(PlacementConfigError("zone_advantage: 0 to 1000"));
        }
        if !within(self.target_share, 0.0) {
            return Err(PlacementConfigError("target_share: 0 to 1000"));
        }
        if !(self.backlog_per_request_milliseconds.is_finite() && self.backlog_per_request_milliseconds > 0.0) {
            return Err(PlacementConfigError("backlog_per_request_milliseconds: more than 0"));
        }
        let is_hop = |value: f64| value.is_finite() && (0.0..=HOP_MAXIMUM).contains(&value);
        if !is_hop(self.zone_hop_milliseconds) {
            return Err(PlacementConfigError("zone_hop_milliseconds: 0 to 10000"));
        }
        if !is_hop(self.region_hop_milliseconds) {
            return Err(PlacementConfigError("region_hop_milliseconds: 0 to 10000"));
        }
        if !is_hop(self.zone_hop_requests) {
            return Err(PlacementConfigError("zone_hop_requests: 0 to 10000"));
        }
        if !is_hop(self.region_hop_requests) {
            return Err(PlacementConfigError("region_hop_requests: 0 to 10000"));
        }
        Ok(())
    }
}
