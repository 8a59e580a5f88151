//! Which peer a node chooses for a tunnel, and which tunnels a peer accepts.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use havengate_core::paths::{
    PathGroup, TunnelGrants, TunnelGrantsConfig, TunnelOffer, TunnelOffers, TunnelOffersConfig, TunnelToken,
};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, Distance, ServiceName, ZoneName};

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn address(node: u8) -> Address {
    format!("10.0.0.{node}:7000").parse().expect("a valid address")
}

fn group() -> PathGroup {
    PathGroup { service: ServiceName::new("app"), stage: None }
}

fn offer(node: u8, zone: &str, open: u32) -> TunnelOffer {
    let token = TunnelToken(u64::from(node), 0);
    TunnelOffer { sender: address(node), zone: ZoneName::new(zone), group: group(), token, open }
}

fn distance(zone: &ZoneName) -> Distance {
    match zone.as_str() {
        "own" => Distance::SameZone,
        "far" => Distance::OtherRegion,
        _ => Distance::SameRegion,
    }
}

/// How often each node is chosen in `rounds` choices among `offers`.
fn choices(offers: impl IntoIterator<Item = TunnelOffer>, rounds: usize, seed: u64) -> BTreeMap<Address, usize> {
    let mut known = TunnelOffers::new(TunnelOffersConfig::default());
    offers.into_iter().for_each(|offer| known.receive(offer, NOW));
    let mut random = fastrand::Rng::with_seed(seed);
    let mut chosen = BTreeMap::new();
    for _ in 0..rounds {
        let choice = known.choose(&group(), &[], distance, &mut random, NOW).expect("there are offers");
        *chosen.entry(choice.peer).or_default() += 1;
    }
    chosen
}

#[test]
fn near_peers_are_chosen_first_and_share_the_tunnels() {
    let offers = [offer(1, "own", 0), offer(2, "own", 0), offer(3, "other", 0), offer(4, "far", 0)];
    let chosen = choices(offers, 20, 1);
    assert_eq!(chosen.keys().copied().collect::<Vec<_>>(), [address(1), address(2)]);
    assert!(chosen.values().all(|count| (6..=14).contains(count)), "{chosen:?}");
}

#[test]
fn peers_of_other_zones_help_before_a_near_one_is_overloaded() {
    let near_only = offer(1, "own", 0);
    let others = (2..8).map(|node| offer(node, "other", 0));
    let chosen = choices(others.chain([near_only]), 140, 2);
    assert!(chosen[&address(1)] <= 40, "{chosen:?}");
    assert!(chosen.values().all(|count| *count >= 10), "{chosen:?}");
}

#[test]
fn nodes_with_the_same_offers_do_not_all_choose_the_same_peer() {
    let first_choices: Vec<BTreeMap<Address, usize>> =
        (0..20).map(|seed| choices((1..6).map(|node| offer(node, "own", u32::from(node))), 1, seed)).collect();
    let different: std::collections::BTreeSet<Address> =
        first_choices.iter().flat_map(|chosen| chosen.keys().copied()).collect();
    assert!(different.len() >= 3, "{different:?}");
}

#[test]
fn offers_expire_and_end_with_their_peer() {
    let mut offers = TunnelOffers::new(TunnelOffersConfig::default());
    offers.receive(offer(1, "own", 0), NOW);
    offers.receive(offer(2, "own", 0), NOW);
    let mut random = fastrand::Rng::with_seed(3);
    let mut choose = |offers: &mut TunnelOffers, avoid: &[Address], now| {
        offers.choose(&group(), avoid, distance, &mut random, now).map(|chosen| chosen.peer)
    };
    assert_eq!(choose(&mut offers, &[address(1)], NOW), Some(address(2)));
    offers.remove_peer(address(2));
    assert_eq!(choose(&mut offers, &[address(1)], NOW), None);
    assert!(!offers.has_offer_of(address(2), NOW));
    let expired = NOW + TunnelOffersConfig::default().validity;
    assert_eq!(choose(&mut offers, &[], expired), None);
    let other_stage = PathGroup { service: ServiceName::new("model"), stage: None };
    assert!(offers.choose(&other_stage, &[], distance, &mut fastrand::Rng::with_seed(1), NOW).is_none());
}

#[test]
fn only_the_peer_that_received_a_secret_may_use_it_and_only_for_a_while() {
    let config = TunnelGrantsConfig::default();
    let mut grants = TunnelGrants::new(config);
    let (secret, fresh) = (TunnelToken(1, 2), TunnelToken(3, 4));
    assert_eq!(grants.offer(address(1), secret, NOW), secret);
    let source = |node: u8| IpAddr::from([10, 0, 0, node]);
    assert_eq!(grants.authorize(secret, source(1), NOW), Some(address(1)));
    assert_eq!(grants.authorize(secret, source(2), NOW), None, "another machine presents it");
    assert_eq!(grants.authorize(fresh, source(1), NOW), None, "a guess");
    let later = NOW + config.validity - Duration::from_millis(1);
    assert_eq!(grants.offer(address(1), fresh, later), secret, "open offers keep their secret");
    assert_eq!(grants.authorize(secret, source(1), NOW + config.validity), Some(address(1)));
    assert_eq!(grants.authorize(secret, source(1), later + config.validity), None, "it has expired");
    assert_eq!(grants.offer(address(1), fresh, later + config.validity), fresh);
}

#[test]
fn a_node_accepts_a_limited_number_of_tunnels() {
    let mut grants = TunnelGrants::new(TunnelGrantsConfig { open_maximum: 2, ..TunnelGrantsConfig::default() });
    grants.record_opened();
    assert!(grants.has_room());
    grants.record_opened();
    assert!(!grants.has_room());
    grants.record_closed();
    assert!(grants.has_room());
}

#[test]
fn a_secret_does_not_appear_in_debug_output() {
    assert_eq!(format!("{:?}", TunnelToken(12, 34)), "TunnelToken(..)");
}
