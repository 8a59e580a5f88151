//! Messages between the replicas of two nodes. All state facts that never become untrue, so that loss, doubling and
//! reordering cost time and nothing else.

use speedy::{Readable, Writable};

use super::content::{Configuration, ConfigurationVersion};
use super::record::VersionChange;
use super::view::MembersDigest;
use crate::membership::Member;
use crate::world::ZoneName;

/// How far a node is; an absent version means that it has none yet.
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

/// Pairs a probe with its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ProbeId(pub u32);

/// What a node holds, for the delegate of its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Holding {
    /// The latest version whose changes the node holds.
    pub held: Option<ConfigurationVersion>,
    /// The version that the node has in force.
    pub in_force: Option<ConfigurationVersion>,
}

impl Holding {
    /// What both have at least, when `other` is another node's.
    pub fn minimum(self, other: Holding) -> Holding {
        Holding { held: self.held.min(other.held), in_force: self.in_force.min(other.in_force) }
    }

    /// What a node has that has stated both; it never loses anything.
    pub fn maximum(self, other: Holding) -> Holding {
        Holding { held: self.held.max(other.held), in_force: self.in_force.max(other.in_force) }
    }
}

/// What all live members of a zone hold, for the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ZoneHolding {
    /// The zone.
    pub zone: ZoneName,
    /// The set of members that the statement is about.
    pub members: MembersDigest,
    /// What each of them holds at least.
    pub minimum: Holding,
    /// Members that hold less than the delegate, a few of them.
    pub behind: Vec<Member>,
}

/// A message from one node's replica to another's.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ConfigurationMessage {
    /// How far the sender is. Whoever is ahead sends what the other lacks.
    Digest {
        /// How far the sender is.
        watermarks: Watermarks,
        /// Asks for a [`ConfigurationMessage::Answer`].
        probe: Option<ProbeId>,
    },
    /// The answer to a probe.
    Answer {
        /// How far the sender is.
        watermarks: Watermarks,
        /// The probe that is answered.
        probe: ProbeId,
        /// Whether the sender vouches that no higher version was accepted: see `ConfigurationReplica::is_ready`.
        ready: bool,
    },
    /// Changes that the receiver may lack, without gaps, and how far the sender is.
    Update {
        /// How far the sender is.
        watermarks: Watermarks,
        /// The changes.
        changes: Vec<VersionChange>,
    },
    /// A whole configuration, for a receiver that has none or whose gap is too wide for changes.
    Snapshot {
        /// How far the sender is.
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
    /// Asks the coordinator which members hold up the versions that are pending.
    RequestMissing,
    /// The coordinator's answer: live members that lack a pending version, a few of each zone.
    Missing(Vec<Member>),
}
