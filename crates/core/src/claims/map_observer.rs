//! Tracks members and holder statuses over time, and derives what the proposer plans slot maps from.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::map_keeper_config::SlotMapKeeperConfig;
use super::message::SlotStatus;
use super::slot_map::{HolderSet, MapVersion, Slot, SlotIndex, SlotMap};
use super::slot_plan::{CandidateHolder, SlotObservation};
use crate::time::Timestamp;
use crate::world::Address;

/// The nodes of the deployment in one node's view.
#[derive(Clone, Debug, Default)]
pub struct ObservedNodes {
    /// Nodes that are alive and not leaving, this one included.
    pub live: Vec<CandidateHolder>,
    /// Machines that the platform lists; `None` while its list is unknown, and then no map is proposed. Only listed
    /// machines become holders, so a holder that is missing from the list later is gone.
    pub listed: Option<BTreeSet<Address>>,
}

/// Records since when each holder has been missing or has not voted.
#[derive(Debug, Default)]
pub(super) struct MapObserver {
    nodes: ObservedNodes,
    missing_since: BTreeMap<Address, Timestamp>,
    votes: BTreeMap<Address, BTreeMap<SlotIndex, SlotStatus>>,
    abstains_since: BTreeMap<(Address, SlotIndex), Timestamp>,
}

impl MapObserver {
    pub fn nodes(&self) -> &ObservedNodes {
        &self.nodes
    }

    /// Updates the current members.
    pub fn observe(&mut self, nodes: ObservedNodes, map: &SlotMap, now: Timestamp) {
        let live: BTreeSet<Address> = nodes.live.iter().map(|node| node.member.address).collect();
        let holders: BTreeSet<Address> = map.slots.iter().flat_map(all_holders).collect();
        self.missing_since.retain(|address, _| holders.contains(address) && !live.contains(address));
        for address in holders.difference(&live) {
            self.missing_since.entry(*address).or_insert(now);
        }
        self.votes.retain(|address, _| live.contains(address));
        self.abstains_since.retain(|(address, _), _| live.contains(address));
        self.nodes = nodes;
    }

    /// Records a holder's status.
    pub fn record_status(&mut self, from: Address, statuses: Vec<SlotStatus>, now: Timestamp) {
        for status in &statuses {
            let entry = (from, status.slot);
            if status.votes {
                self.abstains_since.remove(&entry);
            } else {
                self.abstains_since.entry(entry).or_insert(now);
            }
        }
        self.votes.insert(from, statuses.into_iter().map(|status| (status.slot, status)).collect());
    }

    /// Live nodes that may become holders; `None` while the platform's list is unknown.
    pub fn candidates(&self) -> Option<Vec<CandidateHolder>> {
        let listed = self.nodes.listed.as_ref()?;
        let live = self.nodes.live.iter().filter(|node| listed.contains(&node.member.address));
        Some(live.cloned().collect())
    }

    /// The observation to plan the next map from.
    pub fn observation(&self, map: &SlotMap, config: &SlotMapKeeperConfig, now: Timestamp) -> Option<SlotObservation> {
        let is_overdue = |since: &Timestamp| now.since(*since) >= config.replacement_delay;
        let dead = self.missing_at_least(config.replacement_delay, now).collect();
        let listed = self.nodes.listed.as_ref()?;
        let gone = self.missing_at_least(config.gone_after, now).filter(|address| !listed.contains(address)).collect();
        let is_settled = |(index, slot): &(SlotIndex, &Slot)| {
            slot.current.has_majority(|holder| self.votes(holder.member.address, *index, slot.current.version))
        };
        let (settled, unsettled): (Vec<_>, Vec<_>) = map.iter().partition(is_settled);
        let abstainers = |(index, slot): (SlotIndex, &Slot)| {
            let abstains = |address: &Address| self.abstains_since.get(&(*address, index)).is_some_and(is_overdue);
            (index, slot.current.addresses().filter(abstains).collect())
        };
        Some(SlotObservation {
            live: self.candidates()?,
            dead,
            gone,
            settled: settled.into_iter().map(|(index, _)| index).collect(),
            stalled: unsettled.into_iter().map(abstainers).collect(),
        })
    }

    fn missing_at_least(&self, time: Duration, now: Timestamp) -> impl Iterator<Item = Address> {
        let missing = self.missing_since.iter().filter(move |(_, since)| now.since(**since) >= time);
        missing.map(|(address, _)| *address)
    }

    fn votes(&self, address: Address, slot: SlotIndex, version: MapVersion) -> bool {
        let status = self.votes.get(&address).and_then(|statuses| statuses.get(&slot));
        status.is_some_and(|status| status.votes && status.version == version)
    }
}

fn all_holders(slot: &Slot) -> impl Iterator<Item = Address> {
    slot.history.iter().chain([&slot.current]).flat_map(HolderSet::addresses)
}
