//! What back ends in need take, shared by nodes that agree on nothing.

mod support {
    pub mod relay_fixture;
}

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use havengate_core::back_ends::{
    AnnouncedLimit, BackEndLimits, LIFT_AFTER, LIMIT_FORGOTTEN, LimitChange, LimitNotice, RequestRate, SharingNodes,
};
use havengate_core::relay::PeerNotice;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, BackEndName, StartMoment};
use speedy::Writable;

const START: Timestamp = Timestamp::from_millis(1_000_000);

/// The platform's bounds: the limit binds from this time after it was first named, over spans of this length, for nodes that have heard it so long ago.
const BINDS_AFTER: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);
const HEARD_AGO: Duration = Duration::from_millis(500);

/// What a back end may get in a span beyond what its limit allows, as a factor and as a number.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS: f64 = 5.0;

/// Of what it takes, a back end gets this much at least while callers ask for more than that at each node: its places serve callers too.
const USED_LEAST: f64 = 0.6;

fn after(duration: Duration) -> Timestamp {
    START + duration
}

fn address(number: usize) -> Address {
    Address(SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000)))
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

/// A node's view among so many; each of the others is unknown to it with this probability.
fn nodes_seen_by(own: usize, count: usize, unknown: f64, random: &mut fastrand::Rng) -> SharingNodes {
    let peers = (0..count).filter(|number| *number != own && random.f64() >= unknown).map(address).collect();
    SharingNodes { own: Some(address(own)), peers, count: 1 }
}

/// What happens in [`World`], in order of time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller asks this node.
    Call(usize),
    /// A request of this node reaches the back end, sent at this moment.
    Arrive(usize, Timestamp),
    /// The answer to a request that was sent at this moment reaches its node, with what it names.
    Answer { node: usize, sent_at: Timestamp, thousandths: Option<u32> },
    /// This node tells one peer of limits.
    Tell(usize),
    /// A notice of a limit reaches this node.
    Hear { node: usize, thousandths: Option<u32>, age_millis: u32 },
}

/// A back end that is in need for a while, and nodes whose callers would all send to it.
struct World {
    nodes: Vec<BackEndLimits>,
    /// When an answer that named a limit first reached a node.
    heard_at: Vec<Option<Timestamp>>,
    id: BackEndId,
    limit: f64,
    need: std::ops::Range<Timestamp>,
    calls_per_second: f64,
    loss: f64,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    random: fastrand::Rng,
    /// The node and the moment of each request that reached the back end.
    arrivals: Vec<(Timestamp, usize)>,
}

impl World {
    fn new(seed: u64, count: usize, limit: f64, calls_per_second: f64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let nodes = (0..count).map(|own| {
            let mut limits = BackEndLimits::default();
            limits.set_nodes(nodes_seen_by(own, count, 0.05, &mut random));
            limits
        });
        let nodes = nodes.collect();
        let need = after(Duration::from_secs(5))..after(Duration::from_secs(45));
        let heard_at = vec![None; count];
        let id = BackEndId::from("in-need");
        let mut world = World {
            nodes,
            heard_at,
            id,
            limit,
            need,
            calls_per_second,
            loss: 0.05,
            events: BinaryHeap::new(),
            sequence: 0,
            random,
            arrivals: Vec::new(),
        };
        for node in 0..count {
            world.next_call(node, START);
            let pause = Duration::from_millis(world.random.u64(0..1_000));
            world.put(START + pause, Event::Tell(node));
        }
        world
    }

    fn put(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn next_call(&mut self, node: usize, now: Timestamp) {
        let pause = -(1.0 - self.random.f64()).ln() / self.calls_per_second;
        self.put(now + Duration::from_secs_f64(pause), Event::Call(node));
    }

    fn way(&mut self) -> Duration {
        Duration::from_millis(self.random.u64(1..=20))
    }

    fn play(&mut self, until: Timestamp) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= until {
                return;
            }
            self.take_place(event, now);
        }
    }

    fn take_place(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Call(node) => {
                self.next_call(node, now);
                if self.nodes[node].wait_left(&self.id, now).is_none() {
                    self.nodes[node].note_sent(&self.id, now);
                    let way = self.way();
                    self.put(now + way, Event::Arrive(node, now));
                }
            }
            Event::Arrive(node, sent_at) => {
                self.arrivals.push((now, node));
                let thousandths = self.need.contains(&now).then_some((self.limit * 1e3) as u32);
                let took = Duration::from_millis(self.random.u64(1..=400));
                self.put(now + took, Event::Answer { node, sent_at, thousandths });
            }
            Event::Answer { node, sent_at, thousandths } => self.hear_answer(node, sent_at, thousandths, now),
            Event::Tell(node) => {
                self.put(now + Duration::from_secs(1), Event::Tell(node));
                let told = self.nodes[node].some(&mut self.random, now);
                let peer = self.random.usize(..self.nodes.len());
                self.send(&told, peer, now);
            }
            Event::Hear { node, thousandths, age_millis } => {
                let limit = thousandths.map(|thousandths| rate(f64::from(thousandths) / 1e3));
                let told = AnnouncedLimit { back_end: self.id.clone(), limit, age_millis };
                let notice = LimitNotice { sender: address(0), limits: vec![told] };
                self.nodes[node].receive(notice, now);
            }
        }
    }

    fn hear_answer(&mut self, node: usize, sent_at: Timestamp, thousandths: Option<u32>, now: Timestamp) {
        let is_news = match thousandths {
            Some(thousandths) => {
                self.heard_at[node].get_or_insert(now);
                let heard = self.nodes[node].name(&self.id, rate(f64::from(thousandths) / 1e3), now);
                heard.is_some_and(|heard| heard.begins)
            }
            None => self.nodes[node].name_none(&self.id, sent_at),
        };
        if is_news {
            let told = self.nodes[node].told([&self.id], now);
            (0..self.nodes.len()).for_each(|peer| self.send(&told, peer, now));
        }
    }

    fn send(&mut self, told: &[AnnouncedLimit], peer: usize, now: Timestamp) {
        for told in told {
            if self.random.f64() >= self.loss {
                let thousandths = told.limit.map(|limit| (limit.as_per_second() * 1e3) as u32);
                let way = self.way();
                self.put(now + way, Event::Hear { node: peer, thousandths, age_millis: told.age_millis });
            }
        }
    }

    /// The requests of nodes that had heard the limit, in each span that ends with one of them while the limit binds.
    fn spans(&self) -> impl Iterator<Item = usize> {
        let heard = |(at, node): &&(Timestamp, usize)| {
            self.heard_at[*node].is_some_and(|heard_at| at.since(heard_at) >= HEARD_AGO)
        };
        let counted: Vec<Timestamp> = self.arrivals.iter().filter(heard).map(|(at, _)| *at).collect();
        let binds = self.need.start + BINDS_AFTER..self.need.end;
        let ends = counted.clone().into_iter().filter(move |at| binds.contains(at));
        ends.map(move |end| counted.iter().filter(|at| **at <= end && end.since(**at) < SPAN).count())
    }

    fn arrived_between(&self, from: Timestamp, until: Timestamp) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from && *at < until).count()
    }
}

/// Nodes of any number, one engine in need, and callers that would send it ten times what it takes. Each node knows most of the others, and one
/// notice in twenty is lost.
#[test]
fn nodes_together_keep_within_a_limit_and_use_it() {
    for (count, limit) in
        [(1, 2.6), (3, 0.1), (7, 3.1), (7, 0.5), (9, 12.5), (63, 3.0), (88, 0.4), (330, 3.3), (330, 25.0)]
    {
        for seed in 1..=10 {
            let calls_per_second = f64::max(10.0 * limit, 5.0);
            let mut world = World::new(seed, count, limit, calls_per_second / count as f64);
            world.play(world.need.end);
            let allowed = (EXCESS_FACTOR * limit * SPAN.as_secs_f64() + EXCESS) as usize;
            let most = world.spans().max().unwrap_or(0);
            assert!(most <= allowed, "{count} nodes, limit {limit}, seed {seed}: {most} in a span, {allowed} allowed");
            let from = world.need.start + BINDS_AFTER;
            let got = world.arrived_between(from, world.need.end) as f64;
            let could = limit * world.need.end.since(from).as_secs_f64();
            // Of many nodes few share the limit, and each of them is asked seldom.
            if count <= 9 && limit >= 0.5 {
                assert!(got >= USED_LEAST * could, "{count} nodes, limit {limit}, seed {seed}: {got} of {could}");
            }
        }
    }
}

/// The limit ends: all nodes send again, also those that had no part in it.
#[test]
fn a_limit_ends_at_all_nodes_when_the_back_end_no_longer_names_it() {
    for (count, limit) in [(1, 2.6), (7, 3.1), (63, 3.0), (330, 3.3)] {
        for seed in 1..=10 {
            let calls_per_second = 40.0;
            let mut world = World::new(seed, count, limit, calls_per_second / count as f64);
            let settled = world.need.end + Duration::from_secs(10);
            let end = settled + Duration::from_secs(10);
            world.play(end);
            let got = world.arrived_between(settled, end) as f64;
            let asked = calls_per_second * end.since(settled).as_secs_f64();
            assert!(got >= 0.8 * asked, "{count} nodes, limit {limit}, seed {seed}: {got} of {asked}");
        }
    }
}

/// With no word from anyone a limit is forgotten, and one node asks again.
#[test]
fn a_limit_that_nobody_hears_named_is_forgotten() {
    let id = BackEndId::from("in-need");
    let mut limits = BackEndLimits::default();
    limits.set_nodes(SharingNodes { own: Some(address(1)), peers: (2..90).map(address).collect(), count: 89 });
    limits.name(&id, rate(0.001), START);
    limits.tidy(after(LIMIT_FORGOTTEN) - Duration::from_millis(1));
    assert!(limits.wait_left(&id, after(LIMIT_FORGOTTEN)).is_some());
    limits.tidy(after(LIMIT_FORGOTTEN));
    assert_eq!(limits.wait_left(&id, after(LIMIT_FORGOTTEN)), None);
}

/// Answers overtake each other: one to a request that was sent before the word shows nothing.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let id = BackEndId::from("in-need");
    let mut limits = BackEndLimits::default();
    assert_eq!(limits.name(&id, rate(2.0), START), Some(LimitChange { limit: rate(2.0), begins: true }));
    assert_eq!(limits.name(&id, rate(2.0), START), None);
    assert_eq!(limits.name(&id, rate(3.0), START), Some(LimitChange { limit: rate(3.0), begins: false }));
    assert!(!limits.name_none(&id, START - Duration::from_millis(1)));
    assert!(!limits.name_none(&id, after(LIFT_AFTER) - Duration::from_millis(1)));
    assert!(limits.name_none(&id, after(LIFT_AFTER)));
    assert_eq!(limits.wait_left(&id, after(LIFT_AFTER)), None);
    assert!(!limits.name_none(&id, after(LIFT_AFTER)), "it has none");
}

/// A word of the back end, said at a moment and heard later.
#[derive(Clone, Copy, Debug)]
struct Word {
    said_at: Timestamp,
    limit: Option<RequestRate>,
}

/// Words of one back end reach two nodes in any order, some of them twice: both believe what it said last.
fn the_last_word_counts(unstructured: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let id = BackEndId::from("in-need");
    let count = unstructured.int_in_range(1..=8)?;
    let mut words = Vec::new();
    for number in 1..=count {
        let limit = unstructured.ratio(2, 3)?.then(|| rate(number as f64));
        words.push(Word { said_at: after(Duration::from_millis(number * 700)), limit });
    }
    let last = words[words.len() - 1];
    let now = last.said_at + Duration::from_millis(10);
    for _ in 0..2 {
        let mut limits = BackEndLimits::default();
        let mut order = words.clone();
        for index in (1..order.len()).rev() {
            order.swap(index, unstructured.int_in_range(0..=index)?);
        }
        order.push(order[0]);
        for word in order {
            let age_millis = now.since(word.said_at).as_millis() as u32;
            let told = AnnouncedLimit { back_end: id.clone(), limit: word.limit, age_millis };
            limits.receive(LimitNotice { sender: address(1), limits: vec![told] }, now);
        }
        let told = limits.told([&id], now);
        assert_eq!(told, [AnnouncedLimit { back_end: id.clone(), limit: last.limit, age_millis: 10 }]);
    }
    Ok(())
}

#[test]
fn nodes_believe_what_a_back_end_said_last_in_whatever_order_it_reaches_them() {
    for seed in 1..=300 {
        arbtest::arbtest(the_last_word_counts).seed(seed << 32 | 0x100);
    }
}

#[test]
fn some_limits_fit_one_datagram_also_under_long_names() {
    let mut limits = BackEndLimits::default();
    for number in 0..20 {
        let id = BackEndId::of_life(BackEndName::new(format!("{number:0100}")), Some(StartMoment(number)));
        limits.name(&id, rate(2.5), START);
    }
    let some = limits.some(&mut fastrand::Rng::with_seed(1), after(Duration::from_secs(1)));
    assert_eq!(some.len(), LimitNotice::LIMITS_MAXIMUM);
    let notice = PeerNotice::Limits(LimitNotice { sender: address(1), limits: some });
    let bytes = notice.write_to_vec().expect("it can be written");
    assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
}

/// What a peer tells that went wrong on its way, or is old, changes nothing.
#[test]
fn news_that_are_too_old_or_too_many_are_not_taken_in() {
    let mut limits = BackEndLimits::default();
    let told = |number: u64, age_millis| AnnouncedLimit {
        back_end: BackEndId::of_life(BackEndName::new("many"), Some(StartMoment(number))),
        limit: Some(rate(1.0)),
        age_millis,
    };
    let old = LimitNotice { sender: address(1), limits: vec![told(1, u32::MAX), told(2, 60_000)] };
    assert_eq!(limits.receive(old, START), []);
    let many = LimitNotice { sender: address(1), limits: (0..100).map(|number| told(number, 5)).collect() };
    assert_eq!(limits.receive(many, START).len(), LimitNotice::LIMITS_MAXIMUM);
}
