//! The settings of duties.

use std::ops::RangeInclusive;
use std::time::Duration;

use havengate_core::duties::LeaseConfig;
use havengate_core::duties::fleet::FleetPolicyConfig;
use havengate_core::duties::usage::UsageConfig;
use havengate_core::stages::StagePolicyConfig;
use serde::Deserialize;

/// Settings of duties, passed to the control thread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutySettings {
    /// The lease that duties require.
    pub lease: DutyLeaseSettings,
    /// The policy that assigns engines to stages.
    pub stages: StagePolicyConfig,
    /// How usage is reported; `None` if it is not reported.
    pub usage: Option<UsageConfig>,
    /// The policy for the number of engines.
    pub fleet: FleetPolicyConfig,
}

/// The section `[duty_lease]` of the settings.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DutyLeaseSettings {
    /// Minimum time between the calls and orders of two holders, in milliseconds.
    pub hand_over_milliseconds: f64,
}

impl Default for DutyLeaseSettings {
    fn default() -> Self {
        DutyLeaseSettings { hand_over_milliseconds: LeaseConfig::default().hand_over.as_secs_f64() * 1e3 }
    }
}

impl DutyLeaseSettings {
    /// Valid range of `hand_over_milliseconds`.
    pub const HAND_OVER_MILLISECONDS: RangeInclusive<f64> = 0.0..=600_000.0;

    /// The lease configuration with this hand-over time.
    pub fn lease(&self) -> LeaseConfig {
        LeaseConfig { hand_over: Duration::from_secs_f64(self.hand_over_milliseconds / 1e3), ..LeaseConfig::default() }
    }
}
