//! The settings of a node that relays.

use std::path::Path;
use std::time::Duration;

use havengate_core::relay::{Affinity, PlacementConfig, PlacementConfigError, SharedRetryBudgetConfig};
use havengate_core::world::{Address, NodeName, ZoneName};
use havengate_node::settings::{InvalidValue, LogLevel, TomlFileError, ValueCheck, parse_toml, read_toml};
use serde::Deserialize;

/// The settings of a node that relays, as its file holds them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The node's name, for logs.
    pub name: NodeName,
    /// The zone that its machine stands in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers_address: Address,
    /// Where the node tells whether it takes requests.
    pub readiness_address: Address,
    /// Where peers connect, TCP and UDP on the same port.
    pub peers_address: Address,
    /// Where peers tell of the prompts that they have read, UDP.
    pub notices_address: Address,
    /// Where the node's metrics are read; `None`: nowhere.
    #[serde(default)]
    pub metrics_address: Option<Address>,
    /// The store.
    pub store_address: Address,
    /// Peers that are told of this node from the start; they may be gone.
    #[serde(default)]
    pub seeds: Vec<Address>,
    /// The longest that a planned stop may take, in seconds.
    pub stop_grace_seconds: f64,
    /// The limits of repeats.
    pub retry_budget: RetryBudgetSettings,
    /// What the placement of requests weighs.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// The least severe events that are logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// The limits of repeats to one service, over all nodes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Repeats that each request pays for, from 0 to 1.
    pub ratio: f64,
    /// Repeats in a window beyond the ratio.
    pub slack: f64,
    /// The length of the window, in seconds.
    pub window_seconds: f64,
}

/// What the placement of requests weighs; what is left out has its default.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Whether what engines keep of shared parts counts.
    pub affinity: Option<bool>,
    /// Whether engines take parts over from each other.
    pub takes_parts_over: Option<bool>,
    /// Whether decode engines read long prompts too.
    pub decode_engines_read: Option<bool>,
    /// How much more a millisecond of reading costs on a decode engine.
    pub decode_interference: Option<f64>,
    /// Requests that an engine in another zone must have fewer.
    pub zone_advantage: Option<f64>,
    /// Whether engines are told who goes first.
    pub orders_by_urgency: Option<bool>,
    /// Whether requests are refused that can't be answered in time.
    pub refuses_early: Option<bool>,
    /// The share of a target within which a prompt must be expected to be read.
    pub target_share: Option<f64>,
    /// The time still to read that counts like a request under way, in milliseconds.
    pub backlog_per_request_milliseconds: Option<f64>,
}

impl PlacementSettings {
    fn config(&self) -> PlacementConfig {
        let default = PlacementConfig::default();
        let affinity = match self.affinity {
            Some(false) => Affinity::Nothing,
            _ => default.affinity,
        };
        // A time that is none becomes zero, which the check refuses.
        let backlog = |millis: f64| Duration::try_from_secs_f64(millis / 1e3).unwrap_or_default();
        let backlog = self.backlog_per_request_milliseconds.map(backlog);
        PlacementConfig {
            affinity,
            takes_parts_over: self.takes_parts_over.unwrap_or(default.takes_parts_over),
            decode_engines_read: self.decode_engines_read.unwrap_or(default.decode_engines_read),
            decode_interference: self.decode_interference.unwrap_or(default.decode_interference),
            zone_advantage: self.zone_advantage.unwrap_or(default.zone_advantage),
            orders_by_urgency: self.orders_by_urgency.unwrap_or(default.orders_by_urgency),
            refuses_early: self.refuses_early.unwrap_or(default.refuses_early),
            target_share: self.target_share.unwrap_or(default.target_share),
            backlog_per_request: backlog.unwrap_or(default.backlog_per_request),
        }
    }
}

/// Why settings can't be used.
#[derive(Clone, Debug, displaydoc::Display, thiserror::Error)]
pub enum RelaySettingsError {
    /// {0}
    File(#[from] TomlFileError),
    /// {}
    #[displaydoc("{0:?}")]
    Values(Vec<InvalidValue>),
    /// placement: {0}
    Placement(PlacementConfigError),
}

const STOP_GRACE_SECONDS: std::ops::RangeInclusive<f64> = 1.0..=3_600.0;
const WINDOW_SECONDS: std::ops::RangeInclusive<f64> = 1.0..=600.0;

impl RelaySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// When it can't be read, is malformed or holds values that are not allowed.
    pub fn load(path: &Path) -> Result<Self, RelaySettingsError> {
        read_toml::<RelaySettings>(path)?.checked()
    }

    /// Parses and checks settings; `path` only names the source in errors.
    ///
    /// # Errors
    /// As [`RelaySettings::load`], except for reading.
    pub fn parse(path: &Path, text: &str) -> Result<Self, RelaySettingsError> {
        parse_toml::<RelaySettings>(path, text)?.checked()
    }

    fn checked(self) -> Result<Self, RelaySettingsError> {
        let mut check = ValueCheck::new();
        check.in_range("stop_grace_seconds", self.stop_grace_seconds, STOP_GRACE_SECONDS, |seconds| seconds);
        check.in_range("retry_budget.ratio", self.retry_budget.ratio, 0.0..=1.0, |ratio| ratio);
        check.in_range("retry_budget.slack", self.retry_budget.slack, 0.0..=1e6, |slack| slack);
        check
            .in_range("retry_budget.window_seconds", self.retry_budget.window_seconds, WINDOW_SECONDS, |window| window);
        check.reachable("callers_address", self.callers_address);
        check.reachable("readiness_address", self.readiness_address);
        check.reachable("peers_address", self.peers_address);
        check.reachable("notices_address", self.notices_address);
        check.reachable("store_address", self.store_address);
        check.finish().map_err(RelaySettingsError::Values)?;
        self.placement().validate().map_err(RelaySettingsError::Placement)?;
        Ok(self)
    }

    /// Whether the name and all addresses but the seeds are those of `other`.
    pub fn is_at_the_same_place(&self, other: &RelaySettings) -> bool {
        let place = |settings: &RelaySettings| {
            let addresses = [
                Some(settings.callers_address),
                Some(settings.readiness_address),
                Some(settings.peers_address),
                Some(settings.notices_address),
                Some(settings.store_address),
                settings.metrics_address,
            ];
            (settings.name.clone(), settings.zone.clone(), addresses)
        };
        place(self) == place(other)
    }

    /// The longest that a planned stop may take.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_seconds)
    }

    /// What the placement of requests weighs.
    pub fn placement(&self) -> PlacementConfig {
        self.placement.config()
    }

    /// The limits of repeats to one service.
    pub fn retry_budget(&self) -> SharedRetryBudgetConfig {
        SharedRetryBudgetConfig {
            ratio: self.retry_budget.ratio,
            slack: self.retry_budget.slack,
            window: Duration::from_secs_f64(self.retry_budget.window_seconds),
        }
    }
}
