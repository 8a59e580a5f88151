//! Replication between nodes when not all of them read the store.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::replication::{Digest, PeerAddresses, PeerTable, PeerTableConfig, Readers, ReadersConfig};
use havengate_core::routing::ConfigurationNumber;
use havengate_core::store::{Position, Revision};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

const START: Timestamp = Timestamp::from_millis(1_000);
const ROUND: Duration = Duration::from_millis(200);

fn address(number: u8) -> Address {
    Address(SocketAddr::from(([10, 0, 0, number], 7_000)))
}

fn addresses(number: u8) -> PeerAddresses {
    PeerAddresses { control: address(number), notices: Address(SocketAddr::from(([10, 0, 0, number], 7_001))) }
}

fn digest(sender: u8, configuration: u64, directory: u64, peers: &[u8]) -> Digest {
    Digest {
        sender: addresses(sender),
        configuration: ConfigurationNumber(configuration),
        directory: Position::from(Revision(directory)),
        peers: peers.iter().map(|number| addresses(*number)).collect(),
    }
}

fn table(own: u8, seeds: &[u8]) -> PeerTable {
    let seeds = seeds.iter().map(|number| address(*number)).collect();
    PeerTable::new(PeerTableConfig::default(), address(own), seeds, START)
}

fn random() -> fastrand::Rng {
    fastrand::Rng::with_seed(7)
}

#[test]
fn a_lone_node_sends_digests_to_its_seeds_but_not_to_itself() {
    let (receivers, listed) = table(1, &[1, 2, 3]).next_digest(START, &mut random());
    assert_eq!(receivers.len(), 2);
    assert!(!receivers.contains(&address(1)) && listed.is_empty());
    let settled = START + PeerTableConfig::default().settling_time;
    assert_eq!(table(1, &[1, 2, 3]).nodes(settled), 1, "a seed that was never seen does not count as a node");
}

#[test]
fn a_node_that_has_just_started_assumes_many_nodes() {
    let config = PeerTableConfig::default();
    let mut table = table(1, &[2]);
    assert_eq!(table.nodes(START), config.assumed_nodes, "no peer discovered yet");
    table.receive(&digest(2, 1, 1, &[3]), START);
    assert_eq!(table.nodes(START), config.assumed_nodes, "other peers may not have been discovered yet");
    assert_eq!(table.nodes(START + config.settling_time), 3);
}

#[test]
fn only_a_peer_that_is_ahead_is_pulled_from() {
    let mut table = table(1, &[]);
    table.receive(&digest(2, 5, 40, &[]), START);
    table.receive(&digest(3, 7, 30, &[]), START);
    let ahead = |configuration, directory: Option<u64>| {
        table.ahead(
            Some(ConfigurationNumber(configuration)),
            directory.map(|revision| Position::from(Revision(revision))),
            START,
            &mut random(),
        )
    };
    assert_eq!(ahead(6, None), Some(address(3)));
    assert_eq!(ahead(7, None), None, "an up-to-date directory is not requested");
    assert_eq!(ahead(7, Some(35)), Some(address(2)));
    assert_eq!(ahead(7, Some(40)), None);
}

#[test]
fn a_silent_peer_is_not_pulled_from_and_is_removed_later() {
    let mut table = table(1, &[]);
    let config = PeerTableConfig::default();
    table.receive(&digest(2, 5, 40, &[]), START);
    assert_eq!(table.ahead(Some(ConfigurationNumber(1)), None, START + config.fresh_for, &mut random()), None);
    let (silent, removed) = (START + config.settling_time, START + config.forget_after);
    table.tick(silent);
    assert_eq!(table.nodes(silent), 2, "it may have used some of the shared budgets");
    table.tick(removed);
    assert_eq!(table.nodes(removed), 1);
}

#[test]
fn a_dead_peer_that_all_others_know_is_removed_by_all() {
    let config = PeerTableConfig::default();
    let mut tables: Vec<PeerTable> = (1..=4).map(|own| table(own, &[1])).collect();
    let mut now = START;
    let mut random = random();
    let mut alive = 4;
    for round in 0..400 {
        if round == 100 {
            alive = 3;
        }
        gossip_round(&mut tables[..alive], now, &mut random);
        if round == 99 {
            assert!(tables.iter().all(|table| table.nodes(now) == 4), "every node knows all others");
        }
        now = now + ROUND;
    }
    assert!(ROUND * 300 > config.forget_after + config.fresh_for);
    assert!(tables[..3].iter().all(|table| table.nodes(now) == 3), "no node lists the dead one indefinitely");
}

#[test]
fn prefill_notices_go_to_all_of_many_nodes_and_soon_no_longer_to_a_dead_one() {
    let nodes: u8 = 88;
    let config = PeerTableConfig::default();
    let mut tables: Vec<PeerTable> = (1..=nodes).map(|own| table(own, &[1, 2, 3])).collect();
    let mut now = START;
    let mut random = random();
    let run_rounds = |tables: &mut [PeerTable], now: &mut Timestamp, random: &mut fastrand::Rng, time: Duration| {
        for _ in 0..time.as_millis() / ROUND.as_millis() {
            gossip_round(tables, *now, random);
            *now = *now + ROUND;
        }
    };
    run_rounds(&mut tables, &mut now, &mut random, Duration::from_secs(12));
    for (index, table) in tables.iter().enumerate() {
        let notified = table.notice_addresses(now);
        assert_eq!(notified.len(), usize::from(nodes) - 1, "node {} notifies all others", index + 1);
        assert!(notified.iter().all(|address| address.0.port() == 7_001), "the addresses for notices");
    }
    tables.pop();
    run_rounds(&mut tables, &mut now, &mut random, config.fresh_for + config.recent_for + ROUND);
    let dead = addresses(nodes).notices;
    assert!(tables.iter().all(|table| !table.notice_addresses(now).contains(&dead)));
}

fn gossip_round(tables: &mut [PeerTable], now: Timestamp, random: &mut fastrand::Rng) {
    for sender in 0..tables.len() {
        tables[sender].tick(now);
        let (receivers, peers) = tables[sender].next_digest(now, random);
        let number = u8::try_from(sender + 1).unwrap();
        let digest = Digest { peers, ..digest(number, 1, 1, &[]) };
        for receiver in receivers {
            let index = tables.iter().enumerate().position(|(index, _)| address(index as u8 + 1) == receiver);
            if let Some(index) = index {
                tables[index].receive(&digest, now);
            }
        }
    }
}

fn all_addresses(nodes: u8) -> Vec<Address> {
    (1..=nodes).map(address).collect()
}

/// The peers of the node `own` once it has discovered all nodes.
fn others(nodes: u8, own: u8) -> Vec<Address> {
    all_addresses(nodes).into_iter().filter(|other| *other != address(own)).collect()
}

#[test]
fn a_node_without_known_peers_reads_the_store_itself() {
    let readers = Readers::new(ReadersConfig::default(), address(1));
    assert!(readers.includes_own(&[]));
    assert_eq!(readers.feeds(&[], START), []);
}

#[test]
fn nodes_that_know_the_same_nodes_agree_on_few_readers() {
    for (nodes, expected) in [(2, 2), (7, 3), (88, 3), (201, 5)] {
        let store_readers = (1..=nodes).filter(|own| {
            let readers = Readers::new(ReadersConfig::default(), address(*own));
            readers.includes_own(&others(nodes, *own))
        });
        assert_eq!(store_readers.count(), expected, "of {nodes} nodes");
    }
}

#[test]
fn two_readers_other_than_itself_feed_every_node_and_share_the_load() {
    let nodes: u8 = 88;
    let readers = Readers::new(ReadersConfig::default(), address(1)).of(&others(nodes, 1));
    let mut fed_nodes = vec![0; readers.len()];
    for own in 1..=nodes {
        let feeds = Readers::new(ReadersConfig::default(), address(own)).feeds(&others(nodes, own), START);
        assert_eq!(feeds.len(), 2);
        assert!(!feeds.contains(&address(own)));
        assert!(feeds.iter().all(|feed| readers.contains(feed)));
        for feed in feeds {
            let reader = readers.iter().position(|reader| *reader == feed).expect("only readers feed");
            fed_nodes[reader] += 1;
        }
    }
    assert!(fed_nodes.iter().all(|count| *count > usize::from(nodes) / 3), "{fed_nodes:?}");
}

#[test]
fn a_failed_reader_is_suspended_for_a_while() {
    let config = ReadersConfig::default();
    let mut readers = Readers::new(config, address(1));
    let peers = others(7, 1);
    let first = readers.feeds(&peers, START)[0];
    readers.suspend(first, START);
    let replacements = readers.feeds(&peers, START);
    assert!(replacements.len() == 2 && replacements[0] != first);
    assert_eq!(readers.feeds(&peers, START + config.suspension)[0], first);
    let usual_feeds = readers.feeds(&peers, START + config.suspension);
    for reader in readers.of(&peers) {
        readers.suspend(reader, START);
    }
    assert_eq!(readers.feeds(&peers, START), usual_feeds, "when all readers have failed, a node keeps its feeds");
}

#[test]
fn knowledge_that_is_not_confirmed_in_time_is_stale() {
    let config = ReadersConfig::default();
    let readers = Readers::new(config, address(1));
    assert!(readers.is_stale(None, START));
    assert!(!readers.is_stale(Some(START), START + config.stale_after));
    assert!(readers.is_stale(Some(START), START + config.stale_after + Duration::from_millis(1)));
}
