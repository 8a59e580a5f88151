//! Helpers shared by the tests of claims.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use havengate_core::claims::{CandidateHolder, SlotIndex, SlotMap};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::IdempotencyKey;
use havengate_core::world::{Address, ZoneName};

const ZONES: u8 = 4;

/// The address of a node.
pub fn address(index: u8) -> Address {
    Address(SocketAddr::from(([127, 0, 0, index + 1], 7000)))
}

/// A node in one of its incarnations, as a candidate for the slot map.
pub fn candidate(index: u8, incarnation: Incarnation) -> CandidateHolder {
    let member = Member { address: address(index), incarnation };
    CandidateHolder { member, zone: ZoneName::new(format!("zone-{}", index % ZONES)) }
}

/// The idempotency key with an index.
pub fn key(index: usize) -> IdempotencyKey {
    IdempotencyKey { tenant: "tenant".into(), key: format!("ticket-{index}") }
}

/// The slots that the first `keys` keys fall into.
pub fn used_slots(keys: usize) -> BTreeSet<SlotIndex> {
    (0..keys).map(|index| SlotIndex::of(&key(index))).collect()
}

/// Removes the holders of all slots that none of the first `keys` keys falls into, which saves most of a test's time.
pub fn only_used_slots(mut map: SlotMap, keys: usize) -> SlotMap {
    let used = used_slots(keys);
    let unused = (0..).map(SlotIndex).zip(&mut map.slots).filter(|(index, _)| !used.contains(index));
    unused.for_each(|(_, slot)| slot.current.holders.clear());
    map
}
