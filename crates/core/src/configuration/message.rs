//! Messages between the replicas of two nodes. Every message states facts that never become false, so that loss,
//! duplication and reordering only cause delay.

use speedy::{Readable, Writable};

use super::content::{Configuration, ConfigurationVersion};
use super::record::VersionChange;
use super::view::MembersDigest;
use crate::membership::Member;
use crate::world::ZoneName;

/// A node's progress; `None` means that the node has no such version yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Watermarks {
    /// The latest version whose changes the node holds.
    pub held: Option<ConfigurationVersion>,
    /// The highest version that the node knows to be recorded as in force.
    pub in_force: Option<ConfigurationVersion>,
    /// The highest version that the node knows to be accepted: in force at every live node.
    pub accepted: Option<ConfigurationVersion>,
}

impl Watermarks {
    /// Whether `self` lacks something that `other` has.
    pub fn is_behind(&self, other: &Watermarks) -> bool {
        self.held < other.held || self.in_force < other.in_force || self.accepted < other.accepted
    }
}

/// Matches an answer to its probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ProbeId(pub u32);

/// What a node holds, as reported to the delegate of its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Holding {
    /// The latest version whose changes the node holds.
    pub held: Option<ConfigurationVersion>,
    /// The version that the node has in force.
    pub in_force: Option<ConfigurationVersion>,
}

impl Holding {
    /// What both nodes have at least, when `other` belongs to another node.
    pub fn minimum(self, other: Holding) -> Holding {
        Holding { held: self.held.min(other.held), in_force: self.in_force.min(other.in_force) }
    }

    /// What a node has after it has reported both; a node never loses a version.
    pub fn maximum(self, other: Holding) -> Holding {
        Holding { held: self.held.max(other.held), in_force: self.in_force.max(other.in_force) }
    }
}

/// What all live members of a zone hold, as reported to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ZoneHolding {
    /// The zone.
    pub zone: ZoneName,
    /// The set of members that the statement covers.
    pub members: MembersDigest,
    /// What each of these members holds at least.
    pub minimum: Holding,
    /// A few of the members that are behind the most advanced member of the zone.
    pub behind: Vec<Member>,
}

/// A message from one node's replica to another's.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ConfigurationMessage {
    /// The sender's progress. The node that is ahead sends the other what it lacks.
    Digest {
        /// The sender's progress.
        watermarks: Watermarks,
        /// Asks for a [`ConfigurationMessage::Answer`].
        probe: Option<ProbeId>,
    },
    /// The answer to a probe.
    Answer {
        /// The sender's progress.
        watermarks: Watermarks,
        /// The probe that this answers.
        probe: ProbeId,
        /// Whether the sender confirms that no higher version was accepted; see `ConfigurationReplica::is_ready`.
        ready: bool,
    },
    /// Consecutive changes that the receiver may lack, and the sender's progress.
    Update {
        /// The sender's progress.
        watermarks: Watermarks,
        /// The changes.
        changes: Vec<VersionChange>,
    },
    /// A full configuration, for a receiver that has none or that lacks changes which the sender no longer keeps.
    Snapshot {
        /// The sender's progress.
        watermarks: Watermarks,
        /// The version of the configuration.
        version: ConfigurationVersion,
        /// The configuration.
        configuration: Box<Configuration>,
        /// The changes after it.
        changes: Vec<VersionChange>,
    },
    /// What the sender holds, to its zone's delegate.
    Holding(Holding),
    /// What a zone holds, from its delegate to the coordinator.
    ZoneHolding(ZoneHolding),
    /// Asks the coordinator which members delay the pending versions.
    RequestMissing,
    /// The coordinator's answer: a few live members of each zone that lack a pending version.
    Missing(Vec<Member>),
}
