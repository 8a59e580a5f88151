//! How many engines of each kind a service is to have in each zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::routing::{FleetLimits, Price};
use crate::world::ZoneName;

/// Whether an engine may be taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineKind {
    /// It stays.
    OnDemand,
    /// It costs less, and may be taken away with all of its kind in its zone.
    Preemptible,
}

impl EngineKind {
    /// The word in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EngineKind::OnDemand => "on_demand",
            EngineKind::Preemptible => "preemptible",
        }
    }
}

/// The engines of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneFleet {
    /// Those that stay.
    pub on_demand: u32,
    /// Those that may be taken away.
    pub preemptible: u32,
}

impl ZoneFleet {
    /// The engines of a kind.
    pub fn of_kind(self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::OnDemand => self.on_demand,
            EngineKind::Preemptible => self.preemptible,
        }
    }
}

/// The engines of a service by zone.
pub type FleetPlan = BTreeMap<ZoneName, ZoneFleet>;

/// The engines that a service had before anything was ordered: what its owner has sized it for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetBaseline {
    /// The engines in all zones.
    pub engines: u32,
}

/// How the number of engines is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetPolicyName {
    /// Nothing is ordered.
    None,
    /// Each zone has the engines that the settings name.
    Fixed,
    /// Mostly preemptible engines, and so many that the loss of a zone's leaves more than the service was sized for.
    #[default]
    Hedged,
}

/// Limits of a [`FleetPolicy`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPolicyConfig {
    /// How the number of engines is decided.
    pub policy: FleetPolicyName,
    /// The on-demand engines of each zone under the policy `fixed`.
    pub on_demand_per_zone: u32,
    /// The preemptible engines of each zone under the policy `fixed`.
    pub preemptible_per_zone: u32,
    /// The part of a service's size that stays on demand under `hedged`: what is left when all preemptible ones are gone.
    pub on_demand_share: f64,
    /// The part of a service's size that has to be left under `hedged` when a zone's preemptible engines are taken away. More
    /// than 1: engines that are lost are lost with what they keep, and load swings.
    pub left_share: f64,
    /// A service with more engines than this is left as it is under `hedged`. Each engine that comes, leaves or takes a stage
    /// is told to every node: with 1,000 engines and 100 nodes that was paid for by cheaper engines within 42 s, with 3,000 and
    /// 302 it cost five times what all else did.
    pub engines_maximum: u32,
}

/// a value of the fleet settings is out of its range: {0}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct FleetPolicyConfigError(pub &'static str);

impl Default for FleetPolicyConfig {
    fn default() -> Self {
        FleetPolicyConfig {
            policy: FleetPolicyName::Hedged,
            on_demand_per_zone: 0,
            preemptible_per_zone: 0,
            on_demand_share: 0.1,
            left_share: 1.6,
            engines_maximum: 1_500,
        }
    }
}

impl FleetPolicyConfig {
    /// Checks that each value can be reckoned with.
    ///
    /// # Errors
    /// Names the first value that can't.
    pub fn validate(&self) -> Result<(), FleetPolicyConfigError> {
        if !(0.0..=1.0).contains(&self.on_demand_share) {
            return Err(FleetPolicyConfigError("on_demand_share: 0 to 1"));
        }
        if !(0.0..=10.0).contains(&self.left_share) {
            return Err(FleetPolicyConfigError("left_share: 0 to 10"));
        }
        Ok(())
    }
}

/// Plans how many engines a service is to have.
#[derive(Clone, Copy, Debug)]
pub struct FleetPolicy {
    config: FleetPolicyConfig,
}

impl FleetPolicy {
    /// A policy with these limits.
    pub fn new(config: FleetPolicyConfig) -> Self {
        FleetPolicy { config }
    }

    /// Whether anything is ordered at all.
    pub fn is_enabled(&self) -> bool {
        self.config.policy != FleetPolicyName::None
    }

    /// The engines that a service is to have in each of its zones; `None`: it is left alone.
    pub fn plan(&self, limits: &FleetLimits, baseline: FleetBaseline) -> Option<FleetPlan> {
        let zones = limits.zones();
        if zones.is_empty() || limits.minimum > limits.maximum {
            return None;
        }
        let zone = match self.config.policy {
            FleetPolicyName::None => return None,
            FleetPolicyName::Fixed => {
                ZoneFleet { on_demand: self.config.on_demand_per_zone, preemptible: self.config.preemptible_per_zone }
            }
            FleetPolicyName::Hedged => self.hedged(limits, baseline, zones.len() as u32)?,
        };
        let zone = within(zone, limits);
        Some(zones.into_iter().map(|name| (name.clone(), zone)).collect())
    }

    /// Each zone alike: a zone that had more preemptible engines would lose more at once.
    fn hedged(&self, limits: &FleetLimits, baseline: FleetBaseline, zones: u32) -> Option<ZoneFleet> {
        let size = f64::from(baseline.engines);
        // Nothing is left to hedge with in one zone, and nothing to be gained by engines that cost as much.
        let has_size = (1..=self.config.engines_maximum).contains(&baseline.engines);
        if zones < 2 || !has_size || limits.preemptible_price >= Price::WHOLE {
            return None;
        }
        let on_demand = (size * self.config.on_demand_share / f64::from(zones)).ceil();
        let wanted_left = size * self.config.left_share - on_demand * f64::from(zones);
        let preemptible = (wanted_left / f64::from(zones - 1)).ceil().max(0.0);
        let plan = within(ZoneFleet { on_demand: on_demand as u32, preemptible: preemptible as u32 }, limits);
        let price = f64::from(plan.on_demand) + f64::from(plan.preemptible) * limits.preemptible_price.as_share();
        let left = plan.on_demand * zones + plan.preemptible * (zones - 1);
        // Ordering is to cost less than leaving it, and a loss is to leave what the service was sized for: the limits may
        // allow fewer engines than that takes.
        (price * f64::from(zones) <= size && left >= baseline.engines).then_some(plan)
    }
}

/// The nearest that the limits of both kinds together allow. On-demand engines go first.
fn within(zone: ZoneFleet, limits: &FleetLimits) -> ZoneFleet {
    let on_demand = zone.on_demand.min(limits.maximum);
    let preemptible = zone.preemptible.min(limits.maximum - on_demand);
    let lacking = limits.minimum.saturating_sub(on_demand + preemptible);
    ZoneFleet { on_demand: on_demand + lacking, preemptible }
}
