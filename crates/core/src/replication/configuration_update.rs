//! What nodes tell each other of the configuration: the changes since the asker's, or all of it.

use std::collections::VecDeque;

use speedy::{Readable, Writable};

use super::list_changes::ListChanges;
use crate::routing::{
    CallerLimits, ConfigurationNumber, Route, ServiceDescription, TenantAccess, TrafficConfiguration,
};

/// Steps that a node keeps for others to follow. A node that is further behind is told all.
const STEPS_MAXIMUM: usize = 32;

/// The bytes of all kept steps. Packed, a route takes some 14 bytes (19 KB for 1,400 routes with random names, 57 KB for 4,200):
/// this is a configuration of 7,000 routes, and following more steps costs more than being told all.
const STEPS_MAXIMUM_BYTES: usize = 96 * 1024;

/// Why a node can't follow what it is told.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub enum InvalidUpdate {
    /// the changes are of another configuration than the one in force
    AnotherBase,
    /// the changes lead to another configuration than they were made for
    AnotherResult,
}

/// A configuration, or the way to it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[allow(clippy::large_enum_variant, reason = "there is one at a time")]
pub enum ConfigurationUpdate {
    /// All of it.
    Full(TrafficConfiguration),
    /// What is new in it.
    Changes(ConfigurationChanges),
}

impl ConfigurationUpdate {
    /// The configuration that follows on `base`, the one in force.
    ///
    /// # Errors
    /// When these are changes of another configuration.
    pub fn apply(self, base: Option<&TrafficConfiguration>) -> Result<TrafficConfiguration, InvalidUpdate> {
        match self {
            ConfigurationUpdate::Full(configuration) => Ok(configuration),
            ConfigurationUpdate::Changes(changes) => changes.apply(base.ok_or(InvalidUpdate::AnotherBase)?),
        }
    }
}

/// What is new in a configuration: routes and tenants by item, the small rest whole.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationChanges {
    base: ConfigurationNumber,
    version: ConfigurationNumber,
    routes: ListChanges<Route>,
    services: Vec<ServiceDescription>,
    limits: CallerLimits,
    tenants: Option<ListChanges<TenantAccess>>,
    /// Of the result. Two configurations that another writer gave the same version must not be mixed.
    fingerprint: u64,
}

impl ConfigurationChanges {
    /// What makes `target` of `base`; `None` when the target can't be fingerprinted.
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
            return Err(InvalidUpdate::AnotherBase);
        }
        let base_tenants = base.tenants.as_deref().unwrap_or_default();
        let tenants = self.tenants.map(|tenants| tenants.apply(base_tenants).ok_or(InvalidUpdate::AnotherBase));
        let result = TrafficConfiguration {
            version: self.version,
            routes: self.routes.apply(&base.routes).ok_or(InvalidUpdate::AnotherBase)?,
            services: self.services,
            limits: self.limits,
            tenants: tenants.transpose()?,
        };
        if fingerprint(&result) == Some(self.fingerprint) { Ok(result) } else { Err(InvalidUpdate::AnotherResult) }
    }
}

fn fingerprint(configuration: &TrafficConfiguration) -> Option<u64> {
    let bytes = configuration.write_to_vec().ok()?;
    Some(xxhash_rust::xxh3::xxh3_64(&bytes))
}

/// [`ConfigurationUpdate`] as it is sent: packed once, however many ask for it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PackedUpdate {
    /// The version that it leads to.
    pub version: ConfigurationNumber,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The last steps from one configuration to the next, as this node made them.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    steps: VecDeque<HistoryStep>,
}

#[derive(Clone, Debug)]
struct HistoryStep {
    base: ConfigurationNumber,
    news: PackedUpdate,
}

impl ConfigurationHistory {
    /// Keeps the step from `base` to where `news` leads.
    pub fn push(&mut self, base: ConfigurationNumber, news: PackedUpdate) {
        if self.steps.back().is_some_and(|last| last.news.version != base) {
            self.steps.clear();
        }
        self.steps.push_back(HistoryStep { base, news });
        while self.steps.len() > STEPS_MAXIMUM || self.bytes() > STEPS_MAXIMUM_BYTES {
            self.steps.pop_front();
        }
    }

    /// The steps that lead on from `version`; `None` when they aren't kept.
    pub fn since(&self, version: ConfigurationNumber) -> Option<Vec<PackedUpdate>> {
        let first = self.steps.iter().position(|step| step.base == version)?;
        Some(self.steps.range(first..).map(|step| step.news.clone()).collect())
    }

    fn bytes(&self) -> usize {
        self.steps.iter().map(|step| step.news.bytes.len()).sum()
    }
}
