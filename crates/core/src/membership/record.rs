//! A node's record of one member, and how two such records are merged.

use std::fmt;

use speedy::{Readable, Writable};

use super::member::Member;
use crate::world::ZoneName;

/// Whether a member responds to probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum Liveness {
    /// It responds, as far as is known.
    #[default]
    Alive,
    /// It did not answer a probe, and may still refute the suspicion until it expires.
    Suspect,
    /// Its zone has declared it dead. Final for this incarnation.
    Dead,
}

/// The state of a member as others should treat it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It accepts work.
    Alive,
    /// It accepts work, but did not answer a probe.
    Suspect,
    /// It finishes its current work and accepts none.
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

/// What a node knows of one member.
///
/// Records of one address form a join-semilattice under [`MemberRecord::merge`]: nodes that have seen the same records
/// in any order, any number of times, agree.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MemberRecord {
    /// The member: its address and incarnation.
    pub member: Member,
    /// The zone of its machine.
    pub zone: ZoneName,
    /// Counts the changes that the member has made to its own record in this incarnation; a higher revision refutes a
    /// suspicion of a lower one.
    pub revision: u32,
    /// Whether it responds to probes.
    pub liveness: Liveness,
    /// Whether it has announced, or the platform has hinted, that it is about to stop. Never reset within one
    /// incarnation.
    pub leaving: bool,
    /// The member's report on other zones; `None` unless it is a delegate of its zone.
    pub zone_report: Option<ZoneReport>,
}

/// A delegate's report on other zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ZoneReport {
    /// The zones that it can't reach, ordered by name.
    #[speedy(length_type = u8)]
    pub unreachable: Vec<ZoneName>,
}

impl MemberRecord {
    /// The record of a member that has just joined.
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
        self.merge_same_incarnation(other);
        before != (self.revision, self.liveness, self.leaving)
    }

    /// Whether both records are equivalent for other zones, which don't track suspicions or refutations.
    pub(super) fn is_equal_to_other_zones(&self, other: &MemberRecord) -> bool {
        let final_states = |record: &MemberRecord| (record.leaving, record.liveness == Liveness::Dead);
        self.member == other.member
            && final_states(self) == final_states(other)
            && self.zone_report == other.zone_report
    }

    fn merge_same_incarnation(&mut self, other: &MemberRecord) {
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
