//! Decides how many engines of a service run prefill, from the observed load.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;
use crate::world::ServiceName;

/// Load that a service's requests cause.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Number of prefill engines that the service's prompts would keep fully busy.
    pub busy_prefill_engines: f64,
    /// Number of answers generated at the same time.
    pub concurrent_answers: f64,
}

/// Number of engines of a service by the stage that they serve or change to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Number of answers that a decode engine can generate at the same time.
    pub slots: u32,
}

/// The policy that assigns engines to stages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagePolicyName {
    /// Engines keep their stage; no orders are sent.
    None,
    /// A fixed share of the engines runs prefill.
    Fixed,
    /// The share follows the load.
    #[default]
    Follow,
}

/// Limits of a [`StagePolicy`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StagePolicyConfig {
    /// The policy that assigns engines to stages.
    pub policy: StagePolicyName,
    /// Share of a service's engines that run prefill under the policy `fixed`, and under `follow` on the first start of
    /// a system until a load is observed.
    pub prefill_share: f64,
    /// Target utilization of prefill engines at peak load; the remainder is headroom for bursts of prompts and for lost
    /// engines.
    pub reading_utilization: f64,
    /// Target share of occupied slots on decode engines at peak load. Below 1 because nodes place answers without
    /// knowing of each other's.
    pub answering_utilization: f64,
    /// Minimum share of a service's engines in each stage at any load: the mix may shift faster than engines change,
    /// and a fifth of the engines may be lost together.
    pub floor_share: f64,
    /// Time constant for smoothing the loads of single spans, in seconds; longer than short fluctuations.
    pub smoothing_seconds: f64,
    /// Half-life of the observed peak load, in seconds; the peak is remembered because the mix may shift back.
    pub memory_seconds: f64,
    /// Minimum difference between the target and the present number of prefill engines, as a share of the service's
    /// engines, for engines to change.
    pub change_minimum_share: f64,
    /// Time for which the target must differ from the present number before engines change, in seconds: about what a
    /// change costs. Engines that crash often return sooner.
    pub dwell_seconds: f64,
}

/// stage setting out of range: {0}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct StagePolicyConfigError(pub &'static str);

impl Default for StagePolicyConfig {
    fn default() -> Self {
        StagePolicyConfig {
            policy: StagePolicyName::Follow,
            prefill_share: 0.65,
            reading_utilization: 0.7,
            answering_utilization: 0.6,
            floor_share: 0.35,
            smoothing_seconds: 2.0,
            memory_seconds: 120.0,
            change_minimum_share: 0.1,
            dwell_seconds: 3.0,
        }
    }
}

impl StagePolicyConfig {
    /// Checks that each value is in its range.
    ///
    /// # Errors
    /// Returns the first value that is out of range.
    pub fn validate(&self) -> Result<(), StagePolicyConfigError> {
        let within = |value: f64, minimum: f64, maximum: f64| value.is_finite() && (minimum..=maximum).contains(&value);
        let checks = [
            (within(self.prefill_share, 0.0, 1.0), "prefill_share: 0 to 1"),
            (within(self.reading_utilization, 0.1, 1.0), "reading_utilization: 0.1 to 1"),
            (within(self.answering_utilization, 0.1, 1.0), "answering_utilization: 0.1 to 1"),
            (within(self.floor_share, 0.0, 0.5), "floor_share: 0 to 0.5"),
            (within(self.smoothing_seconds, 0.0, 600.0), "smoothing_seconds: 0 to 600"),
            (within(self.memory_seconds, 1.0, 86_400.0), "memory_seconds: 1 to 86400"),
            (within(self.change_minimum_share, 0.0, 1.0), "change_minimum_share: 0 to 1"),
            (within(self.dwell_seconds, 0.0, 600.0), "dwell_seconds: 0 to 600"),
        ];
        let invalid = checks.iter().find(|(is_valid, _)| !is_valid);
        invalid.map_or(Ok(()), |(_, message)| Err(StagePolicyConfigError(message)))
    }
}

/// Below this share of its engines' capacity, a service's load is too small to show its mix of prefill and decode.
const LOAD_MINIMUM_SHARE: f64 = 0.1;

/// Target number of prefill engines of a service, and the needs that it is derived from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageDecision {
    /// Target number of prefill engines.
    pub prefill: usize,
    /// Number of engines that prefill needs at peak load.
    pub prefill_need: f64,
    /// Number of engines that decode needs at peak load.
    pub decode_need: f64,
}

#[derive(Clone, Copy, Debug)]
struct LoadHistory {
    smoothed: ServiceLoad,
    peak: ServiceLoad,
    updated: Timestamp,
}

/// Decides how many engines of each service run prefill.
#[derive(Clone, Debug)]
pub struct StagePolicy {
    config: StagePolicyConfig,
    histories: BTreeMap<ServiceName, LoadHistory>,
}

impl StagePolicy {
    /// Creates a policy without observed load.
    pub fn new(config: StagePolicyConfig) -> Self {
        StagePolicy { config, histories: BTreeMap::new() }
    }

    /// Replaces the limits; the observed load is kept.
    pub fn set_config(&mut self, config: StagePolicyConfig) {
        self.config = config;
    }

    /// The limits.
    pub fn config(&self) -> StagePolicyConfig {
        self.config
    }

    /// Records the load of a span that ended at `now`.
    pub fn observe(&mut self, service: &ServiceName, load: ServiceLoad, now: Timestamp) {
        let config = self.config;
        let history =
            self.histories.entry(service.clone()).or_insert(LoadHistory { smoothed: load, peak: load, updated: now });
        let elapsed = now.since(history.updated).as_secs_f64();
        let weight =
            if config.smoothing_seconds > 0.0 { 1.0 - (-elapsed / config.smoothing_seconds).exp() } else { 1.0 };
        let decay = 0.5_f64.powf(elapsed / config.memory_seconds);
        let update = |smoothed: &mut f64, peak: &mut f64, observed: f64| {
            *smoothed += (observed - *smoothed) * weight;
            *peak = (*peak * decay).max(*smoothed);
        };
        update(
            &mut history.smoothed.busy_prefill_engines,
            &mut history.peak.busy_prefill_engines,
            load.busy_prefill_engines,
        );
        update(&mut history.smoothed.concurrent_answers, &mut history.peak.concurrent_answers, load.concurrent_answers);
        history.updated = now;
    }

    /// Decaying peak load that the engines of `service` are sized for.
    pub fn peak_load(&self, service: &ServiceName) -> Option<ServiceLoad> {
        self.histories.get(service).map(|history| history.peak)
    }

    /// Decides how many engines of `service` run prefill, given the present `counts`; `None` if there is nothing to
    /// decide on. `is_first` means that no node has decided before in this system.
    ///
    /// Both stages get the same utilization relative to their targets, within the floors.
    pub fn decide(&self, service: &ServiceName, counts: StageCounts, is_first: bool) -> Option<StageDecision> {
        let engines = counts.prefill + counts.decode;
        let minimum = (self.config.floor_share * engines as f64).ceil().max(1.0) as usize;
        if engines < 2 || 2 * minimum > engines {
            return None;
        }
        let configured = || {
            let target = (self.config.prefill_share * engines as f64).round() as usize;
            let prefill = target.clamp(minimum, engines - minimum);
            StageDecision { prefill, prefill_need: 0.0, decode_need: 0.0 }
        };
        match self.config.policy {
            StagePolicyName::None => None,
            StagePolicyName::Fixed => Some(configured()),
            StagePolicyName::Follow => {
                let Some(peak) = self.peak_load(service) else {
                    return is_first.then(configured);
                };
                let prefill_need = peak.busy_prefill_engines / self.config.reading_utilization;
                let target_slots = f64::from(counts.slots.max(1)) * self.config.answering_utilization;
                let decode_need = peak.concurrent_answers / target_slots;
                if prefill_need + decode_need < LOAD_MINIMUM_SHARE * engines as f64 {
                    return is_first.then(configured);
                }
                let target = self.target_prefill(counts, minimum, prefill_need / (prefill_need + decode_need));
                Some(StageDecision { prefill: target, prefill_need, decode_need })
            }
        }
    }

    fn target_prefill(&self, counts: StageCounts, minimum: usize, need_share: f64) -> usize {
        let engines = counts.prefill + counts.decode;
        let target = (engines as f64 * need_share).round() as usize;
        let target = target.clamp(minimum, engines - minimum);
        let change = target.abs_diff(counts.prefill) as f64;
        let is_small = change < (self.config.change_minimum_share * engines as f64).max(1.0);
        let floors_hold = (minimum..=engines - minimum).contains(&counts.prefill);
        if is_small && floors_hold { counts.prefill } else { target }
    }
}
