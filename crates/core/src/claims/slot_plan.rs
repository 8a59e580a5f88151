//! Plans the first slot map and its successors. The result is proposed to the store by compare-and-set.

use std::collections::{BTreeMap, BTreeSet};

use super::slot_map::{HOLDERS, HolderSet, MapVersion, SLOTS, Slot, SlotHolder, SlotIndex, SlotMap};
use crate::membership::{Member, rank_by_address};
use crate::world::{Address, ZoneName};

/// The maximum number of earlier holder sets of a slot; at this number the slot is not changed until it has settled. A
/// slot's history grows only when a holder fails before the takeover for the previous failure is finished, so real
/// failures don't reach the bound; it stops a proposer that changes the map repeatedly from growing it without limit.
const HISTORY_MAXIMUM: usize = 32;

/// A node that may hold slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateHolder {
    /// The node in its current incarnation.
    pub member: Member,
    /// The node's zone.
    pub zone: ZoneName,
}

/// The observed state that a new map is planned from. Wrong or outdated observations reduce availability, never safety,
/// with one exception: a machine may be in `gone` only when the platform no longer lists it.
#[derive(Clone, Debug, Default)]
pub struct SlotObservation {
    /// Nodes that are alive and not leaving.
    pub live: Vec<CandidateHolder>,
    /// Addresses whose node has been missing for at least the replacement delay.
    pub dead: BTreeSet<Address>,
    /// Addresses whose machine no longer exists.
    pub gone: BTreeSet<Address>,
    /// Slots in which a majority of the current holders has reported that it votes in the current version.
    pub settled: BTreeSet<SlotIndex>,
    /// Holders that have been alive for at least the replacement delay without a vote in a slot, because too few others
    /// have its claims.
    pub stalled: BTreeMap<SlotIndex, BTreeSet<Address>>,
}

impl SlotMap {
    /// The first map of a deployment. Its holders vote immediately, since there are no earlier claims.
    pub fn initial(nodes: &[CandidateHolder]) -> SlotMap {
        let version = MapVersion(1);
        let slots = (0..SLOTS).map(|index| {
            let mut holders = Vec::new();
            add_holders(SlotIndex(index), version, nodes, &mut holders);
            Slot { current: HolderSet { version, holders }, history: Vec::new(), gone: Vec::new(), changed: version }
        });
        SlotMap { version, slots: slots.collect() }
    }

    /// The next map, or `None` when no change is needed.
    pub fn replan(&self, observation: &SlotObservation) -> Option<SlotMap> {
        let version = MapVersion(self.version.0 + 1);
        let slots: Vec<Slot> =
            self.iter().map(|(index, slot)| replan_slot(index, slot, version, observation)).collect();
        (slots != self.slots).then_some(SlotMap { version, slots })
    }
}

fn replan_slot(index: SlotIndex, slot: &Slot, version: MapVersion, observation: &SlotObservation) -> Slot {
    let gone = gone_machines(slot, observation);
    let history = if observation.settled.contains(&index) { &[][..] } else { &slot.history[..] };
    let holders = next_holders(index, slot, version, observation);
    if holders == slot.current.holders || history.len() >= HISTORY_MAXIMUM {
        let changed = if gone == slot.gone { slot.changed } else { version };
        return Slot { gone, changed, ..slot.clone() };
    }
    let history = history.iter().chain([&slot.current]).cloned().collect();
    Slot { current: HolderSet { version, holders }, history, gone, changed: version }
}

fn gone_machines(slot: &Slot, observation: &SlotObservation) -> Vec<Address> {
    let sets = slot.history.iter().chain([&slot.current]);
    let mut gone: Vec<Address> = sets.flat_map(HolderSet::addresses).collect();
    gone.retain(|address| observation.gone.contains(address) || slot.gone.contains(address));
    gone.sort();
    gone.dedup();
    gone
}

fn next_holders(index: SlotIndex, slot: &Slot, version: MapVersion, observation: &SlotObservation) -> Vec<SlotHolder> {
    let none = BTreeSet::new();
    let stalled = observation.stalled.get(&index).unwrap_or(&none);
    let is_retained = |holder: &&SlotHolder| {
        let address = holder.member.address;
        let is_unavailable = observation.dead.contains(&address) || observation.gone.contains(&address);
        // A holder that is in the map with its current incarnation is already waiting: adding it again would restart
        // its takeover.
        let is_current_incarnation = observation.live.iter().any(|node| node.member == holder.member);
        !is_unavailable && (is_current_incarnation || !stalled.contains(&address))
    };
    let mut holders: Vec<SlotHolder> = slot.current.holders.iter().filter(is_retained).cloned().collect();
    add_holders(index, version, &observation.live, &mut holders);
    retain_unreplaced_holders(&slot.current.holders, &mut holders);
    holders
}

/// A slot never has fewer holders than before: a smaller set needs a smaller majority.
fn retain_unreplaced_holders(old: &[SlotHolder], holders: &mut Vec<SlotHolder>) {
    for holder in old {
        let is_kept = holders.iter().any(|kept| kept.member.address == holder.member.address);
        if holders.len() < old.len() && !is_kept {
            holders.push(holder.clone());
        }
    }
}

fn add_holders(index: SlotIndex, version: MapVersion, nodes: &[CandidateHolder], holders: &mut Vec<SlotHolder>) {
    let ranked = rank_by_address(&index.0.to_be_bytes(), nodes, |node| node.member.address);
    for needs_new_zone in [true, false] {
        for node in &ranked {
            let is_compatible = |holder: &SlotHolder| {
                let shares_zone = needs_new_zone && holder.zone == node.zone;
                !shares_zone && holder.member.address != node.member.address
            };
            if holders.len() < HOLDERS && holders.iter().all(is_compatible) {
                holders.push(SlotHolder { member: node.member, zone: node.zone.clone(), since: version });
            }
        }
    }
}
