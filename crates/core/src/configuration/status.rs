//! What an operator is told about the versions that are not in force everywhere yet.

use serde::Serialize;

use super::content::ConfigurationVersion;
use super::record::PlanId;
use super::replica::ConfigurationReplica;
use crate::membership::Member;
use crate::world::ZoneName;

/// How far a version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Confirmed and recorded, but not yet held by every required node; it will come into force and can't be withdrawn.
    Staged,
    /// Recorded as in force; some live nodes may not have applied it yet.
    Activating,
    /// In force at every live node.
    Accepted,
}

/// A version that is not accepted yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PendingVersion {
    /// The version.
    pub version: ConfigurationVersion,
    /// The plan that made it.
    pub plan: PlanId,
    /// How far it is.
    pub state: VersionState,
}

/// The configuration as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationStatus {
    /// The version that this node serves by.
    pub in_force: Option<ConfigurationVersion>,
    /// The highest version known to be in force at every live node.
    pub accepted: Option<ConfigurationVersion>,
    /// Versions that are not accepted yet, lowest first.
    pub pending: Vec<PendingVersion>,
    /// Required zones that can't be reached; they hold up all pending versions.
    pub missing_zones: Vec<ZoneName>,
    /// Live members that are known to lack a pending version, a few of each zone. Known to the coordinator and, a moment
    /// later, to the node at which the version was confirmed.
    pub missing_members: Vec<Member>,
    /// The node that brings versions into force.
    pub coordinator: Option<Member>,
    /// Whether this node has made sure that it has missed no accepted version.
    pub ready: bool,
}

impl ConfigurationReplica {
    /// What this node can tell an operator.
    pub fn status(&self) -> ConfigurationStatus {
        let watermarks = self.watermarks();
        let pending = self.versions.pending().map(|change| PendingVersion {
            version: change.version,
            plan: change.plan,
            state: self.state_of(change.version),
        });
        let pending: Vec<PendingVersion> = pending.collect();
        let missing_members = if pending.is_empty() { Vec::new() } else { self.missing_members() };
        ConfigurationStatus {
            in_force: self.in_force().map(|in_force| in_force.version),
            accepted: watermarks.accepted,
            pending,
            missing_zones: self.missing_zones(),
            missing_members,
            coordinator: self.view.coordinator(),
            ready: self.is_ready(),
        }
    }

    /// How far `version` is, as this node knows.
    pub fn state_of(&self, version: ConfigurationVersion) -> VersionState {
        let watermarks = self.watermarks();
        if Some(version) <= watermarks.accepted {
            VersionState::Accepted
        } else if Some(version) <= watermarks.in_force {
            VersionState::Activating
        } else {
            VersionState::Staged
        }
    }

    fn missing_members(&self) -> Vec<Member> {
        if self.view.coordinator() == Some(self.me) { self.members_behind() } else { self.reported_missing.clone() }
    }
}
