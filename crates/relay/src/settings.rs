//! The settings of a relaying node.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use havengate_core::duties::fleet::{FleetPolicyConfig, FleetPolicyConfigError};
use havengate_core::duties::usage::{UsageConfig, UsageConfigError};
use havengate_core::quota::QuotaConfig;
use havengate_core::relay::{PlacementConfig, PlacementConfigError, SharedRetryBudgetConfig};
use havengate_core::stages::{StagePolicyConfig, StagePolicyConfigError};
use havengate_core::world::{Address, NodeName, RegionName, Topology, ZoneName};
use havengate_node::settings::{
    InvalidValue, LogLevel, TomlFileError, ValueCheck, parse_toml, read_toml, read_toml_text,
};
use serde::Deserialize;

use crate::control::{DutyLeaseSettings, DutySettings};
use crate::machine::Machine;

/// The settings of a relaying node, as its file has them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The node's name, for logs.
    pub name: NodeName,
    /// The zone of its machine.
    pub zone: ZoneName,
    /// The address that callers connect to.
    pub callers_address: Address,
    /// The address of the readiness endpoint.
    pub readiness_address: Address,
    /// The address that peers connect to, TCP and UDP on the same port.
    pub peers_address: Address,
    /// The address that peers send their notices of prefills to, UDP.
    pub notices_address: Address,
    /// The address of the metrics endpoint; `None` disables it.
    #[serde(default)]
    pub metrics_address: Option<Address>,
    /// The address of the store.
    pub store_address: Address,
    /// Peers that the node contacts from its start on; they may no longer exist.
    #[serde(default)]
    pub seeds: Vec<Address>,
    /// Whether the whole system starts for the first time, so that no stream can have begun before.
    #[serde(default)]
    pub first_start: bool,
    /// The time limit of a planned stop, in seconds.
    pub stop_grace_seconds: f64,
    /// The limits of retries.
    pub retry_budget: RetryBudgetSettings,
    /// The parameters of request placement.
    #[serde(default)]
    pub placement: PlacementConfig,
    /// How engines change between prefill and decode.
    #[serde(default)]
    pub stages: StagePolicyConfig,
    /// The lease that duties require. The alias is its previous name, after the first duty.
    #[serde(default, alias = "stage_lease")]
    pub duty_lease: DutyLeaseSettings,
    /// The address of the receiver of duty calls; `None` disables these duties.
    #[serde(default)]
    pub duties_address: Option<Address>,
    /// How usage is reported; `None` disables the reports.
    #[serde(default)]
    pub usage: Option<UsageConfig>,
    /// The rules for tenants' keys.
    #[serde(default)]
    pub keys: KeySettings,
    /// How the number of engines is decided.
    #[serde(default)]
    pub fleet: FleetPolicyConfig,
    /// How tenants' limits are enforced; `None`: limits in the configuration are not enforced.
    #[serde(default)]
    pub tenant_limits: Option<TenantLimitSettings>,
    /// The region of each zone; empty: distance between zones is not considered.
    #[serde(default)]
    pub zone_regions: BTreeMap<ZoneName, RegionName>,
    /// What the machine has.
    #[serde(default)]
    pub machine: Machine,
    /// The lowest severity that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// The limits of retries to one service, over all nodes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// The retries that each request adds to the budget, from 0 to 1.
    pub ratio: f64,
    /// The retries in a window that are allowed beyond the ratio.
    pub slack: f64,
    /// The length of the window, in seconds.
    pub window_seconds: f64,
}

/// The rules for tenants' keys.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The maximum age of the configuration for checking keys, in milliseconds. A node that can't prove that its
    /// configuration is newer rejects requests that need a key. Without this limit it uses the configuration that it
    /// has.
    #[serde(default)]
    pub revocation_milliseconds: Option<f64>,
}

impl KeySettings {
    /// The time after which a revoked key must be rejected; `None` when there is no limit.
    pub fn revocation(&self) -> Option<Duration> {
        self.revocation_milliseconds.map(|milliseconds| Duration::from_secs_f64(milliseconds / 1e3))
    }
}

/// How tenants' limits are enforced. There are no keys yet: the presence of the table switches enforcement on.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantLimitSettings {}

/// After this time without an answer, a request for units is repeated where nodes are in several regions: twice the
/// longest round trip between regions (60 ms) plus 60 ms.
const QUOTA_REPEAT_BETWEEN_REGIONS: Duration = Duration::from_millis(180);

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
    /// stages: {0}
    Stages(StagePolicyConfigError),
    /// fleet: {0}
    Fleet(FleetPolicyConfigError),
    /// usage: {0}
    Usage(UsageConfigError),
}

const STOP_GRACE_SECONDS: std::ops::RangeInclusive<f64> = 1.0..=3_600.0;
const REVOCATION_MILLISECONDS: std::ops::RangeInclusive<f64> = 1.0..=86_400_000.0;
const WINDOW_SECONDS: std::ops::RangeInclusive<f64> = 1.0..=600.0;

impl RelaySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    /// When it can't be read, is malformed or contains values out of range.
    pub fn load(path: &Path) -> Result<Self, RelaySettingsError> {
        read_toml::<RelaySettings>(path)?.checked()
    }

    /// Reads and checks the settings file at `path`, with the TOML tables in `added` appended to its text. A
    /// previous release refuses a file with keys that it doesn't know, so tables that are new in a release are passed
    /// separately.
    ///
    /// # Errors
    /// As [`RelaySettings::load`].
    pub fn load_with(path: &Path, added: &str) -> Result<Self, RelaySettingsError> {
        let text = read_toml_text(path)?;
        RelaySettings::parse(path, &format!("{text}\n{added}"))
    }

    /// Parses and checks settings; `path` only names the source in errors.
    ///
    /// # Errors
    /// As [`RelaySettings::load`], except for I/O errors.
    pub fn parse(path: &Path, text: &str) -> Result<Self, RelaySettingsError> {
        parse_toml::<RelaySettings>(path, text)?.checked()
    }

    /// Checks the values.
    ///
    /// # Errors
    /// When a value is out of range.
    pub fn checked(self) -> Result<Self, RelaySettingsError> {
        let mut check = ValueCheck::new();
        check.in_range("stop_grace_seconds", self.stop_grace_seconds, STOP_GRACE_SECONDS, |seconds| seconds);
        check.in_range("retry_budget.ratio", self.retry_budget.ratio, 0.0..=1.0, |ratio| ratio);
        check.in_range("retry_budget.slack", self.retry_budget.slack, 0.0..=1e6, |slack| slack);
        check
            .in_range("retry_budget.window_seconds", self.retry_budget.window_seconds, WINDOW_SECONDS, |window| window);
        check.in_range(
            "machine.memory_megabytes",
            self.machine.memory_megabytes,
            Machine::MEMORY_MEGABYTES,
            |memory| memory,
        );
        check.in_range("machine.descriptors", self.machine.descriptors, Machine::DESCRIPTORS, |count| count);
        check.reachable("callers_address", self.callers_address);
        check.reachable("readiness_address", self.readiness_address);
        check.reachable("peers_address", self.peers_address);
        check.reachable("notices_address", self.notices_address);
        check.reachable("store_address", self.store_address);
        if let Some(duties_address) = self.duties_address {
            check.reachable("duties_address", duties_address);
        }
        let hand_over = self.duty_lease.hand_over_milliseconds;
        check.in_range(
            "duty_lease.hand_over_milliseconds",
            hand_over,
            DutyLeaseSettings::HAND_OVER_MILLISECONDS,
            |time| time,
        );
        if let Some(revocation) = self.keys.revocation_milliseconds {
            check.in_range("keys.revocation_milliseconds", revocation, REVOCATION_MILLISECONDS, |time| time);
        }
        check.finish().map_err(RelaySettingsError::Values)?;
        self.placement.validate().map_err(RelaySettingsError::Placement)?;
        self.stages.validate().map_err(RelaySettingsError::Stages)?;
        self.fleet.validate().map_err(RelaySettingsError::Fleet)?;
        self.usage.map_or(Ok(()), |usage| usage.validate()).map_err(RelaySettingsError::Usage)?;
        Ok(self)
    }

    /// The regions of the zones, seen from this node's zone.
    pub fn topology(&self) -> Topology {
        Topology::new(self.zone.clone(), self.zone_regions.clone())
    }

    /// The timing of tenants' limits; `None` if they are not enforced.
    pub fn quota_config(&self) -> Option<QuotaConfig> {
        let TenantLimitSettings {} = self.tenant_limits?;
        let config = QuotaConfig::default();
        Some(match self.topology().spans_regions() {
            true => QuotaConfig { repeat_after: QUOTA_REPEAT_BETWEEN_REGIONS, ..config },
            false => config,
        })
    }

    /// Whether the name, the zone, the regions and all listed addresses are equal to those of `other`.
    pub fn has_same_name_and_addresses(&self, other: &RelaySettings) -> bool {
        let identity = |settings: &RelaySettings| {
            let addresses = [
                Some(settings.callers_address),
                Some(settings.readiness_address),
                Some(settings.peers_address),
                Some(settings.notices_address),
                Some(settings.store_address),
                settings.metrics_address,
            ];
            (settings.name.clone(), settings.topology(), addresses)
        };
        identity(self) == identity(other)
    }

    /// The time limit of a planned stop.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_seconds)
    }

    /// The settings of duties for the control thread.
    pub fn duty_settings(&self) -> DutySettings {
        DutySettings { lease: self.duty_lease, stages: self.stages, usage: self.usage, fleet: self.fleet }
    }

    /// The limits of retries to one service.
    pub fn retry_budget(&self) -> SharedRetryBudgetConfig {
        SharedRetryBudgetConfig {
            ratio: self.retry_budget.ratio,
            slack: self.retry_budget.slack,
            window: Duration::from_secs_f64(self.retry_budget.window_seconds),
        }
    }
}
