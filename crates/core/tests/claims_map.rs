//! The slot map: there is one map of each version even if the store loses replies and returns stale reads, and a holder
//! is replaced only after it has been missing for the replacement delay.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::claims::{
    CandidateHolder, ClaimConfig, ClaimEnvelope, ClaimHolder, MapVersion, ObservedNodes, SlotMap, SlotMapKeeper,
    SlotMapKeeperConfig,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::store::{Revision, StoreReply, StoreRequest, StoredObject};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, ZoneName};

const NODES: u8 = 6;
const TICK: Duration = Duration::from_secs(1);

fn address(index: u8) -> Address {
    Address(SocketAddr::from(([127, 0, 0, index + 1], 7000)))
}

fn claim_config() -> ClaimConfig {
    ClaimConfig {
        retention: Duration::from_secs(60),
        request_time_maximum: Duration::from_secs(30),
        ..ClaimConfig::default()
    }
}

struct Node {
    member: Member,
    zone: ZoneName,
    keeper: SlotMapKeeper,
    holder: ClaimHolder,
    adopted: MapVersion,
}

/// The platform's store: one object with all its revisions.
#[derive(Default)]
struct Store {
    revisions: Vec<StoredObject>,
    is_down: bool,
}

impl Store {
    fn answer(&mut self, request: StoreRequest, random: &mut Rng, is_faulty: bool) -> StoreReply {
        if self.is_down {
            return StoreReply::Unknown;
        }
        let loses_reply = is_faulty && random.u8(0..4) == 0;
        let reply = match request {
            StoreRequest::Read { .. } => {
                let age = if is_faulty { random.usize(0..3) } else { 0 };
                StoreReply::Object(self.revisions.iter().rev().nth(age).cloned())
            }
            StoreRequest::CompareAndSet { expected, operation, value, .. } => {
                let latest = Revision(self.revisions.len() as u64);
                if expected != latest {
                    StoreReply::Conflict(self.revisions.last().cloned())
                } else {
                    let revision = Revision(latest.0 + 1);
                    self.revisions.push(StoredObject { revision, operation, value });
                    StoreReply::Written(revision)
                }
            }
        };
        if loses_reply { StoreReply::Unknown } else { reply }
    }
}

struct World {
    random: Rng,
    is_faulty: bool,
    store: Store,
    nodes: BTreeMap<Address, Node>,
    listed: BTreeSet<Address>,
    /// A node that can neither receive nor send messages.
    isolated: Option<Address>,
    versions: BTreeMap<MapVersion, SlotMap>,
    starts: u64,
    now: Timestamp,
}

impl World {
    fn new(seed: u64, is_faulty: bool) -> Self {
        let mut world = World {
            random: Rng::with_seed(seed),
            is_faulty,
            store: Store::default(),
            nodes: BTreeMap::new(),
            listed: (0..NODES).map(address).collect(),
            isolated: None,
            versions: BTreeMap::new(),
            starts: 0,
            now: Timestamp::ZERO,
        };
        (0..NODES).for_each(|index| world.start(index));
        world
    }

    fn start(&mut self, index: u8) {
        self.starts += 1;
        let member = Member { address: address(index), incarnation: Incarnation(self.starts) };
        let config = SlotMapKeeperConfig::default();
        let node = Node {
            member,
            zone: ZoneName::new(format!("zone-{}", index % 3)),
            keeper: SlotMapKeeper::new(member, config, self.starts, self.now),
            holder: ClaimHolder::new(member, claim_config(), self.now),
            adopted: MapVersion::default(),
        };
        self.nodes.insert(member.address, node);
    }

    /// The live nodes in one node's view; with faults a random node may be missing from it.
    fn observed(&mut self) -> ObservedNodes {
        let missing = self.is_faulty.then(|| address(self.random.u8(0..NODES)));
        let live = self.nodes.values().filter(|node| Some(node.member.address) != missing);
        let live = live.map(|node| CandidateHolder { member: node.member, zone: node.zone.clone() }).collect();
        ObservedNodes { live, listed: Some(self.listed.clone()) }
    }

    fn deliver(&mut self, from: Address, envelope: ClaimEnvelope) {
        let is_isolated = [from, envelope.to].map(Some).contains(&self.isolated);
        let is_lost = is_isolated || self.is_faulty && self.random.u8(0..4) == 0;
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&envelope.to).filter(|_| !is_lost) else { return };
        let answer = node.keeper.step(from, envelope.message.clone(), now);
        let answer = answer.or_else(|| node.holder.step(from, envelope.message, now));
        if let Some(message) = answer {
            self.deliver(envelope.to, ClaimEnvelope { to: from, message });
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for address in self.nodes.keys().copied().collect::<Vec<_>>() {
            let observed = self.observed();
            let node = self.nodes.get_mut(&address).expect("a running node");
            node.keeper.observe(observed, self.now);
            let mut work = node.keeper.poll(self.now);
            while let Some(request) = work.store.take() {
                let reply = self.store.answer(request, &mut self.random, self.is_faulty);
                node.keeper.store_replied(reply, self.now);
                work.store = node.keeper.poll(self.now).store;
            }
            if node.keeper.map().version != node.adopted {
                node.adopted = node.keeper.map().version;
                node.holder.adopt(node.keeper.map());
            }
            let messages = work.messages.into_iter().chain(node.holder.poll(self.now)).collect::<Vec<_>>();
            messages.into_iter().for_each(|envelope| self.deliver(address, envelope));
        }
        for node in self.nodes.values() {
            let map = node.keeper.map();
            let known = self.versions.entry(map.version).or_insert_with(|| map.clone());
            assert_eq!(known, map, "two maps of one version");
        }
    }

    /// Stops a node gracefully and starts it again: it keeps running until it is no longer needed, for at most
    /// `seconds_maximum`. Returns the seconds that it kept running.
    fn restart_gracefully(&mut self, index: u8, seconds_maximum: u32) -> u32 {
        let now = self.now;
        self.nodes.get_mut(&address(index)).expect("a running node").keeper.leave(now);
        let mut seconds = 0;
        while seconds < seconds_maximum && self.nodes[&address(index)].keeper.is_needed() {
            self.tick();
            seconds += 1;
        }
        self.start(index);
        seconds
    }

    fn run(&mut self, seconds: u32) {
        (0..seconds).for_each(|_| self.tick());
    }

    fn newest(&self) -> &SlotMap {
        self.versions.values().next_back().expect("a map")
    }

    fn holds(&self, address: Address) -> bool {
        self.newest().slots.iter().any(|slot| slot.current.position(address).is_some())
    }

    fn all_vote(&self) -> bool {
        self.nodes.values().all(|node| node.holder.status().iter().all(|status| status.votes))
    }
}

#[test]
fn the_first_map_has_three_voting_holders_in_distinct_zones_for_every_slot() {
    let mut world = World::new(1, false);
    world.run(60);
    assert!(world.nodes.values().all(|node| node.keeper.map() == world.newest()));
    for slot in &world.newest().slots {
        let zones: BTreeSet<&ZoneName> = slot.current.holders.iter().map(|holder| &holder.zone).collect();
        assert_eq!((slot.current.holders.len(), zones.len()), (3, 3));
    }
    assert!(world.all_vote());
}

#[test]
fn a_holder_that_restarts_within_the_delay_is_kept_and_one_that_does_not_is_replaced() {
    let mut world = World::new(1, false);
    world.run(60);
    world.nodes.remove(&address(2));
    world.run(40);
    world.start(2);
    world.run(120);
    assert_eq!(world.newest().version, MapVersion(1));
    assert!(world.all_vote(), "the restarted holder has not taken over its slots");
    world.nodes.remove(&address(2));
    world.run(150);
    assert!(!world.holds(address(2)));
    assert!(world.all_vote(), "the new holders have not taken over their slots");
}

#[test]
fn slots_keep_voting_while_the_store_is_down_and_lost_holders_are_replaced_afterwards() {
    let mut world = World::new(1, false);
    world.run(60);
    world.store.is_down = true;
    world.nodes.remove(&address(2));
    world.run(300);
    assert_eq!(world.newest().version, MapVersion(1));
    assert!(world.all_vote());
    world.store.is_down = false;
    world.run(150);
    assert!(!world.holds(address(2)) && world.all_vote());
}

#[test]
fn slots_that_lost_their_majority_vote_again_after_the_quarantine() {
    let mut world = World::new(1, false);
    world.run(60);
    (0..NODES).for_each(|index| world.start(index));
    world.run(30);
    assert!(!world.all_vote());
    world.run(150 + claim_config().quarantine().as_secs() as u32);
    assert!(world.all_vote(), "slots are still without votes");
}

/// Guards against a failure seen on a very busy machine: one node was killed, another paused and a third stopped
/// gracefully, each back immediately, and from then on all requests with a key were refused as not run. The killed node
/// had not yet taken over its claims again when the third one stopped, so two of three holders had lost them and no
/// majority could confirm any key until all claims had expired. Without the wait before the stop, this test reproduces
/// the failure by isolating the restarted holder for five seconds.
#[test]
fn a_graceful_stop_waits_until_a_restarted_holder_has_taken_over_its_claims() {
    let mut world = World::new(1, false);
    world.run(60);
    world.start(2);
    world.isolated = Some(address(2));
    world.run(3);
    let reconnects_at = world.now + Duration::from_secs(5);
    let now = world.now;
    world.nodes.get_mut(&address(3)).expect("a running node").keeper.leave(now);
    while world.now < reconnects_at {
        world.tick();
        assert!(world.nodes[&address(3)].keeper.is_needed(), "only one other holder has its claims");
    }
    world.isolated = None;
    let seconds = world.restart_gracefully(3, 30);
    assert!(seconds < 30, "the other holders have all claims");
    world.run(30);
    assert_eq!((world.newest().version, world.all_vote()), (MapVersion(1), true));
}

#[test]
fn a_graceful_stop_is_immediate_if_the_other_holders_have_all_claims() {
    let mut world = World::new(1, false);
    world.run(60);
    assert!(world.restart_gracefully(3, 30) <= 2);
    world.run(10);
    assert!(world.all_vote());
}

#[test]
fn nodes_that_are_stopped_gracefully_in_turn_lose_no_votes() {
    let mut world = World::new(1, false);
    world.run(60);
    for index in 0..NODES {
        world.isolated = Some(address(index));
        world.restart_gracefully(index, 0);
        world.run(2);
        world.isolated = None;
        world.restart_gracefully((index + 1) % NODES, 30);
    }
    world.run(30);
    assert!(world.all_vote());
}

#[test]
fn permanently_gone_machines_do_not_block_their_slots() {
    let mut world = World::new(1, false);
    world.run(60);
    for lost in [address(1), address(2)] {
        world.nodes.remove(&lost);
        world.listed.remove(&lost);
    }
    world.run(400);
    assert!(!world.all_vote(), "slots vote although their lost majority is not yet known to be gone");
    world.run(400 + claim_config().quarantine().as_secs() as u32);
    assert!(world.all_vote(), "slots are still without votes");
}

#[test]
fn there_is_one_map_of_each_version_despite_faults_of_the_store_and_of_views() {
    let mut versions = 0;
    for seed in 0..40 {
        let mut world = World::new(seed, true);
        for _ in 0..8 {
            world.run(100);
            let index = world.random.u8(0..NODES);
            if world.nodes.remove(&address(index)).is_none() || world.random.bool() {
                world.start(index);
            }
        }
        versions += world.versions.len();
    }
    assert!(versions > 40 * 3, "too few versions for a meaningful test: {versions}");
}
