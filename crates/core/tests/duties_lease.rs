//! Tests of the lease that authorizes orders to engines: checks simulated histories of concurrent nodes with failures of the
//! store and of machines.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::duties::{HolderId, Lease, LeaseConfig, LeaseRecord, LeaseStep, LeaseWrite};
use havengate_core::store::{ObjectVersion, Revision};
use havengate_core::time::Timestamp;
use havengate_core::world::NodeName;

const TICK: Duration = Duration::from_millis(50);
const RUN: Duration = Duration::from_secs(120);

#[derive(Default)]
struct Store {
    record: Option<LeaseRecord>,
    revision: u64,
}

impl Store {
    fn version(&self) -> ObjectVersion {
        ObjectVersion { revision: self.record.is_some().then_some(Revision(self.revision)), ..ObjectVersion::default() }
    }

    /// Applies a write if its condition holds.
    fn apply(&mut self, write: &LeaseWrite) -> Option<Revision> {
        if write.expected != self.version() {
            return None;
        }
        self.revision += 1;
        self.record = Some(write.record.clone());
        Some(Revision(self.revision))
    }
}

/// A call whose answer is in flight, or whose effect is.
enum InFlight {
    /// A read that was answered with this record and version.
    Read { record: Option<LeaseRecord>, version: ObjectVersion },
    /// A write that was answered.
    Written { write: LeaseWrite, revision: Option<Revision>, sent: Timestamp },
    /// A call without an answer.
    Lost,
}

struct Node {
    id: HolderId,
    lease: Lease,
    /// The offset of the node's clock from the true time.
    origin: Duration,
    call: Option<(u64, InFlight)>,
    frozen_until: u64,
    wants_lease: bool,
}

impl Node {
    fn new(number: u64, life: u64, origin: Duration) -> Self {
        let id = HolderId { node: NodeName::new(format!("node-{number}")), life };
        Node { lease: lease(id.clone()), id, origin, call: None, frozen_until: 0, wants_lease: true }
    }

    fn clock(&self, tick: u64) -> Timestamp {
        Timestamp::ZERO + self.origin + TICK * tick as u32
    }
}

fn config() -> LeaseConfig {
    LeaseConfig::default()
}

fn lease(id: HolderId) -> Lease {
    Lease::new(config(), id)
}

struct Order {
    tick: u64,
    holder: HolderId,
    term: Term,
}

/// Simulates nodes that all want to send orders, with a store that loses answers, applies writes late and has an outage.
fn run(seed: u64, nodes_count: u64) -> Vec<Order> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut store = Store::default();
    let mut late: Vec<(u64, LeaseWrite)> = Vec::new();
    let mut orders = Vec::new();
    let mut nodes: Vec<Node> = (0..nodes_count)
        .map(|number| Node::new(number, seed + number, Duration::from_millis(random.u64(..90_000))))
        .collect();
    let outage_start = random.u64(200..1_500);
    for tick in 0..(RUN.as_millis() / TICK.as_millis()) as u64 {
        let is_store_down = (outage_start..outage_start + 160).contains(&tick);
        late.retain(|(due, write)| {
            if *due <= tick {
                store.apply(write);
            }
            *due > tick
        });
        for (number, node) in nodes.iter_mut().enumerate() {
            if random.u32(..2_000) == 0 {
                node.frozen_until = tick + random.u64(1..300);
            }
            if random.u32(..3_000) == 0 {
                *node = Node::new(number as u64, random.u64(..), node.origin);
            }
            if node.frozen_until > tick {
                continue;
            }
            node.wants_lease = if random.u32(..60) == 0 { !node.wants_lease } else { node.wants_lease };
            step(node, tick, &mut store, is_store_down, &mut late, &mut random, &mut orders);
        }
    }
    orders
}

fn step(
    node: &mut Node,
    tick: u64,
    store: &mut Store,
    is_store_down: bool,
    late: &mut Vec<(u64, LeaseWrite)>,
    random: &mut fastrand::Rng,
    orders: &mut Vec<Order>,
) {
    let now = node.clock(tick);
    if let Some((due, _)) = &node.call {
        if *due > tick {
            return;
        }
        match node.call.take().map(|(_, call)| call) {
            Some(InFlight::Read { record, version }) => node.lease.observe(record, version, now),
            Some(InFlight::Written { write, revision: Some(revision), sent }) => {
                node.lease.written(write, revision, sent, now);
            }
            Some(InFlight::Written { revision: None, .. } | InFlight::Lost) => node.lease.require_reread(),
            None => {}
        }
    }
    if !node.wants_lease {
        return;
    }
    let answered_at = tick + random.u64(1..12);
    match node.lease.step(now) {
        LeaseStep::Order(term) => {
            orders.push(Order { tick, holder: node.id.clone(), term });
            if random.u32(..40) == 0 {
                node.lease.require_reread();
            }
            if random.u32(..400) == 0 {
                node.lease.fenced(term);
            }
        }
        LeaseStep::Wait(_) => {}
        LeaseStep::Read if is_store_down => node.call = Some((answered_at, InFlight::Lost)),
        LeaseStep::Read => {
            let (record, version) = (store.record.clone(), store.version());
            node.call = Some((answered_at, InFlight::Read { record, version }));
        }
        LeaseStep::Write(write) => {
            let call = match random.u32(..10) {
                // The outcome is unknown: the write never takes effect, or takes effect seconds later.
                0 => InFlight::Lost,
                1 => {
                    late.push((tick + random.u64(1..240), write));
                    InFlight::Lost
                }
                // The write takes effect, but the answer is lost.
                2 if !is_store_down => {
                    store.apply(&write);
                    InFlight::Lost
                }
                _ if is_store_down => InFlight::Lost,
                _ => InFlight::Written { revision: store.apply(&write), write, sent: now },
            };
            node.call = Some((answered_at, call));
        }
    }
}

#[test]
fn two_holders_never_send_orders_within_the_hand_over_time() {
    for seed in 0..300 {
        let orders = run(seed, 2 + seed % 4);
        for pair in orders.windows(2).filter(|pair| pair[0].holder != pair[1].holder) {
            let elapsed = TICK * (pair[1].tick - pair[0].tick) as u32;
            // Two processes of one node never run at the same time, so their orders only have to be apart by the time that
            // an order may be in flight.
            let is_one_node = pair[0].holder.node == pair[1].holder.node;
            let minimum = if is_one_node { config().order_time_limit } else { config().hand_over };
            assert!(elapsed >= minimum, "seed {seed}: two holders sent orders {elapsed:?} apart");
        }
    }
}

#[test]
fn a_term_has_one_holder_and_terms_never_decrease() {
    for seed in 300..600 {
        let orders = run(seed, 2 + seed % 4);
        let mut holders: BTreeMap<Term, HolderId> = BTreeMap::new();
        let mut highest = Term(0);
        for order in orders {
            let holder = holders.entry(order.term).or_insert(order.holder.clone());
            assert_eq!(*holder, order.holder, "seed {seed}: two holders of {:?}", order.term);
            assert!(order.term >= highest, "seed {seed}: {:?} after {highest:?}", order.term);
            highest = order.term;
        }
    }
}

/// When each order arrives. A process sends one at a time: the next one once the previous one was answered, or was
/// withdrawn at its time limit. Orders that it would have sent meanwhile are left out.
fn arrivals(orders: Vec<Order>, random: &mut fastrand::Rng) -> Vec<(Duration, Order)> {
    let limit = config().order_time_limit;
    let mut busy_until: Vec<(HolderId, Duration)> = Vec::new();
    let mut arrivals = Vec::new();
    for order in orders {
        let sent = TICK * order.tick as u32;
        if busy_until.iter().any(|(holder, until)| *holder == order.holder && sent < *until) {
            continue;
        }
        let arrived = sent + limit.mul_f64(random.f64());
        let ended = if random.u32(..10) == 0 { sent + limit } else { arrived };
        busy_until.retain(|(holder, _)| *holder != order.holder);
        busy_until.push((order.holder.clone(), ended));
        arrivals.push((arrived, order));
    }
    arrivals.sort_by_key(|(arrived, _)| *arrived);
    arrivals
}

#[test]
fn a_receiver_that_checks_no_terms_sees_no_lower_term_and_no_alternating_nodes() {
    for seed in 700..900 {
        let mut random = fastrand::Rng::with_seed(seed);
        for pair in arrivals(run(seed, 2 + seed % 4), &mut random).windows(2) {
            let [(earlier, first), (later, second)] = pair else { continue };
            assert!(first.term <= second.term, "seed {seed}: {:?} arrived after {:?}", second.term, first.term);
            let elapsed = *later - *earlier;
            let is_one_node = first.holder.node == second.holder.node;
            assert!(is_one_node || elapsed >= config().hand_over, "seed {seed}: two nodes acted {elapsed:?} apart");
        }
    }
}

#[test]
fn orders_continue_despite_lost_answers() {
    for seed in 600..640 {
        let orders = run(seed, 3);
        let last = orders.last().map_or(0, |order| order.tick);
        assert!(last > 1_500, "seed {seed}: the last order was sent at tick {last}");
    }
}

fn record(node: &str, life: u64, term: u64, renewal: u64) -> LeaseRecord {
    LeaseRecord { holder: HolderId { node: NodeName::new(node), life }, term: Term(term), renewal }
}

fn own() -> Lease {
    lease(HolderId { node: NodeName::new("own"), life: 7 })
}

fn at(revision: u64) -> ObjectVersion {
    ObjectVersion::default().at(Revision(revision))
}

const NOW: Timestamp = Timestamp::from_millis(100_000);

#[test]
fn a_new_incarnation_waits_for_the_calls_of_the_previous_one_before_it_takes_the_lease() {
    let mut lease = own();
    lease.observe(Some(record("own", 6, 3, 4)), at(9), NOW);
    assert_eq!(lease.step(NOW), LeaseStep::Wait(config().order_time_limit));
    let LeaseStep::Write(write) = lease.step(NOW + config().order_time_limit) else {
        panic!("no call of the previous incarnation is in flight any more");
    };
    assert_eq!((write.record.term, write.expected), (Term(4), at(9)));
}

#[test]
fn a_process_that_the_record_names_as_holder_renews_before_it_sends_orders() {
    let mut lease = own();
    lease.observe(Some(record("own", 7, 3, 0)), at(9), NOW);
    assert_eq!(lease.may_order(NOW), None);
    let LeaseStep::Write(write) = lease.step(NOW) else {
        panic!("a renewal is the only possible step");
    };
    assert_eq!((write.record.term, write.record.renewal), (Term(3), 1));
    lease.written(write, Revision(10), NOW, NOW + Duration::from_millis(4));
    assert_eq!(lease.may_order(NOW + Duration::from_millis(4)), Some(Term(3)));
}

#[test]
fn the_order_window_starts_when_the_renewal_is_sent() {
    let mut lease = own();
    lease.observe(None, ObjectVersion::default(), NOW);
    let LeaseStep::Write(write) = lease.step(NOW) else {
        panic!("no process holds the lease");
    };
    let late = config().order_window;
    lease.written(write, Revision(1), NOW, NOW + late);
    assert_eq!(lease.may_order(NOW + late), None);
}

#[test]
fn a_term_that_an_engine_refused_is_not_used_again() {
    let mut lease = own();
    lease.observe(None, ObjectVersion::default(), NOW);
    let LeaseStep::Write(write) = lease.step(NOW) else {
        panic!("no process holds the lease");
    };
    lease.written(write.clone(), Revision(1), NOW, NOW);
    lease.fenced(write.record.term);
    assert_eq!(lease.step(NOW), LeaseStep::Read);
    lease.observe(Some(write.record.clone()), at(1), NOW);
    let LeaseStep::Write(next) = lease.step(NOW) else {
        panic!("a process may write its own lease at once");
    };
    assert!(next.record.term > write.record.term);
}

#[test]
fn observing_another_holder_ends_the_authority_at_once() {
    let mut lease = own();
    lease.observe(None, ObjectVersion::default(), NOW);
    let LeaseStep::Write(write) = lease.step(NOW) else {
        panic!("no process holds the lease");
    };
    lease.written(write, Revision(1), NOW, NOW);
    assert!(lease.may_order(NOW).is_some());
    lease.observe(Some(record("other", 1, 2, 0)), at(2), NOW);
    assert_eq!((lease.may_order(NOW), lease.term()), (None, None));
}
