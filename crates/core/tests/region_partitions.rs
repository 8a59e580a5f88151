//! Regions that are cut off from each other, in virtual time: what nodes know of their peers, of their readers and of the
//! prefills of others.

mod support {
    pub mod relay_fixture;
}

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::relay::{
    NoticeSender, PrefillAudience, Prompt, PromptIndex, PromptIndexConfig, PromptPart, Urgency,
};
use havengate_core::replication::{
    Digest, PeerAddresses, PeerTable, PeerTableConfig, PeerZones, Readers, ReadersConfig,
};
use havengate_core::routing::ConfigurationNumber;
use havengate_core::store::Position;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, RegionName, Topology, ZoneName};
use support::relay_fixture::back_end;

const ROUND: Duration = Duration::from_millis(200);
const NODES_PER_REGION: u8 = 6;
const REGIONS: [&str; 2] = ["east", "west"];

/// Longer than a peer without digests stays in the table (`PeerTableConfig::forget_after`).
const CUT: Duration = Duration::from_secs(60);

/// The time in which nodes find each other again.
const RECOVERY: Duration = Duration::from_secs(12);

/// Which messages are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Those from west to east.
    OneWay,
    /// Those between the regions.
    BothWays,
}

impl Fault {
    fn passes(self, from: usize, to: usize) -> bool {
        match self {
            Fault::None => true,
            Fault::OneWay => (region(from), region(to)) != (1, 0),
            Fault::BothWays => region(from) == region(to),
        }
    }
}

struct Node {
    addresses: PeerAddresses,
    table: PeerTable,
    zones: PeerZones,
    readers: Readers,
    index: PromptIndex,
    audience: PrefillAudience,
    sender: NoticeSender,
}

struct World {
    now: Timestamp,
    random: fastrand::Rng,
    nodes: Vec<Node>,
}

/// The number of a node's region: the nodes of the first one come first.
fn region(node: usize) -> usize {
    node / usize::from(NODES_PER_REGION)
}

fn zone(region: usize) -> ZoneName {
    format!("{}-a", REGIONS[region]).as_str().into()
}

fn topology(region: usize) -> Topology {
    let regions = (0..REGIONS.len()).map(|number| (zone(number), RegionName::from(REGIONS[number])));
    Topology::new(zone(region), regions.collect())
}

fn addresses(node: usize) -> PeerAddresses {
    let address = |port| Address(SocketAddr::from(([10, 0, 0, node as u8 + 1], port)));
    PeerAddresses { control: address(7_000), notices: address(7_001) }
}

fn engine(region: usize) -> BackEnd {
    BackEnd { zone: zone(region), ..back_end(region as u8, Some(EngineStage::Prefill)) }
}

fn prompt(id: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt { tokens: 5_000, output_tokens_maximum: 10, parts: vec![part(id, 4_000), part(1_000_000 + id, 1_000)] }
}

impl World {
    fn start(seed: u64) -> Self {
        let now = Timestamp::from_millis(1_000);
        let nodes = 0..REGIONS.len() * usize::from(NODES_PER_REGION);
        let seeds: Vec<Address> = [0, NODES_PER_REGION.into()].map(|node| addresses(node).control).to_vec();
        let node = |number: usize| {
            let own = addresses(number);
            let mut index = PromptIndex::new(PromptIndexConfig::default());
            index.set_topology(topology(region(number)));
            Node {
                addresses: own,
                table: PeerTable::new(PeerTableConfig::default(), own.control, seeds.clone(), now),
                zones: PeerZones::default(),
                readers: Readers::new(ReadersConfig::default(), own.control),
                index,
                audience: PrefillAudience::new(topology(region(number))),
                sender: NoticeSender { address: own.notices, sequence: 0 },
            }
        };
        World { now, random: fastrand::Rng::with_seed(seed), nodes: nodes.map(node).collect() }
    }

    /// Runs for `time`, and calls `check` after each round.
    fn run(&mut self, time: Duration, fault: Fault, check: impl Fn(&World)) {
        for _ in 0..time.as_millis() / ROUND.as_millis() {
            self.now = self.now + ROUND;
            for sender in 0..self.nodes.len() {
                self.send_digests(sender, fault);
                self.send_prefills(sender, fault);
            }
            check(self);
        }
    }

    fn send_digests(&mut self, sender: usize, fault: Fault) {
        let now = self.now;
        let node = &mut self.nodes[sender];
        node.table.tick(now);
        let known: BTreeSet<Address> = node.table.known().map(|peer| peer.notices).collect();
        node.zones.retain(&known);
        let is_distant = |peer: &PeerAddresses| {
            let zone = node.zones.get(&peer.notices);
            zone.is_some_and(|zone| topology(region(sender)).is_in_other_region(zone))
        };
        let distant = node.table.known().filter(is_distant).map(|peer| peer.control).collect();
        node.readers.set_distant(distant);
        let (receivers, peers) = node.table.next_digest(now, &mut self.random);
        let locations = node.zones.notice(node.addresses, &zone(region(sender)), &peers);
        let (configuration, directory) = (ConfigurationNumber(1), Position::default());
        let digest = Digest { sender: node.addresses, configuration, directory, peers };
        for receiver in self.reached(sender, &receivers, fault, |node| node.addresses.control) {
            let receiver = &mut self.nodes[receiver];
            receiver.table.receive(&digest, now);
            let known = receiver.table.known().map(|peer| peer.notices).collect();
            receiver.zones.receive(&locations, digest.sender, &known);
        }
    }

    fn send_prefills(&mut self, sender: usize, fault: Fault) {
        let now = self.now;
        let node = &mut self.nodes[sender];
        let peers = node.table.notice_addresses(now);
        let zones: BTreeMap<Address, ZoneName> =
            node.zones.iter().map(|(address, zone)| (*address, zone.clone())).collect();
        let notices = node.audience.next_notices(&mut node.index, &mut node.sender, &peers, &zones, now);
        for (notice, receivers) in notices {
            for receiver in self.reached(sender, &receivers, fault, |node| node.addresses.notices) {
                let receiver = &mut self.nodes[receiver];
                if receiver.table.notice_addresses(now).contains(&notice.sender) {
                    receiver.index.receive(notice.clone(), now);
                }
            }
        }
    }

    fn reached(
        &self,
        sender: usize,
        receivers: &[Address],
        fault: Fault,
        address: impl Fn(&Node) -> Address,
    ) -> Vec<usize> {
        let is_reached = |node: &usize| receivers.contains(&address(&self.nodes[*node])) && fault.passes(sender, *node);
        (0..self.nodes.len()).filter(is_reached).collect()
    }

    fn prefill(&mut self, node: usize, engine_region: usize, id: u64) {
        let index = &mut self.nodes[node].index;
        let prefill = index.begin(&engine(engine_region), &prompt(id), Urgency::InTime, self.now);
        index.end(prefill, true, self.now);
    }

    fn knows_prefill(&self, node: usize, engine_region: usize, id: u64) -> bool {
        self.nodes[node].index.cached_tokens_of(&engine(engine_region).id, &prompt(id)) > 0
    }

    fn backlog(&self, node: usize, engine_region: usize) -> f64 {
        let index = &self.nodes[node].index;
        index.backlog(&engine(engine_region).id, EngineStage::Prefill, Urgency::Late, self.now)
    }

    /// The recently seen peers of a node that are in `of_region`.
    fn recent_peers(&self, node: usize, of_region: usize) -> usize {
        let recent = self.nodes[node].table.recent(self.now);
        let is_in = |other: &usize| region(*other) == of_region && recent.contains(&addresses(*other).control);
        (0..self.nodes.len()).filter(is_in).count()
    }

    fn of_region(&self, of_region: usize) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(move |node| region(*node) == of_region)
    }

    fn assert_peers_of_own_region_are_known(&self) {
        for node in 0..self.nodes.len() {
            let known = self.recent_peers(node, region(node));
            assert_eq!(known, usize::from(NODES_PER_REGION) - 1, "node {node} at {:?}", self.now);
        }
    }

    fn assert_everything_is_known(&self) {
        for node in 0..self.nodes.len() {
            let recent = self.nodes[node].table.recent(self.now).len();
            assert_eq!(recent, self.nodes.len() - 1, "node {node} knows all peers");
            assert_eq!(self.nodes[node].zones.iter().count(), self.nodes.len() - 1, "node {node} knows all zones");
        }
    }

    /// A world that has run long enough for all nodes to know each other.
    fn settled(seed: u64) -> Self {
        let mut world = World::start(seed);
        world.run(RECOVERY, Fault::None, |_| {});
        world.assert_everything_is_known();
        world
    }
}

/// Guards against nodes that are removed from the tables of their own region because the other region, which receives no
/// messages from them, no longer lists them.
#[test]
fn nodes_keep_the_peers_whose_messages_arrive_and_find_the_others_after_the_cut() {
    for (seed, fault) in [(1, Fault::OneWay), (2, Fault::BothWays)] {
        let mut world = World::settled(seed);
        world.run(CUT, fault, World::assert_peers_of_own_region_are_known);
        for node in world.of_region(0) {
            assert_eq!(world.recent_peers(node, 1), 0, "east receives nothing from west, {fault:?}");
        }
        let seen = if fault == Fault::OneWay { usize::from(NODES_PER_REGION) } else { 0 };
        for node in world.of_region(1) {
            assert_eq!(
                world.recent_peers(node, 0),
                seen,
                "west receives from east unless both ways are cut, {fault:?}"
            );
        }
        world.run(RECOVERY, Fault::None, World::assert_peers_of_own_region_are_known);
        world.assert_everything_is_known();
    }
}

/// Guards against a region that has no readers of the store, or waits for those on the other side.
#[test]
fn each_side_of_a_cut_has_its_own_readers() {
    let mut world = World::settled(3);
    world.run(CUT, Fault::BothWays, |_| {});
    for side in 0..REGIONS.len() {
        let recent = |node: usize| world.nodes[node].table.recent(world.now);
        let readers = world.of_region(side).filter(|node| world.nodes[*node].readers.includes_own(&recent(*node)));
        assert_eq!(readers.count(), ReadersConfig::default().readers_minimum);
        for node in world.of_region(side) {
            let feeds = world.nodes[node].readers.feeds(&recent(node), world.now);
            let own_side: Vec<Address> = world.of_region(side).map(|node| addresses(node).control).collect();
            assert!(feeds.len() == 2 && feeds.iter().all(|feed| own_side.contains(feed)));
        }
    }
}

/// Guards against streams that stay at a number that the receivers have passed, or are waited for, after a cut.
#[test]
fn prefills_are_announced_in_each_region_during_a_cut_and_between_them_after_it() {
    for (seed, fault) in [(4, Fault::OneWay), (5, Fault::BothWays)] {
        let mut world = World::settled(seed);
        let mut id = 0;
        let mut prefill_everywhere = |world: &mut World, fault: Fault| {
            let mut made = Vec::new();
            for node in 0..world.nodes.len() {
                for engine_region in 0..REGIONS.len() {
                    id += 1;
                    world.prefill(node, engine_region, id);
                    made.push((node, engine_region, id));
                }
            }
            world.run(3 * ROUND, fault, |_| {});
            made
        };
        for (node, engine_region, id) in prefill_everywhere(&mut world, Fault::None) {
            for peer in world.of_region(engine_region) {
                assert!(world.knows_prefill(peer, engine_region, id), "{peer} of {node}'s prefill {id} before the cut");
            }
        }
        world.run(ROUND * 10, fault, |_| {});
        for _ in 0..20 {
            for (node, engine_region, id) in prefill_everywhere(&mut world, fault) {
                for peer in world.of_region(engine_region).filter(|peer| region(*peer) == region(node)) {
                    assert!(world.knows_prefill(peer, engine_region, id), "{peer} of {node}'s prefill {id}, {fault:?}");
                }
            }
        }
        world.run(CUT, fault, |_| {});
        world.run(RECOVERY, Fault::None, |_| {});
        for (node, engine_region, id) in prefill_everywhere(&mut world, Fault::None) {
            for peer in world.of_region(engine_region) {
                assert!(world.knows_prefill(peer, engine_region, id), "{peer} of {node}'s prefill {id} after the cut");
            }
        }
    }
}

/// Guards against engines that appear busy to their own region for as long as a cut lasts, because the end of the other
/// region's prefills is not announced.
#[test]
fn open_prefills_of_the_other_side_do_not_count_for_the_whole_cut() {
    let mut world = World::settled(6);
    let other_side = usize::from(NODES_PER_REGION);
    let now = world.now;
    let prefill = world.nodes[other_side].index.begin(&engine(0), &prompt(1), Urgency::InTime, now);
    world.run(ROUND, Fault::None, |_| {});
    assert!(world.backlog(0, 0) > 0.0);
    world.run(ROUND, Fault::BothWays, |_| {});
    let now = world.now;
    world.nodes[other_side].index.end(prefill, true, now);
    world.run(PromptIndexConfig::default().prefill_maximum, Fault::BothWays, |_| {});
    assert!(world.backlog(0, 0) <= 0.0);
}
