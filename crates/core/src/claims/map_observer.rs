//! What the proposer of slot maps concludes from the members and from what holders say, over time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::map_keeper_config::SlotMapKeeperConfig;
use super::message::SlotStatus;
use super::slot_map::{HolderSet, MapVersion, Slot, SlotIndex, SlotMap};
use super::slot_plan::{CandidateHolder, SlotObservation};
use crate::time::Timestamp;
use crate::world::Address;

/// The nodes of the deployment, as one node sees them.
#[derive(Clone, Debug, Default)]
pub struct ObservedNodes {
    /// Nodes that are alive and not leaving, this one included.
    pub live: Vec<CandidateHolder>,
    /// Machines that the platform lists; `None` while its list is not known, and no map is proposed then. Only listed
    /// machines become holders, so one that is missing from the list later is gone.
    pub listed: Option<BTreeSet<Address>>,
}

/// Remembers since when a holder has been missing or silent.
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

    /// Takes in the present members.
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

    /// Takes in what a holder says of its slots.
    pub fn note_status(&mut self, from: Address, statuses: Vec<SlotStatus>, now: Timestamp) {
        for status in &statuses {
            let place = (from, status.slot);
            if status.votes {
                self.abstains_since.remove(&place);
            } else {
                self.abstains_since.entry(place).or_insert(now);
            }
        }
        self.votes.insert(from, statuses.into_iter().map(|status| (status.slot, status)).collect());
    }

    /// Live nodes that may become holders; none while the platform's list is not known.
    pub fn candidates(&self) -> Option<Vec<CandidateHolder>> {
        let listed = self.nodes.listed.as_ref()?;
        let live = self.nodes.live.iter().filter(|node| listed.contains(&node.member.address));
        Some(live.cloned().collect())
    }

    /// What a map should be planned by.
    pub fn observation(&self, map: &SlotMap, config: &SlotMapKeeperConfig, now: Timestamp) -> Option<SlotObservation> {
        let is_over = |since: &Timestamp| now.since(*since) >= config.patience;
        let dead = self.missing_for(config.patience, now).collect();
        let listed = self.nodes.listed.as_ref()?;
        let gone = self.missing_for(config.gone_after, now).filter(|address| !listed.contains(address)).collect();
        let is_settled = |(index, slot): &(SlotIndex, &Slot)| {
            slot.current.has_majority(|holder| self.votes(holder.member.address, *index, slot.current.version))
        };
        let (settled, unsettled): (Vec<_>, Vec<_>) = map.iter().partition(is_settled);
        let abstainers = |(index, slot): (SlotIndex, &Slot)| {
            let abstains = |address: &Address| self.abstains_since.get(&(*address, index)).is_some_and(is_over);
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

    fn missing_for(&self, time: Duration, now: Timestamp) -> impl Iterator<Item = Address> {
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
