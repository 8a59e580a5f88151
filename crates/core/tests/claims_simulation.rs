//! Keys are won at most once despite kills, restarts without state, pauses, partitions, lost and duplicated messages,
//! and slot map changes by proposers that falsely consider live nodes dead.

mod claims_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use claims_support::{address, candidate, only_used_slots, used_slots};
use fastrand::Rng;
use havengate_core::claims::{
    CandidateHolder, ClaimClient, ClaimConfig, ClaimEnvelope, ClaimHolder, ClaimMessage, ClaimOutcome, RecordedOutcome,
    SlotIndex, SlotMap, SlotObservation, SlotStatus,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::RequestId;
use havengate_core::simulation::{NetworkFaults, VirtualNetwork};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_core::world::Address;

const NODES: u8 = 7;
const KEYS: usize = 4;
const TICK: Duration = Duration::from_millis(20);
const RETENTION: Duration = Duration::from_secs(4);
const REQUEST_TIME: Duration = Duration::from_secs(2);

fn config() -> ClaimConfig {
    ClaimConfig {
        retention: RETENTION,
        request_time_maximum: REQUEST_TIME,
        attempt_timeout: Duration::from_millis(400),
        released_retention: Duration::from_secs(1),
        takeover_interval: Duration::from_millis(200),
        page_records: 2,
        sweep_interval: Duration::from_secs(1),
        ..ClaimConfig::default()
    }
}

fn all_addresses() -> impl Iterator<Item = Address> {
    (0..NODES).map(address)
}

struct Node {
    holder: ClaimHolder,
    client: ClaimClient,
    running: BTreeMap<RequestId, Running>,
}

/// A request whose key is being claimed or has been won.
#[derive(Clone, Copy)]
struct Running {
    key: usize,
    deadline: Timestamp,
    is_won: bool,
}

/// The interval during which a request that has won a key excludes wins of other requests.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Win {
    request: RequestId,
    from: Timestamp,
    until: Timestamp,
}

struct World {
    random: Rng,
    network: VirtualNetwork<Address, ClaimMessage>,
    nodes: BTreeMap<Address, Node>,
    incarnations: BTreeMap<Address, Incarnation>,
    gone: BTreeSet<Address>,
    paused: BTreeSet<Address>,
    partitioned: BTreeSet<Address>,
    map: SlotMap,
    wins: Vec<Vec<Win>>,
    next_request: u128,
    now: Timestamp,
}

impl World {
    fn new(seed: u64, faults: NetworkFaults) -> Self {
        let mut world = World {
            random: Rng::with_seed(seed),
            network: VirtualNetwork::new(seed, faults),
            nodes: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            gone: BTreeSet::new(),
            paused: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            map: SlotMap::default(),
            wins: vec![Vec::new(); KEYS],
            next_request: 0,
            now: Timestamp::ZERO,
        };
        all_addresses().for_each(|address| world.start(address));
        let candidates = world.candidates();
        world.map = only_used_slots(SlotMap::initial(&candidates), KEYS);
        world
    }

    fn candidates(&self) -> Vec<CandidateHolder> {
        let running = (0..NODES).filter(|index| self.nodes.contains_key(&address(*index)));
        running.map(|index| candidate(index, self.incarnations[&address(index)])).collect()
    }

    fn start(&mut self, address: Address) {
        let incarnation = self.incarnations.entry(address).or_default();
        incarnation.0 += 1;
        let member = Member { address, incarnation: *incarnation };
        let holder = ClaimHolder::new(member, config(), self.now);
        let node = Node { holder, client: ClaimClient::new(config()), running: BTreeMap::new() };
        self.nodes.insert(address, node);
        self.network.restart(address);
    }

    fn kill(&mut self, address: Address) {
        self.nodes.remove(&address);
        self.paused.remove(&address);
        self.network.kill(address);
        self.network.resume(address, self.now);
    }

    fn random_node(&mut self) -> Address {
        address(self.random.u8(0..NODES))
    }

    fn votes(&self, address: Address, index: SlotIndex) -> bool {
        let version = self.map.slots[usize::from(index.0)].current.version;
        let is_voting = |status: &SlotStatus| status.slot == index && status.version == version && status.votes;
        self.nodes.get(&address).is_some_and(|node| node.holder.status().iter().any(is_voting))
    }

    fn observation(&self, dead: BTreeSet<Address>) -> SlotObservation {
        let live = self.candidates().into_iter().filter(|node| !dead.contains(&node.member.address)).collect();
        let mut observation = SlotObservation { live, dead, gone: self.gone.clone(), ..SlotObservation::default() };
        for (index, slot) in self.map.iter() {
            if slot.current.has_majority(|holder| self.votes(holder.member.address, index)) {
                observation.settled.insert(index);
            } else {
                let running = slot.current.addresses().filter(|address| self.nodes.contains_key(address));
                observation.stalled.insert(index, running.filter(|address| !self.votes(*address, index)).collect());
            }
        }
        observation
    }

    fn replan(&mut self, dead: BTreeSet<Address>, replace_stalled: bool) {
        let mut observation = self.observation(dead);
        if !replace_stalled {
            observation.stalled.clear();
        }
        if let Some(next) = self.map.replan(&observation) {
            self.map = only_used_slots(next, KEYS);
        }
    }

    fn inject_fault(&mut self) {
        let target = self.random_node();
        let is_up = self.nodes.contains_key(&target);
        match self.random.u8(0..8) {
            0 => self.kill(target),
            1 | 2 => self.restart(target),
            3 if is_up => {
                self.paused.insert(target);
                self.network.pause(target);
            }
            4 => self.partition(),
            5 => self.heal(),
            6 => self.replan_with_false_deaths(target),
            7 if !is_up && self.gone.len() < 2 => {
                self.gone.insert(target);
            }
            _ => {}
        }
    }

    /// Proposes a map from an observation in which `alive` and all stopped nodes are dead.
    fn replan_with_false_deaths(&mut self, alive: Address) {
        let dead = self.not_running().into_iter().chain([alive]).collect();
        let replace_stalled = self.random.bool();
        self.replan(dead, replace_stalled);
    }

    fn restart(&mut self, target: Address) {
        if !self.gone.contains(&target) {
            self.kill(target);
            self.start(target);
        }
    }

    fn not_running(&self) -> BTreeSet<Address> {
        all_addresses().filter(|address| !self.nodes.contains_key(address)).collect()
    }

    fn partition(&mut self) {
        let side: BTreeSet<Address> = all_addresses().filter(|_| self.random.bool()).collect();
        for one in &side {
            for other in all_addresses().filter(|other| !side.contains(other)) {
                self.network.cut(*one, other);
                self.network.cut(other, *one);
            }
        }
        self.partitioned = side;
    }

    fn heal(&mut self) {
        self.network.heal();
        self.partitioned.clear();
        for paused in std::mem::take(&mut self.paused) {
            self.network.resume(paused, self.now);
        }
        for address in self.not_running().difference(&self.gone.clone()) {
            self.start(*address);
        }
    }

    fn unpaused(&self) -> Vec<Address> {
        self.nodes.keys().copied().filter(|address| !self.paused.contains(address)).collect()
    }

    /// Delivers the map to nodes with a random delay, and not to those that are partitioned from the store.
    fn spread_map(&mut self) {
        for address in self.unpaused() {
            if !self.partitioned.contains(&address) && self.random.u8(0..10) == 0 {
                let node = self.nodes.get_mut(&address).expect("a running node");
                node.holder.adopt(&self.map);
                node.client.adopt(&self.map, self.now);
            }
        }
    }

    fn claim_random_key(&mut self) {
        let gateway = self.random_node();
        let key = self.random.usize(0..KEYS);
        let deadline = self.now + Duration::from_millis(self.random.u64(100..=2_000));
        let Some(node) = self.nodes.get_mut(&gateway).filter(|_| !self.paused.contains(&gateway)) else { return };
        self.next_request += 1;
        let request = RequestId(self.next_request);
        if node.client.claim(claims_support::key(key), request, deadline, self.now).is_ok() {
            node.running.insert(request, Running { key, deadline, is_won: false });
        }
    }

    fn finish_requests(&mut self, gateway: Address) {
        let node = self.nodes.get_mut(&gateway).expect("a running node");
        for (request, running) in node.running.clone() {
            let is_ending = running.deadline <= self.now || self.random.u8(0..20) == 0;
            if !running.is_won || !is_ending {
                continue;
            }
            node.running.remove(&request);
            let did_not_run = self.random.u8(0..3) == 0;
            let verdict = match did_not_run {
                true => Verdict::NotRun(NotRun::new(NotRunReason::NoEngine)),
                false => Verdict::MayHaveRun(MayHaveRun::AnswerCut),
            };
            node.client.record(request, RecordedOutcome { verdict, answer: None }, self.now);
            let win = self.wins[running.key].iter_mut().find(|win| win.request == request).expect("a win");
            win.until = win.until.min(if did_not_run { self.now } else { self.now + RETENTION });
        }
    }

    fn poll(&mut self, address: Address) {
        let node = self.nodes.get_mut(&address).expect("a running node");
        let work = node.client.poll(self.now);
        let messages = work.messages.into_iter().chain(node.holder.poll(self.now));
        for ClaimEnvelope { to, message } in messages {
            self.network.send(address, to, message, self.now);
        }
        for decision in work.decisions {
            let running = node.running.get_mut(&decision.request).expect("a claimed request");
            running.is_won = decision.outcome == ClaimOutcome::Won;
            if running.is_won {
                let until = running.deadline + RETENTION;
                self.wins[running.key].push(Win { request: decision.request, from: self.now, until });
            } else {
                node.running.remove(&decision.request);
            }
        }
    }

    fn tick(&mut self) {
        let until = self.now + TICK;
        while let Some(delivery) = self.network.deliver(until) {
            self.now = self.now.max(delivery.at);
            let Some(node) = self.nodes.get_mut(&delivery.to) else { continue };
            node.client.step(delivery.from, delivery.message.clone(), self.now);
            if let Some(reply) = node.holder.step(delivery.from, delivery.message, self.now) {
                self.network.send(delivery.to, delivery.from, reply, self.now);
            }
            self.poll(delivery.to);
        }
        self.now = until;
        self.spread_map();
        for address in self.unpaused() {
            self.finish_requests(address);
            self.poll(address);
        }
    }

    fn run(&mut self, ticks: u128, fault_rate: f64) {
        for _ in 0..ticks {
            if self.random.f64() < fault_rate {
                self.inject_fault();
            }
            if self.random.u8(0..3) == 0 {
                self.claim_random_key();
            }
            self.tick();
        }
    }

    /// The first two wins of one key that overlap in time.
    fn conflicting_wins(&self) -> Option<(Win, Win)> {
        let overlap = |one: &Win, other: &Win| one.from < other.until && other.from < one.until;
        self.wins.iter().find_map(|wins| {
            let pairs =
                wins.iter().enumerate().flat_map(|(index, one)| wins[..index].iter().map(move |two| (*two, *one)));
            pairs.into_iter().find(|(one, other)| overlap(one, other))
        })
    }
}

fn faulty_network() -> NetworkFaults {
    NetworkFaults {
        loss: 0.05,
        duplication: 0.05,
        delay_minimum: Duration::from_micros(500),
        delay_maximum: Duration::from_millis(30),
    }
}

#[test]
fn a_key_is_won_at_most_once_despite_faults() {
    let mut wins = 0;
    for seed in 0..300 {
        let mut world = World::new(seed, faulty_network());
        world.run(1_500, 0.02);
        assert_eq!(world.conflicting_wins(), None, "seed {seed}");
        wins += world.wins.iter().map(Vec::len).sum::<usize>();
    }
    assert!(wins > 300 * 5, "too few wins for a meaningful test: {wins}");
}

#[test]
fn a_key_is_won_at_most_once_when_holders_restart_in_a_row() {
    for seed in 0..150 {
        let mut world = World::new(seed, faulty_network());
        for _ in 0..40 {
            let target = world.random_node();
            world.restart(target);
            world.run(20, 0.0);
        }
        assert_eq!(world.conflicting_wins(), None, "seed {seed}");
    }
}

#[test]
fn every_slot_votes_again_after_all_faults_have_ended() {
    for seed in 0..40 {
        let mut world = World::new(seed, faulty_network());
        world.run(600, 0.04);
        world.heal();
        world.network.set_faults(NetworkFaults::default());
        world.run(100, 0.0);
        world.replan(world.not_running(), true);
        world.run(config().quarantine().as_millis() / TICK.as_millis() + 200, 0.0);
        let settled = world.observation(world.not_running()).settled;
        assert!(settled.is_superset(&used_slots(KEYS)), "seed {seed}: only {settled:?} settled");
    }
}

#[test]
fn two_of_three_holders_are_enough() {
    let mut world = World::new(1, NetworkFaults::default());
    world.run(200, 0.0);
    let (_, slot) = world.map.slot_of(&claims_support::key(0)).expect("a slot");
    world.kill(slot.current.holders[0].member.address);
    let killed_at = world.now;
    world.run(1_000, 0.0);
    assert!(world.wins[0].iter().any(|win| win.from > killed_at), "the key was never won with two holders");
}
