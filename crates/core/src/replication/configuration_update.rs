//! Configuration updates between nodes: the changes since the requesting node's version, or the full configuration.

use std::collections::VecDeque;

use speedy::{Readable, Writable};

use super::list_changes::ListChanges;
use crate::routing::{
    CallerLimits, ConfigurationNumber, Route, ServiceDescription, TenantAccess, TrafficConfiguration,
};

/// Maximum number of steps that a node keeps for its peers. A peer that is further behind gets the full configuration.
const STEPS_MAXIMUM: usize = 32;

/// Maximum size of all kept steps together. A packed route takes about 14 bytes (19 KB for 1,400 routes with random
/// names, 57 KB for 4,200), so this is the size of a configuration of 7,000 routes. Beyond it, sending the steps costs
/// more than sending the full configuration.
const STEPS_MAXIMUM_BYTES: usize = 96 * 1024;

/// Why a configuration update can't be applied.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub enum InvalidUpdate {
    /// the changes are based on a different configuration than the one in force
    BaseMismatch,
    /// the changes result in a different configuration than the one they were made for
    ResultMismatch,
}

/// A full configuration, or the changes that lead to it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[allow(clippy::large_enum_variant, reason = "there is one at a time")]
pub enum ConfigurationUpdate {
    /// The full configuration.
    Full(TrafficConfiguration),
    /// The changes since another version.
    Changes(ConfigurationChanges),
}

impl ConfigurationUpdate {
    /// Returns the configuration that results from applying the update to `base`, the one in force.
    ///
    /// # Errors
    /// When the update consists of changes to a different configuration.
    pub fn apply(self, base: Option<&TrafficConfiguration>) -> Result<TrafficConfiguration, InvalidUpdate> {
        match self {
            ConfigurationUpdate::Full(configuration) => Ok(configuration),
            ConfigurationUpdate::Changes(changes) => changes.apply(base.ok_or(InvalidUpdate::BaseMismatch)?),
        }
    }
}

/// The changes of a configuration: item by item for routes and tenants, complete for the other, small parts.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationChanges {
    base: ConfigurationNumber,
    version: ConfigurationNumber,
    routes: ListChanges<Route>,
    services: Vec<ServiceDescription>,
    limits: CallerLimits,
    tenants: Option<ListChanges<TenantAccess>>,
    /// Fingerprint of the result. It detects a base that another writer stored under the same version.
    fingerprint: u64,
}

impl ConfigurationChanges {
    /// The changes that turn `base` into `target`; `None` when the target can't be fingerprinted.
    pub fn between(base: &TrafficConfiguration, target: &TrafficConfiguration) -> Option<Self> {
        let base_tenants = base.tenants.as_deref().unwrap_or_default();
        Some(ConfigurationChanges {
            base: base.version,
            version: target.version,
            routes: ListChanges::between(&base.routes, &target.routes),
            services: target.services.clone(),
            limits: target.limits,
            tenants: target.tenants.as_deref().map(|tenants| ListChanges::between(base_tenants, tenants)),
            fingerprint: fingerprint(target)?,
        })
    }

    fn apply(self, base: &TrafficConfiguration) -> Result<TrafficConfiguration, InvalidUpdate> {
        if self.base != base.version {
            return Err(InvalidUpdate::BaseMismatch);
        }
        let base_tenants = base.tenants.as_deref().unwrap_or_default();
        let tenants = self.tenants.map(|tenants| tenants.apply(base_tenants).ok_or(InvalidUpdate::BaseMismatch));
        let result = TrafficConfiguration {
            version: self.version,
            routes: self.routes.apply(&base.routes).ok_or(InvalidUpdate::BaseMismatch)?,
            services: self.services,
            limits: self.limits,
            tenants: tenants.transpose()?,
            tenant_limits: None,
        };
        if fingerprint(&result) == Some(self.fingerprint) { Ok(result) } else { Err(InvalidUpdate::ResultMismatch) }
    }
}

fn fingerprint(configuration: &TrafficConfiguration) -> Option<u64> {
    let bytes = configuration.write_to_vec().ok()?;
    Some(xxhash_rust::xxh3::xxh3_64(&bytes))
}

/// A [`ConfigurationUpdate`] as it is sent: packed once for all peers that request it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PackedUpdate {
    /// The version that results from applying it.
    pub version: ConfigurationNumber,
    /// The serialized [`ConfigurationUpdate`].
    pub bytes: Vec<u8>,
}

/// The latest steps between configurations, in the order in which they came into force at this node.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    steps: VecDeque<HistoryStep>,
}

#[derive(Clone, Debug)]
struct HistoryStep {
    base: ConfigurationNumber,
    update: PackedUpdate,
}

impl ConfigurationHistory {
    /// Appends the step from `base` to the version of `update`. Clears the history when `base` isn't its latest version.
    pub fn push(&mut self, base: ConfigurationNumber, update: PackedUpdate) {
        if self.steps.back().is_some_and(|last| last.update.version != base) {
            self.steps.clear();
        }
        self.steps.push_back(HistoryStep { base, update });
        while self.steps.len() > STEPS_MAXIMUM || self.total_bytes() > STEPS_MAXIMUM_BYTES {
            self.steps.pop_front();
        }
    }

    /// The steps from `version` to the latest version; `None` when they aren't kept.
    pub fn since(&self, version: ConfigurationNumber) -> Option<Vec<PackedUpdate>> {
        let first = self.steps.iter().position(|step| step.base == version)?;
        Some(self.steps.range(first..).map(|step| step.update.clone()).collect())
    }

    fn total_bytes(&self) -> usize {
        self.steps.iter().map(|step| step.update.bytes.len()).sum()
    }
}
