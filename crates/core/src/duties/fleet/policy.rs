//! Plans how many engines of each kind a service has in each zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::routing::{FleetLimits, Price};
use crate::world::ZoneName;

/// Whether an engine may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineKind {
    /// The platform never preempts it.
    OnDemand,
    /// It costs less, and may be preempted together with all preemptible engines of its zone.
    Preemptible,
}

impl EngineKind {
    /// The value that logs and metrics use.
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
    /// The on-demand engines.
    pub on_demand: u32,
    /// The preemptible engines.
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

/// The engines that a service had before any order: the size that its owner has chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetBaseline {
    /// The engines in all zones.
    pub engines: u32,
}

/// Policy that decides the number of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetPolicyName {
    /// Issues no orders.
    None,
    /// Gives each zone the number of engines in the settings.
    Fixed,
    /// Uses mostly preemptible engines, and enough of them that losing those of one zone leaves more engines than the
    /// service was sized for.
    #[default]
    Hedged,
}

/// Limits of a [`FleetPolicy`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPolicyConfig {
    /// The policy that decides the number of engines.
    pub policy: FleetPolicyName,
    /// The on-demand engines of each zone under the policy `fixed`.
    pub on_demand_per_zone: u32,
    /// The preemptible engines of each zone under the policy `fixed`.
    pub preemptible_per_zone: u32,
    /// The share of a service's size that is on demand under `hedged`: the capacity left when all preemptible engines are lost.
    pub on_demand_share: f64,
    /// The share of a service's size that must remain under `hedged` when a zone's preemptible engines are lost. It exceeds 1
    /// because lost engines take their caches with them, and because load varies.
    pub left_share: f64,
    /// Under `hedged`, a service with more engines than this is left unchanged. Each engine that is added, drains or changes
    /// its stage is announced to every node: with 1,000 engines and 100 nodes the cheaper engines made up for that cost within
    /// 42 s; with 3,000 engines and 302 nodes it was five times the cost of everything else.
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
    /// Checks that each value is within its range.
    ///
    /// # Errors
    /// Names the first value that is out of range.
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

/// Plans how many engines a service has.
#[derive(Clone, Copy, Debug)]
pub struct FleetPolicy {
    config: FleetPolicyConfig,
}

impl FleetPolicy {
    /// A policy with these limits.
    pub fn new(config: FleetPolicyConfig) -> Self {
        FleetPolicy { config }
    }

    /// Whether the policy issues any orders.
    pub fn is_enabled(&self) -> bool {
        self.config.policy != FleetPolicyName::None
    }

    /// The engines that a service should have in each of its zones; `None`: the service is left unchanged.
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
        let zone = clamp_to_limits(zone, limits);
        Some(zones.into_iter().map(|name| (name.clone(), zone)).collect())
    }

    /// Plans the same fleet for each zone: a zone with more preemptible engines would lose more of them at once.
    fn hedged(&self, limits: &FleetLimits, baseline: FleetBaseline, zones: u32) -> Option<ZoneFleet> {
        let size = f64::from(baseline.engines);
        // A single zone has no other zone to hedge with, and preemptible engines at the full price save nothing.
        let is_size_supported = (1..=self.config.engines_maximum).contains(&baseline.engines);
        if zones < 2 || !is_size_supported || limits.preemptible_price >= Price::FULL {
            return None;
        }
        let on_demand = (size * self.config.on_demand_share / f64::from(zones)).ceil();
        let wanted_remaining = size * self.config.left_share - on_demand * f64::from(zones);
        let preemptible = (wanted_remaining / f64::from(zones - 1)).ceil().max(0.0);
        let plan = clamp_to_limits(ZoneFleet { on_demand: on_demand as u32, preemptible: preemptible as u32 }, limits);
        let price = f64::from(plan.on_demand) + f64::from(plan.preemptible) * limits.preemptible_price.as_share();
        let remaining = plan.on_demand * zones + plan.preemptible * (zones - 1);
        // The plan must not cost more than the unchanged service, and a loss must leave the size of the service: the limits may
        // allow too few engines for that.
        (price * f64::from(zones) <= size && remaining >= baseline.engines).then_some(plan)
    }
}

/// The fleet closest to `zone` whose total is within the limits. On-demand engines take precedence.
fn clamp_to_limits(zone: ZoneFleet, limits: &FleetLimits) -> ZoneFleet {
    let on_demand = zone.on_demand.min(limits.maximum);
    let preemptible = zone.preemptible.min(limits.maximum - on_demand);
    let missing = limits.minimum.saturating_sub(on_demand + preemptible);
    ZoneFleet { on_demand: on_demand + missing, preemptible }
}
