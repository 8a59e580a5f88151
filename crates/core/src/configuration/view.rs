//! The nodes that take part in disseminating a configuration, as reported by membership.

use std::collections::{BTreeMap, BTreeSet};

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

use crate::membership::Member;
use crate::world::ZoneName;

/// A live node and its zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LiveMember {
    /// The node's current incarnation.
    pub member: Member,
    /// Its zone.
    pub zone: ZoneName,
}

/// The local view of membership: the live nodes and the zones that are unreachable as a whole.
///
/// A node that is missing here no longer accepts work (it suspends itself). An unreachable zone may continue to serve
/// on its own, so it remains required for a change to come into force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveView {
    members: Vec<LiveMember>,
    unreachable_zones: BTreeSet<ZoneName>,
    zones: BTreeMap<ZoneName, MembersDigest>,
}

/// Identifies a set of members: equal sets have equal digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct MembersDigest(pub u64);

impl LiveView {
    /// Creates a view with the live `members` and the `unreachable_zones`. Members of unreachable zones are omitted,
    /// since it is unknown whether they are still alive.
    pub fn new(mut members: Vec<LiveMember>, unreachable_zones: BTreeSet<ZoneName>) -> Self {
        members.sort();
        members.dedup();
        members.retain(|live| !unreachable_zones.contains(&live.zone));
        let zones: BTreeSet<&ZoneName> = members.iter().map(|live| &live.zone).collect();
        let zones = zones.into_iter().map(|zone| (zone.clone(), digest_of(&members, zone))).collect();
        LiveView { members, unreachable_zones, zones }
    }

    /// The live members, lowest-ranked first.
    pub fn members(&self) -> &[LiveMember] {
        &self.members
    }

    /// The unreachable zones.
    pub fn unreachable_zones(&self) -> &BTreeSet<ZoneName> {
        &self.unreachable_zones
    }

    /// The zones with live members.
    pub fn live_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Whether the zone has live members.
    pub fn is_live(&self, zone: &ZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// The live members of a zone, lowest-ranked first.
    pub fn in_zone<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = Member> + 'a {
        self.members.iter().filter(move |live| &live.zone == zone).map(|live| live.member)
    }

    /// The member that brings staged versions into force: the lowest-ranked live member.
    pub fn coordinator(&self) -> Option<Member> {
        self.members.first().map(|live| live.member)
    }

    /// The member that collects a zone's acknowledgements: the zone's lowest-ranked live member.
    pub fn delegate(&self, zone: &ZoneName) -> Option<Member> {
        self.in_zone(zone).next()
    }

    /// The digest of a zone's live members; `None` when it has none.
    pub fn digest(&self, zone: &ZoneName) -> Option<MembersDigest> {
        self.zones.get(zone).copied()
    }
}

fn digest_of(members: &[LiveMember], zone: &ZoneName) -> MembersDigest {
    let mut hash = Xxh3::new();
    for live in members.iter().filter(|live| &live.zone == zone) {
        hash.update(live.member.to_string().as_bytes());
        hash.update(b"\n");
    }
    MembersDigest(hash.digest())
}
