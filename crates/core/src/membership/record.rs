//! What a node knows of one member, and how two such records are merged.

use std::fmt;

use speedy::{Readable, Writable};

use super::member::Member;
use crate::world::ZoneName;

/// Whether a member answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum Liveness {
    /// It answers, as far as is known.
    #[default]
    Alive,
    /// It did not answer a probe and has some time left to refute that.
    Suspect,
    /// Its zone has declared it dead. Final for this incarnation.
    Dead,
}

/// The state of a member as others should treat it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It takes work.
    Alive,
    /// It takes work, but did not answer a probe.
    Suspect,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// Its zone has declared it dead; it owns nothing.
    Dead,
}

impl MemberState {
    /// Whether a member in this state may own pools: it is neither leaving nor dead.
    pub fn may_own(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        })
    }
}

/// What is known of one member.
///
/// Records of one address form a join-semilattice under [`MemberRecord::merge`]: nodes that have seen the same records
/// in any order, any number of times, agree.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MemberRecord {
    /// Which life of which process.
    pub member: Member,
    /// The zone of its machine.
    pub zone: ZoneName,
    /// Counts what the member has said of itself in this life; a higher revision refutes a suspicion of a lower one.
    pub revision: u32,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Whether it has said, or the platform has hinted, that it is about to stop. Never taken back in one life.
    pub leaving: bool,
    /// What the member says of other zones; none unless it is a delegate of its zone.
    pub zone_report: Option<ZoneReport>,
}

/// What a delegate says of other zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ZoneReport {
    /// The zones that it can't reach, in the order of their names.
    #[speedy(length_type = u8)]
    pub unreachable: Vec<ZoneName>,
}

impl MemberRecord {
    /// A member that has just joined.
    pub fn alive(member: Member, zone: ZoneName) -> Self {
        MemberRecord { member, zone, revision: 0, liveness: Liveness::Alive, leaving: false, zone_report: None }
    }

    /// The state as others should treat it: dead outranks leaving, leaving outranks suspect and alive.
    pub fn state(&self) -> MemberState {
        match (self.liveness, self.leaving) {
            (Liveness::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (Liveness::Suspect, false) => MemberState::Suspect,
            (Liveness::Alive, false) => MemberState::Alive,
        }
    }

    /// Merges another record of the same address into this one; returns whether this one has changed.
    ///
    /// A higher incarnation replaces a lower one. Within one incarnation, leaving and death are final, and otherwise
    /// the higher revision wins; at equal revisions a suspicion wins.
    pub fn merge(&mut self, other: &MemberRecord) -> bool {
        debug_assert_eq!(self.member.address, other.member.address, "records of two addresses can't be merged");
        if other.member.incarnation < self.member.incarnation {
            return false;
        }
        if other.member.incarnation > self.member.incarnation {
            self.clone_from(other);
            return true;
        }
        let before = (self.revision, self.liveness, self.leaving);
        self.merge_same_life(other);
        before != (self.revision, self.liveness, self.leaving)
    }

    /// Whether both records are the same in the eyes of other zones, which neither suspect nor refute.
    pub(super) fn is_equal_to_other_zones(&self, other: &MemberRecord) -> bool {
        let ends = |record: &MemberRecord| (record.leaving, record.liveness == Liveness::Dead);
        self.member == other.member && ends(self) == ends(other) && self.zone_report == other.zone_report
    }

    fn merge_same_life(&mut self, other: &MemberRecord) {
        self.leaving |= other.leaving;
        let dead = self.liveness.max(other.liveness) == Liveness::Dead;
        if other.revision > self.revision {
            self.revision = other.revision;
            self.liveness = other.liveness;
            self.zone_report.clone_from(&other.zone_report);
        } else if other.revision == self.revision {
            self.liveness = self.liveness.max(other.liveness);
        }
        if dead {
            self.liveness = Liveness::Dead;
        }
    }
}
