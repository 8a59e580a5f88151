//! Rendezvous hashing: all nodes compute the same order, few keys move, and restarted nodes regain their rank.

use havengate_core::membership::{
    Incarnation, Liveness, Member, MemberRecord, View, rank_by_address, rank_members, rank_pool_owners,
};
use havengate_core::world::{Address, Pool, PoolId};

fn member(index: u16) -> Member {
    let address = Address(([10, 0, 0, 1], 7000 + index).into());
    Member { address, incarnation: Incarnation(1) }
}

fn members(count: u16) -> Vec<Member> {
    (0..count).map(member).collect()
}

#[test]
fn order_depends_neither_on_input_order_nor_on_incarnations() {
    let forward = rank_members(b"key", members(30));
    let restarted = members(30).into_iter().rev().map(|member| Member { incarnation: Incarnation(9), ..member });
    let backward = rank_by_address(b"key", restarted, |member| member.address);
    let addresses = |ranked: &[Member]| ranked.iter().map(|member| member.address).collect::<Vec<_>>();
    assert_eq!(addresses(&forward), addresses(&backward));
}

#[test]
fn a_lost_member_moves_only_its_own_keys() {
    let gone = member(7);
    for key in 0..1_000_u32 {
        let before = rank_members(&key.to_le_bytes(), members(30));
        let after = rank_members(&key.to_le_bytes(), members(30).into_iter().filter(|member| *member != gone));
        let expected: Vec<Member> = before.into_iter().filter(|member| *member != gone).collect();
        assert_eq!(after, expected);
    }
}

#[test]
fn keys_spread_evenly() {
    let mut owned = [0_u32; 30];
    for key in 0..30_000_u32 {
        let first = rank_members(&key.to_le_bytes(), members(30))[0];
        owned[usize::from(first.address.0.port() - 7000)] += 1;
    }
    assert!(owned.iter().all(|&count| (800..1_200).contains(&count)), "{owned:?}");
}

#[test]
fn only_live_members_of_the_pools_zones_own_it() {
    let record = |index: u16, zone: &str| MemberRecord::alive(member(index), zone.into());
    let leaving = MemberRecord { leaving: true, ..record(1, "a") };
    let dead = MemberRecord { liveness: Liveness::Dead, ..record(2, "a") };
    let suspect = MemberRecord { liveness: Liveness::Suspect, ..record(3, "a") };
    let view = View::new([record(0, "a"), leaving, dead, suspect, record(4, "b"), record(5, "c")]);
    let id = PoolId { model: "m".into(), region: "r".into(), zone: None, shard: 0 };
    let pool = Pool { id, engines: Vec::new(), zones: vec!["a".into(), "b".into()] };
    let mut owners = rank_pool_owners(&pool, &view);
    owners.sort();
    assert_eq!(owners, [member(0), member(3), member(4)]);
}
