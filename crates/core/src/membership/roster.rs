//! What the failure detector derives from a view: its ring, the delegates of each zone, and digests.

use std::collections::{BTreeMap, BTreeSet};

use speedy::Writable;
use xxhash_rust::xxh3::xxh3_64;

use super::member::Member;
use super::message::{Digest, ZoneDigest};
use super::record::{Liveness, MemberRecord, MemberState};
use super::rendezvous::weight;
use super::view::View;
use crate::world::{Address, ZoneName};

/// Number of members that represent a zone to other zones.
const DELEGATES_PER_ZONE: usize = 2;

/// Hash seed of the ring order, which must not follow the addresses: machines that fail together often have adjacent
/// ones.
const RING_SEED: u64 = 0x72_69_6e_67;

/// State that the failure detector derives from a view.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    /// The other live members of the own zone in ring order, this node's successor first.
    pub(super) ring: Vec<Member>,
    /// Other zones that have live members.
    pub(super) other_zones: Vec<ZoneName>,
    /// The live members of each zone, delegates first.
    pub(super) by_zone: BTreeMap<ZoneName, Vec<Member>>,
    /// Whether this node is a delegate of its zone.
    pub(super) is_delegate: bool,
    /// Whether there is another member, alive and not leaving, that could take over from this node.
    pub(super) has_live_peer: bool,
    /// The digest of each zone.
    pub(super) zone_digests: Vec<ZoneDigest>,
    /// The digest of all zones.
    pub(super) digest: Digest,
    /// Zones that all reporting delegates of the own zone report as unreachable.
    pub(super) unreachable: BTreeSet<ZoneName>,
}

impl Roster {
    /// Derives everything from the view, as seen by `me` in `zone`.
    pub(super) fn new(view: &View, me: Address, zone: &ZoneName) -> Self {
        let by_zone = live_by_zone(view);
        let own: &[Member] = by_zone.get(zone).map_or(&[], Vec::as_slice);
        let delegates = &own[..own.len().min(DELEGATES_PER_ZONE)];
        let zone_digests = zone_digests(view);
        Roster {
            ring: ring_after(own, me),
            other_zones: by_zone.keys().filter(|other| *other != zone).cloned().collect(),
            is_delegate: delegates.iter().any(|delegate| delegate.address == me),
            has_live_peer: view.records().any(|record| record.member.address != me && record.state().may_own()),
            digest: digest_of(&zone_digests),
            zone_digests,
            unreachable: reported_by_all(view, delegates),
            by_zone,
        }
    }

    /// The delegates of a zone.
    pub(super) fn delegates(&self, zone: &ZoneName) -> &[Member] {
        let members = self.members(zone);
        &members[..members.len().min(DELEGATES_PER_ZONE)]
    }

    /// The live members of a zone.
    pub(super) fn members(&self, zone: &ZoneName) -> &[Member] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// The digest of one zone.
    pub(super) fn zone_digest(&self, zone: &ZoneName) -> Option<Digest> {
        self.zone_digests.iter().find(|known| known.zone == *zone).map(|known| known.digest)
    }
}

/// Live members by zone: those eligible as delegates first, each group ordered by address.
fn live_by_zone(view: &View) -> BTreeMap<ZoneName, Vec<Member>> {
    let mut records: Vec<&MemberRecord> = view.records().filter(|record| record.liveness != Liveness::Dead).collect();
    records.sort_by_key(|record| (record.state() != MemberState::Alive, record.member));
    let mut by_zone: BTreeMap<ZoneName, Vec<Member>> = BTreeMap::new();
    for record in records {
        by_zone.entry(record.zone.clone()).or_default().push(record.member);
    }
    by_zone
}

fn ring_after(members: &[Member], me: Address) -> Vec<Member> {
    let own_position = (weight(RING_SEED, me), me);
    let mut ring: Vec<(bool, u64, Member)> = members
        .iter()
        .filter(|member| member.address != me)
        .map(|member| {
            let position = weight(RING_SEED, member.address);
            ((position, member.address) < own_position, position, *member)
        })
        .collect();
    ring.sort();
    ring.into_iter().map(|(_, _, member)| member).collect()
}

/// The zones that all delegates with a report list as unreachable. While no delegate has reported, as when all have
/// just changed, the previous result is kept.
fn reported_by_all(view: &View, delegates: &[Member]) -> BTreeSet<ZoneName> {
    let records = delegates.iter().filter_map(|delegate| view.record(delegate.address));
    let mut reports = records
        .filter_map(|record| record.zone_report.as_ref())
        .map(|report| report.unreachable.iter().cloned().collect::<BTreeSet<ZoneName>>());
    let Some(first) = reports.next() else { return view.unreachable_zones().clone() };
    reports.fold(first, |all, report| all.intersection(&report).cloned().collect())
}

/// Computes the digest of each zone. Digests leave out revisions and suspicions, which are resolved inside a zone and
/// don't concern other zones.
fn zone_digests(view: &View) -> Vec<ZoneDigest> {
    let mut digests: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    for record in view.records().filter(|record| record.liveness != Liveness::Dead) {
        *digests.entry(&record.zone).or_default() ^= record_hash(record);
    }
    digests.into_iter().map(|(zone, digest)| ZoneDigest { zone: zone.clone(), digest: Digest(digest) }).collect()
}

fn record_hash(record: &MemberRecord) -> u64 {
    hash(&(record.member, record.leaving, record.zone_report.clone()))
}

fn digest_of(zones: &[ZoneDigest]) -> Digest {
    Digest(zones.iter().fold(0, |all, zone| all ^ hash(zone)))
}

/// Encoding into memory can't fail.
fn hash(content: &impl Writable<speedy::LittleEndian>) -> u64 {
    content.write_to_vec().map_or(0, |bytes| xxh3_64(&bytes))
}
