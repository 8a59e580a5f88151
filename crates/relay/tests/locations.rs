//! When nodes send each other their zones, and which notices of zones they accept.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::replication::{Digest, LocationNotice, PeerAddresses, PeerTable, PeerTableConfig};
use havengate_core::routing::ConfigurationNumber;
use havengate_core::store::Position;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, Topology};
use havengate_relay::control::{Locations, RejectedLocations};

const START: Timestamp = Timestamp::from_millis(1_000);
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

fn addresses(number: u8) -> PeerAddresses {
    let address = |port| Address(SocketAddr::from(([10, 0, 0, number], port)));
    PeerAddresses { control: address(7_000), notices: address(7_001) }
}

fn two_regions() -> Topology {
    Topology::new("east-a".into(), [("east-a".into(), "east".into()), ("west-a".into(), "west".into())].into())
}

fn one_region() -> Topology {
    Topology::new("east-a".into(), [("east-a".into(), "east".into()), ("east-b".into(), "east".into())].into())
}

/// The table of a node that has just got a digest of each of `senders`.
fn table(senders: &[u8], now: Timestamp) -> PeerTable {
    let mut table = PeerTable::new(PeerTableConfig::default(), addresses(1).control, Vec::new(), START);
    for sender in senders {
        let (configuration, directory) = (ConfigurationNumber(0), Position::default());
        table.receive(&Digest { sender: addresses(*sender), configuration, directory, peers: Vec::new() }, now);
    }
    table
}

fn notice_of(sender: u8) -> LocationNotice {
    LocationNotice { sender: addresses(sender).control, locations: vec![(addresses(sender).notices, "west-a".into())] }
}

/// Guards against additional traffic, and zones that are kept, where distance is not considered.
#[test]
fn a_deployment_in_one_region_sends_no_zones_and_drops_those_that_it_receives() {
    let locations = Locations::new(addresses(1), one_region(), START);
    assert_eq!(locations.notice_with_digest(&[], START), None);
    let received = locations.receive(&notice_of(2), &table(&[2], START), START);
    assert_eq!(received, Err(RejectedLocations::NotEnabled));
    assert!(locations.retain_known(&table(&[2], START)).is_empty());
}

/// Guards against zones of processes that are no peers, and zones that are kept after a peer is gone.
#[test]
fn zones_are_accepted_from_recently_seen_peers_only() {
    let locations = Locations::new(addresses(1), two_regions(), START);
    let now = START + PeerTableConfig::default().recent_for;
    let seen_long_ago = table(&[2], START);
    assert_eq!(locations.receive(&notice_of(3), &seen_long_ago, START), Err(RejectedLocations::UnknownSender));
    assert_eq!(locations.receive(&notice_of(2), &seen_long_ago, now), Err(RejectedLocations::UnknownSender));
    let peers = table(&[2], now);
    assert_eq!(locations.receive(&notice_of(2), &peers, now), Ok(()));
    assert_eq!(locations.retain_known(&peers), [(addresses(2).notices, "west-a".into())].into());
    assert_eq!(locations.distant_peers(&peers), [addresses(2).control].into());
    assert!(locations.retain_known(&table(&[3], now)).is_empty(), "the zone expires with the peer");
}

/// Guards against locations that take more bytes than the digests that they accompany.
#[test]
fn a_node_sends_zones_with_each_digest_after_its_start_and_later_with_every_fifth() {
    let locations = Locations::new(addresses(1), two_regions(), START);
    let times = (0..100).map(|round| START + DIGEST_INTERVAL * round);
    let sent: Vec<bool> = times.map(|now| locations.notice_with_digest(&[], now).is_some()).collect();
    assert!(sent[..50].iter().all(|is_sent| *is_sent));
    assert_eq!(sent[50..].iter().filter(|is_sent| **is_sent).count(), 10);
}
