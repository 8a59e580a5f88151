//! The settings of duties.

use std::ops::RangeInclusive;
use std::time::Duration;

use havengate_core::duties::LeaseConfig;
use havengate_core::duties::fleet::FleetPolicyConfig;
use havengate_core::duties::usage::UsageConfig;
use havengate_core::stages::StagePolicyConfig;
use serde::Deserialize;

/// What the control thread is told of duties.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutySettings {
    /// The lease that duties need.
    pub lease: DutyLeaseSettings,
    /// How stages are decided.
    pub stages: StagePolicyConfig,
    /// How usage is reported; `None`: not at all.
    pub usage: Option<UsageConfig>,
    /// How the number of engines is decided.
    pub fleet: FleetPolicyConfig,
}

/// What `[duty_lease]` in the settings holds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DutyLeaseSettings {
    /// The time that must lie between the calls and orders of two holders, in milliseconds.
    pub hand_over_milliseconds: f64,
}

impl Default for DutyLeaseSettings {
    fn default() -> Self {
        DutyLeaseSettings { hand_over_milliseconds: LeaseConfig::default().hand_over.as_secs_f64() * 1e3 }
    }
}

impl DutyLeaseSettings {
    /// What `hand_over_milliseconds` may be.
    pub const HAND_OVER_MILLISECONDS: RangeInclusive<f64> = 0.0..=600_000.0;

    /// The times of the lease.
    pub fn lease(&self) -> LeaseConfig {
        LeaseConfig { hand_over: Duration::from_secs_f64(self.hand_over_milliseconds / 1e3), ..LeaseConfig::default() }
    }
}
