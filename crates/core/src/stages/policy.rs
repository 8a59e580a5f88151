//! How many engines of a service are to read prompts, decided from the load that was seen.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;
use crate::world::ServiceName;

/// The work that a service's requests make.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// The prefill engines that would be busy with reading its prompts all the time.
    pub reading: f64,
    /// The answers that are generated at the same time.
    pub answering: f64,
}

/// The engines of a service by the stage that they serve or are about to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// The answers that a decode engine generates at the same time.
    pub slots: u32,
}

/// How stages are decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StagePolicyName {
    /// Engines keep the stage that they have; no order is given.
    None,
    /// A fixed share of the engines reads.
    Fixed,
    /// The share follows the load.
    #[default]
    Follow,
}

/// Limits of a [`StagePolicy`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StagePolicyConfig {
    /// How stages are decided.
    pub policy: StagePolicyName,
    /// The share of a service's engines that reads under the policy `fixed`, and under `follow` in a system that starts for
    /// the first time, until a load was seen.
    pub prefill_share: f64,
    /// The part of their time that prefill engines may be busy at the load to be borne; the rest is for prompts that come
    /// together and for engines that are lost.
    pub reading_utilization: f64,
    /// The part of their places that decode engines may have taken at the load to be borne. Below 1: nodes place answers
    /// without knowing of each other's.
    pub answering_utilization: f64,
    /// The share of a service's engines that each stage keeps whatever the load is: the mix may swing faster than engines
    /// change, and a fifth of the engines may be lost together.
    pub floor_share: f64,
    /// Loads of single spans are smoothed over this time, in seconds: longer than ripples.
    pub smoothing_seconds: f64,
    /// A load that was seen counts half after this time, in seconds: the mix may swing back.
    pub memory_seconds: f64,
    /// The share of a service's engines by which the wanted number must differ from the one that there is, for engines to
    /// change.
    pub change_minimum_share: f64,
    /// Another number must be wanted for so long, in seconds, before engines change: about what a change costs. Engines that
    /// crash are often back sooner.
    pub dwell_seconds: f64,
}

/// a value of the stages' settings is out of its range: {0}
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
    /// Checks that each value can be reckoned with.
    ///
    /// # Errors
    /// Names the first value that can't.
    pub fn validate(&self) -> Result<(), StagePolicyConfigError> {
        let within = |value: f64, least: f64, most: f64| value.is_finite() && (least..=most).contains(&value);
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
        let wrong = checks.iter().find(|(holds, _)| !holds);
        wrong.map_or(Ok(()), |(_, message)| Err(StagePolicyConfigError(message)))
    }
}

/// Below this share of its engines' work, a service's load shows too little of its mix to decide on.
const LOAD_MINIMUM_SHARE: f64 = 0.1;

/// How many engines of a service are to read, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageDecision {
    /// The prefill engines that are wanted.
    pub prefill: usize,
    /// The engines that reading needs at the load to be borne.
    pub reading_need: f64,
    /// The engines that answering needs.
    pub answering_need: f64,
}

#[derive(Clone, Copy, Debug)]
struct LoadMemory {
    smoothed: ServiceLoad,
    borne: ServiceLoad,
    updated: Timestamp,
}

/// Decides how many engines of each service are to read.
#[derive(Clone, Debug)]
pub struct StagePolicy {
    config: StagePolicyConfig,
    memories: BTreeMap<ServiceName, LoadMemory>,
}

impl StagePolicy {
    /// A policy that has seen no load.
    pub fn new(config: StagePolicyConfig) -> Self {
        StagePolicy { config, memories: BTreeMap::new() }
    }

    /// Goes by other limits from now on. What was seen is kept.
    pub fn set_config(&mut self, config: StagePolicyConfig) {
        self.config = config;
    }

    /// The limits.
    pub fn config(&self) -> StagePolicyConfig {
        self.config
    }

    /// Takes in the load of a span that ended at `now`.
    pub fn observe(&mut self, service: &ServiceName, load: ServiceLoad, now: Timestamp) {
        let config = self.config;
        let memory =
            self.memories.entry(service.clone()).or_insert(LoadMemory { smoothed: load, borne: load, updated: now });
        let elapsed = now.since(memory.updated).as_secs_f64();
        let weight =
            if config.smoothing_seconds > 0.0 { 1.0 - (-elapsed / config.smoothing_seconds).exp() } else { 1.0 };
        let kept = 0.5_f64.powf(elapsed / config.memory_seconds);
        let step = |smoothed: &mut f64, borne: &mut f64, seen: f64| {
            *smoothed += (seen - *smoothed) * weight;
            *borne = (*borne * kept).max(*smoothed);
        };
        step(&mut memory.smoothed.reading, &mut memory.borne.reading, load.reading);
        step(&mut memory.smoothed.answering, &mut memory.borne.answering, load.answering);
        memory.updated = now;
    }

    /// The load of `service` that engines are to bear: the highest of late, fading.
    pub fn load_borne(&self, service: &ServiceName) -> Option<ServiceLoad> {
        self.memories.get(service).map(|memory| memory.borne)
    }

    /// How many engines of `service` are to read, when `counts` do and don't now; `None` when nothing is known or decided.
    /// `is_first` tells that nobody has decided before in this system.
    ///
    /// Both stages are to be used alike, measured by what each may bear, within the floors.
    pub fn decide(&self, service: &ServiceName, counts: StageCounts, is_first: bool) -> Option<StageDecision> {
        let engines = counts.prefill + counts.decode;
        let least = (self.config.floor_share * engines as f64).ceil().max(1.0) as usize;
        if engines < 2 || 2 * least > engines {
            return None;
        }
        let planned = || {
            let wanted = (self.config.prefill_share * engines as f64).round() as usize;
            let prefill = wanted.clamp(least, engines - least);
            StageDecision { prefill, reading_need: 0.0, answering_need: 0.0 }
        };
        match self.config.policy {
            StagePolicyName::None => None,
            StagePolicyName::Fixed => Some(planned()),
            StagePolicyName::Follow => {
                let Some(borne) = self.load_borne(service) else {
                    return is_first.then(planned);
                };
                let reading_need = borne.reading / self.config.reading_utilization;
                let places = f64::from(counts.slots.max(1)) * self.config.answering_utilization;
                let answering_need = borne.answering / places;
                if reading_need + answering_need < LOAD_MINIMUM_SHARE * engines as f64 {
                    return is_first.then(planned);
                }
                let wanted = self.wanted(counts, least, reading_need / (reading_need + answering_need));
                Some(StageDecision { prefill: wanted, reading_need, answering_need })
            }
        }
    }

    fn wanted(&self, counts: StageCounts, least: usize, reading_share: f64) -> usize {
        let engines = counts.prefill + counts.decode;
        let wanted = (engines as f64 * reading_share).round() as usize;
        let wanted = wanted.clamp(least, engines - least);
        let change = wanted.abs_diff(counts.prefill) as f64;
        let is_small = change < (self.config.change_minimum_share * engines as f64).max(1.0);
        let floors_hold = (least..=engines - least).contains(&counts.prefill);
        if is_small && floors_hold { counts.prefill } else { wanted }
    }
}
