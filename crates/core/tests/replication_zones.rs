//! The zones of peers, and the choice of readers where the zones lie in several regions.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use havengate_core::replication::{
    Digest, LocationNotice, PeerAddresses, PeerTable, PeerTableConfig, PeerZones, Readers, ReadersConfig,
};
use havengate_core::routing::ConfigurationNumber;
use havengate_core::store::{Position, Revision};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, ZoneName};

const START: Timestamp = Timestamp::from_millis(1_000);

fn addresses(number: u8) -> PeerAddresses {
    let address = |port| Address(SocketAddr::from(([10, 0, 0, number], port)));
    PeerAddresses { control: address(7_000), notices: address(7_001) }
}

fn notice(sender: u8, locations: &[(u8, &str)]) -> LocationNotice {
    let locations = locations.iter().map(|(number, zone)| (addresses(*number).notices, ZoneName::from(*zone)));
    LocationNotice { sender: addresses(sender).control, locations: locations.collect() }
}

fn known(numbers: &[u8]) -> BTreeSet<Address> {
    numbers.iter().map(|number| addresses(*number).notices).collect()
}

fn zone(zones: &PeerZones, number: u8) -> Option<&str> {
    zones.get(&addresses(number).notices).map(ZoneName::as_str)
}

#[test]
fn a_notice_contains_the_own_location_and_those_of_listed_peers_with_a_known_zone() {
    let mut zones = PeerZones::default();
    zones.receive(&notice(2, &[(2, "east-a"), (3, "west-a")]), addresses(2), &known(&[2, 3, 4]));
    let sent = zones.notice(addresses(1), &"north-a".into(), &[addresses(3), addresses(4)]);
    assert_eq!(sent, notice(1, &[(1, "north-a"), (3, "west-a")]));
}

/// Guards against a node that moved to another zone and stays in its former one in the tables of nodes that
/// receive its zone more often from others than from itself.
#[test]
fn what_a_peer_announces_of_itself_supersedes_what_others_announce() {
    let mut zones = PeerZones::default();
    let peers = known(&[2, 3]);
    zones.receive(&notice(3, &[(2, "east-a")]), addresses(3), &peers);
    assert_eq!(zone(&zones, 2), Some("east-a"));
    zones.receive(&notice(2, &[(2, "west-a")]), addresses(2), &peers);
    zones.receive(&notice(3, &[(2, "east-a")]), addresses(3), &peers);
    assert_eq!(zone(&zones, 2), Some("west-a"));
    zones.receive(&notice(2, &[(2, "west-b")]), addresses(2), &peers);
    assert_eq!(zone(&zones, 2), Some("west-b"));
}

/// Guards against a table that grows with the addresses in a message instead of with the nodes.
#[test]
fn zones_are_kept_only_of_known_peers() {
    let mut zones = PeerZones::default();
    zones.receive(&notice(2, &[(2, "east-a"), (9, "east-a")]), addresses(2), &known(&[2, 3]));
    assert_eq!((zone(&zones, 2), zone(&zones, 9)), (Some("east-a"), None));
    zones.retain(&known(&[3]));
    assert_eq!(zone(&zones, 2), None, "it expired with the peer");
}

#[test]
fn a_peer_in_the_own_region_is_pulled_from_first() {
    let mut table = PeerTable::new(PeerTableConfig::default(), addresses(1).control, Vec::new(), START);
    for (sender, directory) in [(2, 40), (3, 40), (4, 30)] {
        let directory = Position::from(Revision(directory));
        let configuration = ConfigurationNumber(1);
        table.receive(&Digest { sender: addresses(sender), configuration, directory, peers: Vec::new() }, START);
    }
    table.set_distant([addresses(2).control, addresses(4).control].into());
    let mut random = fastrand::Rng::with_seed(5);
    let mut ahead = |table: &PeerTable| table.ahead(None, Some(Position::from(Revision(20))), START, &mut random);
    assert!((0..50).all(|_| ahead(&table) == Some(addresses(3).control)));
    table.set_distant([2, 3, 4].map(|number| addresses(number).control).into());
    assert!(ahead(&table).is_some(), "a distant one, if there is no other");
}

/// The control addresses of the nodes, numbered by region: 1 to 27, 28 to 54, 55 to 81.
fn nodes() -> Vec<Address> {
    (1..=81).map(|number| addresses(number).control).collect()
}

fn region(node: Address) -> usize {
    nodes().iter().position(|other| *other == node).expect("it is one of the nodes") / 27
}

#[test]
fn readers_of_the_own_region_feed_first_and_the_readers_stay_the_same() {
    for own in nodes() {
        let peers: Vec<Address> = nodes().into_iter().filter(|node| *node != own).collect();
        let distant: BTreeSet<Address> = peers.iter().copied().filter(|peer| region(*peer) != region(own)).collect();
        let plain = Readers::new(ReadersConfig::default(), own);
        let mut readers = plain.clone();
        readers.set_distant(distant);
        assert_eq!(readers.of(&peers), plain.of(&peers));
        let feeds = readers.feeds(&peers, START);
        assert_eq!(feeds.len(), 2);
        let near =
            readers.of(&peers).into_iter().filter(|reader| *reader != own && region(*reader) == region(own)).count();
        let near_feeds = feeds.iter().filter(|feed| region(**feed) == region(own)).count();
        assert_eq!(near_feeds, near.min(2));
        assert_eq!(region(feeds[0]) == region(own), near > 0, "the first feed is near if there is a near reader");
        readers.suspend(feeds[0], START);
        assert_ne!(readers.feeds(&peers, START)[0], feeds[0], "a suspended reader comes last even if it is near");
    }
}
