//! Tracks which member holds which version. A delegate collects acknowledgements for its zone and the coordinator for
//! all zones, so that no node receives a message from each of hundreds of others.
//!
//! A statement about a member or a set of members never becomes false, since versions never decrease within one
//! incarnation of a node. Old, duplicated and reordered statements are therefore merged by taking the maximum.

use std::collections::{BTreeMap, BTreeSet};

use super::content::ConfigurationVersion;
use super::message::{Holding, ZoneHolding};
use super::view::LiveView;
use crate::membership::Member;
use crate::world::ZoneName;

/// Limits the members listed in a statement about a zone, which keeps the message short.
const BEHIND_MAXIMUM: usize = 8;

/// Holdings reported to a delegate by members and to the coordinator by delegates.
#[derive(Default)]
pub(super) struct Acknowledgements {
    members: BTreeMap<Member, Holding>,
    zones: BTreeMap<ZoneName, ZoneHolding>,
}

impl Acknowledgements {
    /// Records what a member holds.
    pub fn record(&mut self, member: Member, holding: Holding) {
        let known = self.members.entry(member).or_default();
        *known = known.maximum(holding);
    }

    /// Records what a zone holds.
    pub fn record_zone(&mut self, statement: ZoneHolding) {
        let Some(known) = self.zones.get_mut(&statement.zone) else {
            self.zones.insert(statement.zone.clone(), statement);
            return;
        };
        let same_members = known.members == statement.members;
        let minimum = if same_members { known.minimum.maximum(statement.minimum) } else { statement.minimum };
        *known = ZoneHolding { minimum, ..statement };
    }

    /// Removes members that are no longer live.
    pub fn retain(&mut self, view: &LiveView) {
        let live: BTreeSet<Member> = view.members().iter().map(|live| live.member).collect();
        self.members.retain(|member, _| live.contains(member));
    }

    /// Builds the statement about a zone from its members' reports; `None` when the zone has no live members.
    pub fn zone_statement(&self, view: &LiveView, zone: &ZoneName) -> Option<ZoneHolding> {
        let members = view.digest(zone)?;
        let holdings = || view.in_zone(zone).map(|member| (member, self.holding_of(member)));
        let minimum = holdings().map(|(_, holding)| holding).reduce(Holding::minimum).unwrap_or_default();
        let highest = holdings().map(|(_, holding)| holding).reduce(Holding::maximum).unwrap_or_default();
        let behind = holdings().filter(|(_, holding)| *holding != highest).map(|(member, _)| member);
        let behind = behind.take(BEHIND_MAXIMUM).collect();
        Some(ZoneHolding { zone: zone.clone(), members, minimum, behind })
    }

    /// What a member has reported to hold.
    pub fn holding_of(&self, member: Member) -> Holding {
        self.members.get(&member).copied().unwrap_or_default()
    }

    /// What all live members of a zone are known to hold. A statement about another set of members does not apply, and
    /// nothing is known about a zone without live members.
    pub fn zone_minimum(&self, view: &LiveView, zone: &ZoneName) -> Holding {
        let members = view.digest(zone);
        let statement = self.zones.get(zone).filter(|statement| Some(statement.members) == members);
        statement.map(|statement| statement.minimum).unwrap_or_default()
    }

    /// What every live member of every zone in `required` holds.
    pub fn minimum(&self, view: &LiveView, required: &BTreeSet<ZoneName>) -> Holding {
        required.iter().map(|zone| self.zone_minimum(view, zone)).reduce(Holding::minimum).unwrap_or_default()
    }

    /// Members that the zone's delegate has reported as behind.
    pub fn behind(&self, zone: &ZoneName) -> &[Member] {
        self.zones.get(zone).map_or(&[], |statement| &statement.behind)
    }

    /// Whether a zone's live members all have `version` in force.
    pub fn zone_has(&self, view: &LiveView, zone: &ZoneName, version: Option<ConfigurationVersion>) -> bool {
        let known = self.zone_minimum(view, zone);
        known.in_force >= version
    }
}
