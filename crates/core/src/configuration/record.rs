//! The configuration as the platform's store keeps it: a small record that every write replaces by compare-and-set, and
//! now and then a snapshot of the whole.
//!
//! Everything in a record is a decided fact that never becomes untrue: which changes make a version, and that a version
//! is in force. A record read from the past is therefore harmless: it only tells less.

use std::fmt;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::change::Change;
use super::content::{Configuration, ConfigurationVersion};
use crate::store::ObjectKey;

/// The name of the record's object in the store.
pub const CONFIGURATION_KEY: &str = "configuration";

/// The most versions that may wait to come into force; a longer list would make the record large for its readers.
pub const STAGED_MAXIMUM: usize = 32;

/// How many confirmed plans a record remembers, so that a repeated confirmation finds its own success.
pub const CONFIRMED_MAXIMUM: usize = 128;

/// Identifies a plan: the hash of its base version and its changes, so that equal plans are one plan.
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

/// The changes that make one version out of the one before it.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
pub struct VersionChange {
    /// The version that the changes make.
    pub version: ConfigurationVersion,
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// The changes against the version before.
    pub changes: Vec<Change>,
}

/// A plan that was confirmed, and the version that it made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedPlan {
    /// The version.
    pub version: ConfigurationVersion,
    /// The plan.
    pub plan: PlanId,
}

/// A whole configuration of a version that is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// The version.
    pub version: ConfigurationVersion,
    /// What the version holds.
    pub configuration: Configuration,
}

/// The record in the store; absent means version 0 in force, which is empty.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// The highest version that may be in force at nodes; no node puts a version in force before it is recorded here.
    pub in_force: ConfigurationVersion,
    /// The version that the snapshot object holds at least; version 0 needs none. The object may already hold a later
    /// one, which `log` continues as well, when its writer has not yet come to write this record.
    pub snapshot: ConfigurationVersion,
    /// The versions after the snapshot, without gaps; those after `in_force` are staged.
    pub log: Vec<VersionChange>,
    /// The plans of the last versions, in their order.
    pub confirmed: Vec<ConfirmedPlan>,
}

/// Why a plan can't be staged; nothing has happened.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum StageError {
    /// the base version is no longer the latest, which is {latest}
    Stale {
        /// The latest version.
        latest: ConfigurationVersion,
    },
    /// {maximum} versions are waiting to come into force already
    TooManyPending {
        /// The most that may wait.
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

    /// The record with `version` in force; never lower than before and never beyond the latest.
    pub fn activate(&self, version: ConfigurationVersion) -> ConfigurationRecord {
        ConfigurationRecord { in_force: version.min(self.latest()).max(self.in_force), ..self.clone() }
    }

    /// The record without the changes that a snapshot of `version`, just written, makes needless.
    pub fn compact(&self, version: ConfigurationVersion) -> ConfigurationRecord {
        let mut compacted = self.clone();
        compacted.log.retain(|change| change.version > version);
        compacted.snapshot = version;
        compacted
    }

    /// The version that `plan` made, as far as the record remembers.
    pub fn version_of(&self, plan: PlanId) -> Option<ConfigurationVersion> {
        self.confirmed.iter().find(|confirmed| confirmed.plan == plan).map(|confirmed| confirmed.version)
    }

    /// Whether the record remembers which plan made the version after `base`.
    pub fn remembers_successor_of(&self, base: ConfigurationVersion) -> bool {
        self.confirmed.first().is_some_and(|oldest| oldest.version <= base.next())
    }
}

/// The record's object in the store.
pub fn configuration_key() -> ObjectKey {
    ObjectKey(CONFIGURATION_KEY.to_owned())
}

/// The snapshot's object in the store.
pub(super) fn snapshot_key() -> ObjectKey {
    ObjectKey(format!("{CONFIGURATION_KEY}-snapshot"))
}
