//! The settings of stages.

use std::ops::RangeInclusive;
use std::time::Duration;

use havengate_core::stages::{LeaseConfig, StagePolicyConfig};
use serde::Deserialize;

/// What the control thread is told of stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageSettings {
    /// How stages are decided.
    pub policy: StagePolicyConfig,
    /// The lease that orders need.
    pub lease: StageLeaseSettings,
}

/// What `[stage_lease]` in the settings holds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct StageLeaseSettings {
    /// The time that must lie between the orders of two holders, in milliseconds.
    pub hand_over_milliseconds: f64,
}

impl Default for StageLeaseSettings {
    fn default() -> Self {
        StageLeaseSettings { hand_over_milliseconds: LeaseConfig::default().hand_over.as_secs_f64() * 1e3 }
    }
}

impl StageLeaseSettings {
    /// What `hand_over_milliseconds` may be.
    pub const HAND_OVER_MILLISECONDS: RangeInclusive<f64> = 0.0..=600_000.0;

    /// The times of the lease.
    pub fn lease(&self) -> LeaseConfig {
        LeaseConfig { hand_over: Duration::from_secs_f64(self.hand_over_milliseconds / 1e3), ..LeaseConfig::default() }
    }
}
