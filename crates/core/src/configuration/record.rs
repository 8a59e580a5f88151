//! The configuration as kept in the platform's store: a small record that every write replaces by compare-and-set, and
//! an occasional snapshot of the full configuration.
//!
//! A record contains only decided facts that never become false: which changes make a version, and that a version is in
//! force. A stale read of the record is therefore harmless: it only contains fewer facts.

use std::fmt;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::change::Change;
use super::content::{Configuration, ConfigurationVersion};
use crate::store::ObjectKey;

/// The name of the record's object in the store.
pub const CONFIGURATION_KEY: &str = "configuration";

/// The most versions that may wait to come into force; limits the size of the record that readers fetch.
pub const STAGED_MAXIMUM: usize = 32;

/// How many confirmed plans a record keeps, so that a repeated confirmation finds that the first one succeeded.
pub const CONFIRMED_MAXIMUM: usize = 128;

/// Identifies a plan by the hash of its base version and its changes, so that equal plans have the same identifier.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PlanId(pub u64);

impl fmt::Display for PlanId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The changes that turn the previous version into this one.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
pub struct VersionChange {
    /// The version that results from the changes.
    pub version: ConfigurationVersion,
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// The changes relative to the previous version.
    pub changes: Vec<Change>,
}

/// A confirmed plan and the version that it created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedPlan {
    /// The version.
    pub version: ConfigurationVersion,
    /// The plan.
    pub plan: PlanId,
}

/// The full configuration of a version that is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// The version.
    pub version: ConfigurationVersion,
    /// The configuration of this version.
    pub configuration: Configuration,
}

/// The record in the store; without one, the empty version 0 is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// The highest version that may be in force at nodes; no node puts a version in force before it is recorded here.
    pub in_force: ConfigurationVersion,
    /// The lowest version that the snapshot object can contain; version 0 needs no snapshot. The object may already
    /// contain a later version, which `log` also continues, when its writer has not written this record yet.
    pub snapshot: ConfigurationVersion,
    /// The versions after the snapshot, without gaps; those after `in_force` are staged.
    pub log: Vec<VersionChange>,
    /// The plans of the most recent versions, in version order.
    pub confirmed: Vec<ConfirmedPlan>,
}

/// The reason why a plan can't be staged. The record is unchanged.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum StageError {
    /// the base version is no longer the latest, which is {latest}
    Stale {
        /// The latest version.
        latest: ConfigurationVersion,
    },
    /// {maximum} versions are waiting to come into force already
    TooManyPending {
        /// The maximum number of waiting versions.
        maximum: usize,
    },
}

impl ConfigurationRecord {
    /// The latest version, staged or in force.
    pub fn latest(&self) -> ConfigurationVersion {
        self.log.last().map_or(self.snapshot, |change| change.version)
    }

    /// The record with the next version staged.
    ///
    /// # Errors
    /// When `base` is not the latest version, or too many versions are pending.
    pub fn stage(
        &self,
        plan: PlanId,
        base: ConfigurationVersion,
        changes: Vec<Change>,
    ) -> Result<ConfigurationRecord, StageError> {
        let latest = self.latest();
        if base != latest {
            return Err(StageError::Stale { latest });
        }
        if self.log.iter().filter(|change| change.version > self.in_force).count() >= STAGED_MAXIMUM {
            return Err(StageError::TooManyPending { maximum: STAGED_MAXIMUM });
        }
        let version = latest.next();
        let mut staged = self.clone();
        staged.log.push(VersionChange { version, plan, changes });
        staged.confirmed.push(ConfirmedPlan { version, plan });
        let surplus = staged.confirmed.len().saturating_sub(CONFIRMED_MAXIMUM);
        staged.confirmed.drain(..surplus);
        Ok(staged)
    }

    /// The record with `version` in force, clamped between the version in force and the latest version.
    pub fn activate(&self, version: ConfigurationVersion) -> ConfigurationRecord {
        ConfigurationRecord { in_force: version.min(self.latest()).max(self.in_force), ..self.clone() }
    }

    /// The record without the changes contained in a new snapshot of `version`.
    pub fn compact(&self, version: ConfigurationVersion) -> ConfigurationRecord {
        let mut compacted = self.clone();
        compacted.log.retain(|change| change.version > version);
        compacted.snapshot = version;
        compacted
    }

    /// The version that `plan` created, if the record still lists it.
    pub fn version_of(&self, plan: PlanId) -> Option<ConfigurationVersion> {
        self.confirmed.iter().find(|confirmed| confirmed.plan == plan).map(|confirmed| confirmed.version)
    }

    /// Whether the record still lists the plan that created the version after `base`.
    pub fn remembers_successor_of(&self, base: ConfigurationVersion) -> bool {
        self.confirmed.first().is_some_and(|oldest| oldest.version <= base.next())
    }
}

/// The key of the record's object in the store.
pub fn configuration_key() -> ObjectKey {
    ObjectKey(CONFIGURATION_KEY.to_owned())
}

/// The key of the snapshot's object in the store.
pub(super) fn snapshot_key() -> ObjectKey {
    ObjectKey(format!("{CONFIGURATION_KEY}-snapshot"))
}
