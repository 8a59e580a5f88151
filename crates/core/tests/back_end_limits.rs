//! Limits of overloaded back ends, shared by nodes without coordination.

mod support {
    pub mod relay_fixture;
}

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use havengate_core::back_ends::{
    AnnouncedLimit, BackEndLimits, LIFT_DELAY, LIMIT_EXPIRY, LimitChange, LimitNotice, RequestRate, SharingNodes,
};
use havengate_core::relay::PeerNotice;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, BackEndName, StartMoment};
use speedy::Writable;

const START: Timestamp = Timestamp::from_millis(1_000_000);

/// The platform's bounds: the limit is enforced this long after its first announcement, over spans of this length, for
/// nodes that received it at least this long ago.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);
const RECEIVED_AGO: Duration = Duration::from_millis(500);

/// The requests that a back end may get in a span beyond its limit, as a factor and as an absolute number.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS: f64 = 5.0;

/// The share of its limit that a back end gets at least while callers request more than that at each node, so that its
/// capacity is not wasted.
const UTILIZATION_MINIMUM: f64 = 0.6;

fn after(duration: Duration) -> Timestamp {
    START + duration
}

fn address(number: usize) -> Address {
    Address(SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_000)))
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).expect("a rate")
}

/// The view of node `own` among `count` nodes; each other node is missing from it with probability `unknown`.
fn nodes_known_to(own: usize, count: usize, unknown: f64, random: &mut fastrand::Rng) -> SharingNodes {
    let peers = (0..count).filter(|number| *number != own && random.f64() >= unknown).map(address).collect();
    SharingNodes { own: Some(address(own)), peers, count: 1 }
}

/// An event of the simulation in [`World`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends this node a request.
    Call(usize),
    /// A request that this node sent at this time reaches the back end.
    Arrive(usize, Timestamp),
    /// The answer to a request sent at `sent_at` reaches its node, with the limit that it announces.
    Answer { node: usize, sent_at: Timestamp, thousandths: Option<u32> },
    /// This node announces limits to one peer.
    Announce(usize),
    /// A notice of a limit reaches this node.
    Receive { node: usize, thousandths: Option<u32>, age_millis: u32 },
}

/// A simulation of a back end that is overloaded for a while, and of nodes whose callers all use it.
struct World {
    nodes: Vec<BackEndLimits>,
    /// When an answer that announced a limit first reached each node.
    received_at: Vec<Option<Timestamp>>,
    id: BackEndId,
    limit: f64,
    overload: std::ops::Range<Timestamp>,
    calls_per_second: f64,
    loss: f64,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    sequence: u64,
    random: fastrand::Rng,
    /// The time and the node of each request that reached the back end.
    arrivals: Vec<(Timestamp, usize)>,
}

impl World {
    fn new(seed: u64, count: usize, limit: f64, calls_per_second: f64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let nodes = (0..count).map(|own| {
            let mut limits = BackEndLimits::default();
            limits.set_nodes(nodes_known_to(own, count, 0.05, &mut random));
            limits
        });
        let nodes = nodes.collect();
        let overload = after(Duration::from_secs(5))..after(Duration::from_secs(45));
        let received_at = vec![None; count];
        let id = BackEndId::from("in-need");
        let mut world = World {
            nodes,
            received_at,
            id,
            limit,
            overload,
            calls_per_second,
            loss: 0.05,
            events: BinaryHeap::new(),
            sequence: 0,
            random,
            arrivals: Vec::new(),
        };
        for node in 0..count {
            world.schedule_call(node, START);
            let pause = Duration::from_millis(world.random.u64(0..1_000));
            world.schedule(START + pause, Event::Announce(node));
        }
        world
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_call(&mut self, node: usize, now: Timestamp) {
        let pause = -(1.0 - self.random.f64()).ln() / self.calls_per_second;
        self.schedule(now + Duration::from_secs_f64(pause), Event::Call(node));
    }

    fn network_delay(&mut self) -> Duration {
        Duration::from_millis(self.random.u64(1..=20))
    }

    fn run_until(&mut self, until: Timestamp) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= until {
                return;
            }
            self.handle(event, now);
        }
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Call(node) => {
                self.schedule_call(node, now);
                if self.nodes[node].wait_left(&self.id, now).is_none() {
                    self.nodes[node].record_sent(&self.id, now);
                    let network_delay = self.network_delay();
                    self.schedule(now + network_delay, Event::Arrive(node, now));
                }
            }
            Event::Arrive(node, sent_at) => {
                self.arrivals.push((now, node));
                let thousandths = self.overload.contains(&now).then_some((self.limit * 1e3) as u32);
                let took = Duration::from_millis(self.random.u64(1..=400));
                self.schedule(now + took, Event::Answer { node, sent_at, thousandths });
            }
            Event::Answer { node, sent_at, thousandths } => self.receive_answer(node, sent_at, thousandths, now),
            Event::Announce(node) => {
                self.schedule(now + Duration::from_secs(1), Event::Announce(node));
                let announced = self.nodes[node].sample(&mut self.random, now);
                let peer = self.random.usize(..self.nodes.len());
                self.send(&announced, peer, now);
            }
            Event::Receive { node, thousandths, age_millis } => {
                let limit = thousandths.map(|thousandths| rate(f64::from(thousandths) / 1e3));
                let announced = AnnouncedLimit { back_end: self.id.clone(), limit, age_millis };
                let notice = LimitNotice { sender: address(0), limits: vec![announced] };
                self.nodes[node].receive(notice, now);
            }
        }
    }

    fn receive_answer(&mut self, node: usize, sent_at: Timestamp, thousandths: Option<u32>, now: Timestamp) {
        let is_change = match thousandths {
            Some(thousandths) => {
                self.received_at[node].get_or_insert(now);
                let received = self.nodes[node].record_limit(&self.id, rate(f64::from(thousandths) / 1e3), now);
                received.is_some_and(|received| received.is_new)
            }
            None => self.nodes[node].record_no_limit(&self.id, sent_at),
        };
        if is_change {
            let announced = self.nodes[node].announcements([&self.id], now);
            (0..self.nodes.len()).for_each(|peer| self.send(&announced, peer, now));
        }
    }

    fn send(&mut self, announced: &[AnnouncedLimit], peer: usize, now: Timestamp) {
        for announced in announced {
            if self.random.f64() >= self.loss {
                let thousandths = announced.limit.map(|limit| (limit.as_per_second() * 1e3) as u32);
                let network_delay = self.network_delay();
                self.schedule(
                    now + network_delay,
                    Event::Receive { node: peer, thousandths, age_millis: announced.age_millis },
                );
            }
        }
    }

    /// For each request while the limit is enforced, the number of requests in the span that ends with it. Only
    /// requests of nodes that had received the limit count.
    fn spans(&self) -> impl Iterator<Item = usize> {
        let received = |(at, node): &&(Timestamp, usize)| {
            self.received_at[*node].is_some_and(|received_at| at.since(received_at) >= RECEIVED_AGO)
        };
        let counted: Vec<Timestamp> = self.arrivals.iter().filter(received).map(|(at, _)| *at).collect();
        let enforced = self.overload.start + ENFORCED_AFTER..self.overload.end;
        let ends = counted.clone().into_iter().filter(move |at| enforced.contains(at));
        ends.map(move |end| counted.iter().filter(|at| **at <= end && end.since(**at) < SPAN).count())
    }

    fn arrived_between(&self, from: Timestamp, until: Timestamp) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from && *at < until).count()
    }
}

/// Runs various numbers of nodes with one overloaded engine and callers that request ten times its limit. Each node
/// knows most of the others, and one notice in twenty is lost.
#[test]
fn nodes_share_a_limit_without_exceeding_or_wasting_it() {
    for (count, limit) in
        [(1, 2.6), (3, 0.1), (7, 3.1), (7, 0.5), (9, 12.5), (63, 3.0), (88, 0.4), (330, 3.3), (330, 25.0)]
    {
        for seed in 1..=10 {
            let calls_per_second = f64::max(10.0 * limit, 5.0);
            let mut world = World::new(seed, count, limit, calls_per_second / count as f64);
            world.run_until(world.overload.end);
            let allowed = (EXCESS_FACTOR * limit * SPAN.as_secs_f64() + EXCESS) as usize;
            let most = world.spans().max().unwrap_or(0);
            assert!(
                most <= allowed,
                "{count} nodes, limit {limit}, seed {seed}: {most} requests in a span, {allowed} allowed"
            );
            let from = world.overload.start + ENFORCED_AFTER;
            let got = world.arrived_between(from, world.overload.end) as f64;
            let capacity = limit * world.overload.end.since(from).as_secs_f64();
            // With many nodes, few of them share the limit, and each gets few requests.
            if count <= 9 && limit >= 0.5 {
                assert!(
                    got >= UTILIZATION_MINIMUM * capacity,
                    "{count} nodes, limit {limit}, seed {seed}: {got} of {capacity}"
                );
            }
        }
    }
}

/// After the limit is lifted, all nodes send again, including those that had no share of it.
#[test]
fn a_limit_is_lifted_at_all_nodes_when_the_back_end_stops_announcing_it() {
    for (count, limit) in [(1, 2.6), (7, 3.1), (63, 3.0), (330, 3.3)] {
        for seed in 1..=10 {
            let calls_per_second = 40.0;
            let mut world = World::new(seed, count, limit, calls_per_second / count as f64);
            let settled = world.overload.end + Duration::from_secs(10);
            let end = settled + Duration::from_secs(10);
            world.run_until(end);
            let got = world.arrived_between(settled, end) as f64;
            let offered = calls_per_second * end.since(settled).as_secs_f64();
            assert!(got >= 0.8 * offered, "{count} nodes, limit {limit}, seed {seed}: {got} of {offered}");
        }
    }
}

/// Without further announcements a limit expires, so that a node sends to the back end again.
#[test]
fn a_limit_that_is_not_announced_again_expires() {
    let id = BackEndId::from("in-need");
    let mut limits = BackEndLimits::default();
    limits.set_nodes(SharingNodes { own: Some(address(1)), peers: (2..90).map(address).collect(), count: 89 });
    limits.record_limit(&id, rate(0.001), START);
    limits.tidy(after(LIMIT_EXPIRY) - Duration::from_millis(1));
    assert!(limits.wait_left(&id, after(LIMIT_EXPIRY)).is_some());
    limits.tidy(after(LIMIT_EXPIRY));
    assert_eq!(limits.wait_left(&id, after(LIMIT_EXPIRY)), None);
}

/// Answers arrive out of order: an answer to a request sent before the announcement doesn't lift the limit.
#[test]
fn only_an_answer_to_a_later_request_lifts_a_limit() {
    let id = BackEndId::from("in-need");
    let mut limits = BackEndLimits::default();
    assert_eq!(limits.record_limit(&id, rate(2.0), START), Some(LimitChange { limit: rate(2.0), is_new: true }));
    assert_eq!(limits.record_limit(&id, rate(2.0), START), None);
    assert_eq!(limits.record_limit(&id, rate(3.0), START), Some(LimitChange { limit: rate(3.0), is_new: false }));
    assert!(!limits.record_no_limit(&id, START - Duration::from_millis(1)));
    assert!(!limits.record_no_limit(&id, after(LIFT_DELAY) - Duration::from_millis(1)));
    assert!(limits.record_no_limit(&id, after(LIFT_DELAY)));
    assert_eq!(limits.wait_left(&id, after(LIFT_DELAY)), None);
    assert!(!limits.record_no_limit(&id, after(LIFT_DELAY)), "the limit is lifted already");
}

/// A statement of the back end, made at one time and received later.
#[derive(Clone, Copy, Debug)]
struct Statement {
    announced_at: Timestamp,
    limit: Option<RequestRate>,
}

/// Statements of one back end reach two nodes in any order, one of them twice: both nodes keep the latest one.
fn latest_statement_wins(unstructured: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let id = BackEndId::from("in-need");
    let count = unstructured.int_in_range(1..=8)?;
    let mut statements = Vec::new();
    for number in 1..=count {
        let limit = unstructured.ratio(2, 3)?.then(|| rate(number as f64));
        statements.push(Statement { announced_at: after(Duration::from_millis(number * 700)), limit });
    }
    let last = statements[statements.len() - 1];
    let now = last.announced_at + Duration::from_millis(10);
    for _ in 0..2 {
        let mut limits = BackEndLimits::default();
        let mut order = statements.clone();
        for index in (1..order.len()).rev() {
            order.swap(index, unstructured.int_in_range(0..=index)?);
        }
        order.push(order[0]);
        for statement in order {
            let age_millis = now.since(statement.announced_at).as_millis() as u32;
            let announced = AnnouncedLimit { back_end: id.clone(), limit: statement.limit, age_millis };
            limits.receive(LimitNotice { sender: address(1), limits: vec![announced] }, now);
        }
        let announced = limits.announcements([&id], now);
        assert_eq!(announced, [AnnouncedLimit { back_end: id.clone(), limit: last.limit, age_millis: 10 }]);
    }
    Ok(())
}

#[test]
fn nodes_keep_the_latest_statement_regardless_of_arrival_order() {
    for seed in 1..=300 {
        arbtest::arbtest(latest_statement_wins).seed(seed << 32 | 0x100);
    }
}

#[test]
fn a_limit_notice_fits_one_datagram_with_long_names() {
    let mut limits = BackEndLimits::default();
    for number in 0..20 {
        let id = BackEndId::of_incarnation(BackEndName::new(format!("{number:0100}")), Some(StartMoment(number)));
        limits.record_limit(&id, rate(2.5), START);
    }
    let sampled = limits.sample(&mut fastrand::Rng::with_seed(1), after(Duration::from_secs(1)));
    assert_eq!(sampled.len(), LimitNotice::LIMITS_MAXIMUM);
    let notice = PeerNotice::Limits(LimitNotice { sender: address(1), limits: sampled });
    let bytes = notice.write_to_vec().expect("it can be encoded");
    assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
}

/// A corrupted or expired notice of a peer changes nothing.
#[test]
fn expired_or_excess_limits_in_a_notice_are_ignored() {
    let mut limits = BackEndLimits::default();
    let announced = |number: u64, age_millis| AnnouncedLimit {
        back_end: BackEndId::of_incarnation(BackEndName::new("many"), Some(StartMoment(number))),
        limit: Some(rate(1.0)),
        age_millis,
    };
    let old = LimitNotice { sender: address(1), limits: vec![announced(1, u32::MAX), announced(2, 60_000)] };
    assert_eq!(limits.receive(old, START), []);
    let many = LimitNotice { sender: address(1), limits: (0..100).map(|number| announced(number, 5)).collect() };
    assert_eq!(limits.receive(many, START).len(), LimitNotice::LIMITS_MAXIMUM);
}
