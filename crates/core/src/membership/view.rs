//! A node's view of all members.

use std::collections::{BTreeMap, BTreeSet};

use super::member::Member;
use super::record::{MemberRecord, MemberState};
use crate::world::{Address, ZoneName};

/// All members of all zones known to a node, and the zones that its own zone can't reach.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    records: BTreeMap<Address, MemberRecord>,
    unreachable: BTreeSet<ZoneName>,
}

impl View {
    /// Creates a view of the given records; records of the same address are merged.
    pub fn new(records: impl IntoIterator<Item = MemberRecord>) -> Self {
        let mut view = View::default();
        for record in records {
            view.merge(&record);
        }
        view
    }

    /// All records, dead members included, ordered by address.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// The records of one zone, dead members included.
    pub fn zone_records<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a MemberRecord> {
        self.records().filter(move |record| record.zone == *zone)
    }

    /// The record of the latest incarnation known at an address.
    pub fn record(&self, address: Address) -> Option<&MemberRecord> {
        self.records.get(&address)
    }

    /// The state of one incarnation; `None` when it is unknown or another incarnation is known at its address.
    pub fn state(&self, member: Member) -> Option<MemberState> {
        let record = self.record(member.address)?;
        (record.member == member).then(|| record.state())
    }

    /// The zones that can't be reached from this node's zone. Their members are not declared dead because of that.
    pub fn unreachable_zones(&self) -> &BTreeSet<ZoneName> {
        &self.unreachable
    }

    /// Whether the zone is reachable, as far as is known.
    pub fn is_reachable(&self, zone: &ZoneName) -> bool {
        !self.unreachable.contains(zone)
    }

    /// Members that may own pools of the given zones: neither dead nor leaving, and in a reachable zone.
    pub fn owner_candidates<'a>(&'a self, zones: &'a [ZoneName]) -> impl Iterator<Item = Member> + 'a {
        self.records()
            .filter(|record| record.state().may_own())
            .filter(|record| zones.contains(&record.zone) && self.is_reachable(&record.zone))
            .map(|record| record.member)
    }

    /// Merges a record; returns whether the view has changed.
    pub fn merge(&mut self, record: &MemberRecord) -> bool {
        match self.records.get_mut(&record.member.address) {
            Some(known) => known.merge(record),
            None => {
                self.records.insert(record.member.address, record.clone());
                true
            }
        }
    }

    /// Replaces the record of an address without merging.
    pub(super) fn replace(&mut self, record: MemberRecord) {
        self.records.insert(record.member.address, record);
    }

    /// Removes the record of an address.
    pub(super) fn remove(&mut self, address: Address) {
        self.records.remove(&address);
    }

    pub(super) fn set_unreachable_zones(&mut self, zones: BTreeSet<ZoneName>) {
        self.unreachable = zones;
    }
}
