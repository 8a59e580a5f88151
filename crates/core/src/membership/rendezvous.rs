//! Rendezvous hashing (highest random weight): ranks members for a key.
//!
//! All nodes with the same members compute the same ranking, and a member that joins or leaves moves only the keys for
//! which it ranks first. The weight depends on the address and not on the incarnation, so a restarted node regains its
//! rank.

use std::net::IpAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::member::Member;
use super::view::View;
use crate::world::{Address, Pool};

const ADDRESS_BYTES: usize = 18;

/// Ranks `items` for `key`, highest weight first. The input order doesn't matter.
pub fn rank_by_address<Item>(
    key: &[u8],
    items: impl IntoIterator<Item = Item>,
    address: impl Fn(&Item) -> Address,
) -> Vec<Item> {
    let seed = xxh3_64(key);
    let mut ranked: Vec<(u64, Address, Item)> = items
        .into_iter()
        .map(|item| {
            let address = address(&item);
            (weight(seed, address), address, item)
        })
        .collect();
    ranked.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
    ranked.into_iter().map(|(_, _, item)| item).collect()
}

/// Ranks members for `key`, highest weight first.
pub fn rank_members(key: &[u8], members: impl IntoIterator<Item = Member>) -> Vec<Member> {
    rank_by_address(key, members, |member| member.address)
}

/// Ranks the members that may own a pool: neither dead nor leaving, and in one of the pool's zones that is reachable.
/// The first is the owner, the following ones are its successors.
pub fn rank_pool_owners(pool: &Pool, view: &View) -> Vec<Member> {
    rank_members(pool.id.to_string().as_bytes(), view.owner_candidates(&pool.zones))
}

pub(super) fn weight(seed: u64, address: Address) -> u64 {
    xxh3_64_with_seed(&address_bytes(address), seed)
}

fn address_bytes(address: Address) -> [u8; ADDRESS_BYTES] {
    let ip = match address.0.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; ADDRESS_BYTES];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.0.port().to_be_bytes());
    bytes
}
