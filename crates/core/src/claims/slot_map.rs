//! The slot map: assigns the claims of keys to nodes.
//!
//! The map is one object in the platform's store. It is changed by compare-and-set only and spreads like configuration,
//! so two nodes never make different maps of one version. The store is not needed to claim keys: nodes continue with
//! the map that they have, and the versions of a slot prevent claims under two maps from both reaching a majority.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_64;

use crate::membership::Member;
use crate::request::IdempotencyKey;
use crate::world::{Address, ZoneName};

/// Number of slots in a map. It must never change, since a key's slot depends on it.
pub const SLOTS: u16 = 256;

/// Number of holders of a slot if there are enough nodes.
pub const HOLDERS: usize = 3;

/// The version of the slot map, which each change increments.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MapVersion(pub u64);

/// Identifies a slot, from 0 to [`SLOTS`] - 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotIndex(pub u16);

impl SlotIndex {
    /// The slot of a key.
    pub fn of(key: &IdempotencyKey) -> SlotIndex {
        let mut bytes = Vec::with_capacity(key.tenant.as_str().len() + key.key.len() + 1);
        bytes.extend_from_slice(key.tenant.as_str().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(key.key.as_bytes());
        let slot = xxh3_64(&bytes) % u64::from(SLOTS);
        SlotIndex(u16::try_from(slot).unwrap_or_default())
    }
}

/// A node that holds the claims of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct SlotHolder {
    /// The node, in the incarnation in which it was added to the map. A later incarnation holds no claims until its
    /// takeover is finished.
    pub member: Member,
    /// The node's zone.
    pub zone: ZoneName,
    /// The map version since which the address has held the slot without interruption.
    pub since: MapVersion,
}

/// The holders of a slot in one version.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct HolderSet {
    /// The map version in which the slot got these holders.
    pub version: MapVersion,
    /// The holders, one to [`HOLDERS`].
    pub holders: Vec<SlotHolder>,
}

impl HolderSet {
    /// The smallest number of holders that is more than half.
    pub fn majority(&self) -> usize {
        self.holders.len() / 2 + 1
    }

    /// The index of `address` among the holders.
    pub fn position(&self, address: Address) -> Option<usize> {
        self.holders.iter().position(|holder| holder.member.address == address)
    }

    /// Whether a majority of the holders satisfies `predicate`.
    pub fn has_majority(&self, predicate: impl Fn(&SlotHolder) -> bool) -> bool {
        self.holders.iter().filter(|holder| predicate(holder)).count() >= self.majority()
    }

    /// The addresses of the holders.
    pub fn addresses(&self) -> impl Iterator<Item = Address> + '_ {
        self.holders.iter().map(|holder| holder.member.address)
    }
}

/// The current holders of a slot, and earlier ones that may still assume that they hold it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct Slot {
    /// The holders of the newest version.
    pub current: HolderSet,
    /// Earlier sets, oldest first. A new holder must fence a majority of each before it votes, since a set that is not
    /// known to have been fenced may still grant claims.
    pub history: Vec<HolderSet>,
    /// Machines of these sets that no longer exist according to the platform's list. They can't grant claims any more.
    pub gone: Vec<Address>,
    /// The map version in which the slot was last changed.
    pub changed: MapVersion,
}

/// A slot that has changed.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ChangedSlot {
    /// The slot.
    pub index: SlotIndex,
    /// Its new state.
    pub slot: Slot,
}

/// The changes of the map from one version to another.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SlotMapChanges {
    /// The version that the changes start from.
    pub from: MapVersion,
    /// The version that the changes result in.
    pub to: MapVersion,
    /// The changed slots, by index.
    pub slots: Vec<ChangedSlot>,
}

/// The assignment of slots to the nodes that hold their claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct SlotMap {
    /// The version of the map.
    pub version: MapVersion,
    /// The slots, by index.
    pub slots: Vec<Slot>,
}

impl SlotMap {
    /// The slot of a key; `None` when the map is empty.
    pub fn slot_of(&self, key: &IdempotencyKey) -> Option<(SlotIndex, &Slot)> {
        let index = SlotIndex::of(key);
        self.slots.get(usize::from(index.0)).map(|slot| (index, slot))
    }

    /// The changes since `version`; applied to a map of that version or a later one, they give this map.
    pub fn changes_since(&self, version: MapVersion) -> SlotMapChanges {
        let changed = self.iter().filter(|(_, slot)| slot.changed > version);
        let slots = changed.map(|(index, slot)| ChangedSlot { index, slot: slot.clone() }).collect();
        SlotMapChanges { from: version, to: self.version, slots }
    }

    /// Applies changes; false when they are not newer than this map or start from a later version.
    pub fn apply(&mut self, changes: SlotMapChanges) -> bool {
        let is_applicable = changes.from <= self.version && changes.to > self.version;
        let is_complete = !self.slots.is_empty() || changes.slots.len() == usize::from(SLOTS);
        if !is_applicable || !is_complete {
            return false;
        }
        self.version = changes.to;
        for ChangedSlot { index, slot } in changes.slots {
            match self.slots.get_mut(usize::from(index.0)) {
                Some(known) => *known = slot,
                None => self.slots.push(slot),
            }
        }
        true
    }

    /// The slots with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (SlotIndex, &Slot)> {
        (0..).map(SlotIndex).zip(&self.slots)
    }
}
