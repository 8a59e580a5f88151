//! Status for operators of the versions that are not in force everywhere yet.

use serde::Serialize;

use super::content::ConfigurationVersion;
use super::record::PlanId;
use super::replica::ConfigurationReplica;
use crate::membership::Member;
use crate::world::ZoneName;

/// The state of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Confirmed and recorded, but not yet held by every required node. It will come into force and can't be withdrawn.
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
    /// The plan that created it.
    pub plan: PlanId,
    /// Its state.
    pub state: VersionState,
}

/// The status of the configuration in the local view of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigurationStatus {
    /// The version that this node serves with.
    pub in_force: Option<ConfigurationVersion>,
    /// The highest version known to be in force at every live node.
    pub accepted: Option<ConfigurationVersion>,
    /// Versions that are not accepted yet, lowest first.
    pub pending: Vec<PendingVersion>,
    /// Required zones without live members; they delay all pending versions.
    pub missing_zones: Vec<ZoneName>,
    /// A few live members of each zone that are known to lack a pending version. The coordinator knows them first, and
    /// the node at which the version was confirmed learns them from it.
    pub missing_members: Vec<Member>,
    /// The node that brings versions into force.
    pub coordinator: Option<Member>,
    /// Whether this node has verified that it has missed no accepted version.
    pub ready: bool,
}

impl ConfigurationReplica {
    /// The status that this node reports to operators.
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

    /// The state of `version` in this node's local view.
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
