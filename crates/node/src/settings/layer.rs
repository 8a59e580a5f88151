//! One source of settings: the file, or the flags over it.

use havengate_core::world::{Address, ZoneName};
use serde::{Deserialize, Serialize};

use super::limits::{Deadlines, Limits};
use super::log_settings::{LogLevel, LogSettings};

/// Settings from one source, in which anything may be left out; another source may hold it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SettingsLayer {
    /// See [`super::Settings::zone`].
    pub zone: Option<ZoneName>,
    /// See [`super::Settings::callers_address`].
    pub callers_address: Option<Address>,
    /// See [`super::Settings::operators_address`].
    pub operators_address: Option<Address>,
    /// See [`super::Settings::peers_address`].
    pub peers_address: Option<Address>,
    /// See [`super::Settings::platform_address`].
    pub platform_address: Option<Address>,
    /// See [`super::Settings::seeds`].
    pub seeds: Option<Vec<Address>>,
    /// See [`super::Settings::limits`].
    pub limits: Option<Limits>,
    /// See [`super::Settings::deadlines`].
    pub deadlines: Option<Deadlines>,
    /// See [`super::Settings::log`].
    pub log: LogLayer,
}

/// What one source says about the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogLayer {
    /// See [`LogSettings::level`].
    pub level: Option<LogLevel>,
    /// See [`LogSettings::timestamps`].
    pub timestamps: Option<bool>,
}

impl LogLayer {
    fn over(self, below: LogLayer) -> LogLayer {
        LogLayer { level: self.level.or(below.level), timestamps: self.timestamps.or(below.timestamps) }
    }

    pub(super) fn resolve(self) -> LogSettings {
        let default = LogSettings::default();
        LogSettings {
            level: self.level.unwrap_or(default.level),
            timestamps: self.timestamps.unwrap_or(default.timestamps),
        }
    }
}

impl SettingsLayer {
    /// This layer, with what it leaves out taken from `below`.
    pub fn over(self, below: SettingsLayer) -> SettingsLayer {
        SettingsLayer {
            zone: self.zone.or(below.zone),
            callers_address: self.callers_address.or(below.callers_address),
            operators_address: self.operators_address.or(below.operators_address),
            peers_address: self.peers_address.or(below.peers_address),
            platform_address: self.platform_address.or(below.platform_address),
            seeds: self.seeds.or(below.seeds),
            limits: self.limits.or(below.limits),
            deadlines: self.deadlines.or(below.deadlines),
            log: self.log.over(below.log),
        }
    }
}
