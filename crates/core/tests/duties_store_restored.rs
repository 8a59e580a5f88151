//! Tests of duties over a store that is repeatedly restored from older snapshots: checks simulated histories of concurrent
//! nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::duties::usage::{
    LedgerWrite, UsageConfig, UsageCountsMessage, UsageLedger, UsageReport, UsageReports, UsageStep, UsageTable,
    WindowNumber,
};
use havengate_core::duties::{HolderId, Lease, LeaseConfig, LeaseRecord, LeaseStep, LeaseWrite, Succession};
use havengate_core::store::{ObjectVersion, Revision, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, NodeName};

const TICK: Duration = Duration::from_millis(50);
const TICKS: u64 = 1_200;

/// The maximum age of a snapshot, in ticks.
const SNAPSHOT_AGE_MAXIMUM: u64 = 160;

/// The ticks between two restores in histories without other faults.
const RESTORE_INTERVAL: u64 = 400;

fn era(number: u64) -> StoreEra {
    StoreEra::new(number).expect("an era")
}

const USAGE: UsageConfig = UsageConfig { window_seconds: 2.0, late_seconds: 4.0 };

/// The time of day at the first tick.
const START: Duration = Duration::from_secs(1_700_000_000);

#[derive(Clone)]
struct Object<T> {
    value: Option<T>,
    changed_at: u64,
}

#[derive(Clone)]
struct State {
    lease: Object<LeaseRecord>,
    ledger: Object<UsageLedger>,
    revision: u64,
}

impl State {
    fn empty() -> Self {
        State {
            lease: Object { value: None, changed_at: 0 },
            ledger: Object { value: None, changed_at: 0 },
            revision: 1,
        }
    }
}

/// A write of either object.
#[derive(Clone)]
enum Write {
    Lease(LeaseWrite),
    Ledger(LedgerWrite),
}

impl Write {
    fn expected(&self) -> ObjectVersion {
        match self {
            Write::Lease(write) => write.expected,
            Write::Ledger(write) => write.expected,
        }
    }
}

/// A store that takes a snapshot of itself at each tick.
struct Store {
    era: u64,
    state: State,
    snapshots: Vec<State>,
}

impl Store {
    fn version<T>(&self, object: &Object<T>) -> ObjectVersion {
        ObjectVersion { era: era(self.era), revision: object.value.is_some().then_some(Revision(object.changed_at)) }
    }

    /// Applies a write if its condition holds. The store compares only the revision, not the era.
    fn apply(&mut self, write: &Write) -> Option<Revision> {
        let present = match write {
            Write::Lease(_) => self.version(&self.state.lease),
            Write::Ledger(_) => self.version(&self.state.ledger),
        };
        if write.expected().revision != present.revision {
            return None;
        }
        self.state.revision += 1;
        let changed_at = self.state.revision;
        match write.clone() {
            Write::Lease(write) => self.state.lease = Object { value: Some(write.record), changed_at },
            Write::Ledger(write) => self.state.ledger = Object { value: Some(write.ledger), changed_at },
        }
        Some(Revision(changed_at))
    }

    fn tick(&mut self, random: &mut fastrand::Rng) {
        self.state.revision += u64::from(random.u8(..4) == 0);
        self.snapshots.push(self.state.clone());
    }

    fn restore(&mut self, ticks: u64) {
        let snapshots_left = self.snapshots.len().saturating_sub(ticks as usize).max(1);
        self.snapshots.truncate(snapshots_left);
        self.state = self.snapshots[snapshots_left - 1].clone();
        self.era += 1;
    }
}

/// A call whose answer is in flight.
enum InFlight {
    Lease {
        record: Option<LeaseRecord>,
        version: ObjectVersion,
    },
    Ledger {
        ledger: UsageLedger,
        version: ObjectVersion,
    },
    /// A write that was answered in the era `answered_in`, with the new revision.
    Written {
        write: Write,
        revision: Option<Revision>,
        answered_in: StoreEra,
        sent: Timestamp,
    },
    LeaseLost,
    LedgerLost,
}

struct Node {
    number: u64,
    id: HolderId,
    lease: Lease,
    reports: UsageReports,
    table: UsageTable,
    term: Term,
    origin: Duration,
    /// The newest era that this node knows and since when, and the tick at which it learns of the next one.
    era: StoreEra,
    era_since: Timestamp,
    learns_era_at: u64,
    call: Option<(u64, InFlight)>,
    frozen_until: u64,
    wants_lease: bool,
}

impl Node {
    fn new(number: u64, life: u64, origin: Duration) -> Self {
        let id = HolderId { node: NodeName::new(format!("node-{number}")), life };
        Node {
            number,
            lease: Lease::new(LeaseConfig::default(), id.clone()),
            id,
            reports: UsageReports::default(),
            table: UsageTable::default(),
            term: Term(0),
            origin,
            era: StoreEra::default(),
            era_since: Timestamp::ZERO,
            learns_era_at: 0,
            call: None,
            frozen_until: 0,
            wants_lease: true,
        }
    }

    fn clock(&self, tick: u64) -> Timestamp {
        Timestamp::ZERO + self.origin + TICK * tick as u32
    }

    /// Counts requests of the current window in this node's table only, so that the totals of two nodes differ.
    fn count(&mut self, tick: u64, random: &mut fastrand::Rng) {
        let window = USAGE.window_at(true_time(tick));
        let sender = Address(std::net::SocketAddr::from(([10, 0, 0, self.number as u8], 7_000)));
        let counts = vec![("press".into(), random.u32(1..1_000_000))];
        self.table.receive(&UsageCountsMessage { sender, incarnation: self.id.life, window, counts });
    }

    fn observe_era(&mut self, observed_era: StoreEra, now: Timestamp) {
        if observed_era > self.era {
            (self.era, self.era_since) = (observed_era, now);
            self.lease.record_era(observed_era, now);
        }
    }

    fn apply_answer(&mut self, call: InFlight, tick: u64) {
        let now = self.clock(tick);
        match call {
            InFlight::Lease { version, .. } if version.era < self.era => self.lease.require_reread(),
            InFlight::Ledger { version, .. } if version.era < self.era => self.reports.require_reread(),
            InFlight::Lease { record, version } => {
                self.observe_era(version.era, now);
                self.lease.observe(record, version, now);
            }
            InFlight::Ledger { ledger, version } => {
                self.observe_era(version.era, now);
                let is_first_of_era = self.lease.succession() == Succession::Began;
                let known_for = if is_first_of_era { now.since(self.era_since) } else { Duration::ZERO };
                let unreported = USAGE.first_unreported(true_time(tick).saturating_sub(known_for));
                self.reports.observe_in_era(ledger, version, unreported);
            }
            InFlight::Written { write, revision: Some(revision), answered_in, sent }
                if answered_in == write.expected().era =>
            {
                match write {
                    Write::Lease(write) => self.lease.written(write, revision, sent, now),
                    Write::Ledger(write) => self.reports.written(write, revision),
                }
            }
            InFlight::Written { write, answered_in, .. } => {
                self.observe_era(answered_in, now);
                match write {
                    Write::Lease(_) => self.lease.require_reread(),
                    Write::Ledger(_) => self.reports.require_reread(),
                }
            }
            InFlight::LeaseLost => self.lease.require_reread(),
            InFlight::LedgerLost => self.reports.require_reread(),
        }
    }
}

fn true_time(tick: u64) -> Duration {
    START + TICK * tick as u32
}

struct Order {
    tick: u64,
    holder: HolderId,
    term: Term,
}

struct World {
    random: fastrand::Rng,
    /// Whether outages and restores of the store are the only faults.
    restores_only: bool,
    store: Store,
    down_until: u64,
    late: Vec<(u64, Write)>,
    orders: Vec<Order>,
    reports: Vec<UsageReport>,
}

/// Simulates nodes that want to send orders from time to time, with a store that has outages, is restored from older snapshots,
/// loses answers and applies writes late.
fn run(seed: u64, restores_only: bool) -> World {
    let random = fastrand::Rng::with_seed(seed);
    let store = Store { era: 1, state: State::empty(), snapshots: Vec::new() };
    let (late, orders, reports) = (Vec::new(), Vec::new(), Vec::new());
    let mut world = World { random, restores_only, store, down_until: 0, late, orders, reports };
    let count = 2 + seed % 4;
    let mut nodes: Vec<Node> = (0..count)
        .map(|number| Node::new(number, seed + number, Duration::from_millis(world.random.u64(..90_000))))
        .collect();
    for tick in 0..TICKS {
        world.store.tick(&mut world.random);
        let is_restored =
            if restores_only { tick % RESTORE_INTERVAL == RESTORE_INTERVAL / 2 } else { world.random.u64(..250) == 0 };
        if is_restored {
            let age = world.random.u64(1..SNAPSHOT_AGE_MAXIMUM);
            world.store.restore(age);
            world.down_until = tick + world.random.u64(..60);
            nodes.iter_mut().for_each(|node| node.learns_era_at = world.down_until + world.random.u64(..20));
        }
        let (due, late) = std::mem::take(&mut world.late).into_iter().partition(|(at, _)| *at <= tick);
        world.late = late;
        let due: Vec<(u64, Write)> = due;
        for (_, write) in &due {
            world.store.apply(write);
        }
        for (number, node) in nodes.iter_mut().enumerate() {
            if !restores_only && world.random.u32(..1_500) == 0 {
                node.frozen_until = tick + world.random.u64(1..200);
            }
            if !restores_only && world.random.u32(..1_200) == 0 {
                *node = Node::new(number as u64, world.random.u64(..), node.origin);
            }
            if node.frozen_until <= tick {
                node.count(tick, &mut world.random);
                // Without other faults only the first node wants the lease.
                let toggles = world.random.u32(..60) == 0;
                node.wants_lease = if restores_only { number == 0 } else { node.wants_lease != toggles };
                step(node, tick, &mut world);
            }
        }
    }
    world
}

fn step(node: &mut Node, tick: u64, world: &mut World) {
    let now = node.clock(tick);
    if tick >= node.learns_era_at && tick >= world.down_until {
        node.observe_era(era(world.store.era), now);
    }
    if node.call.as_ref().is_some_and(|(due, _)| *due > tick) {
        return;
    }
    if let Some((_, call)) = node.call.take() {
        node.apply_answer(call, tick);
    }
    if !node.wants_lease {
        return;
    }
    let call = match node.lease.step(now) {
        LeaseStep::Order(term) => act(node, term, tick, world),
        LeaseStep::Wait(_) => None,
        LeaseStep::Write(write) => Some(write_call(node, Write::Lease(write), tick, world)),
        LeaseStep::Read if tick < world.down_until => Some(InFlight::LeaseLost),
        LeaseStep::Read => {
            let object = &world.store.state.lease;
            Some(InFlight::Lease { record: object.value.clone(), version: world.store.version(object) })
        }
    };
    let answered_at = tick + world.random.u64(1..12);
    node.call = call.map(|call| (answered_at, call));
}

/// Sends an order and makes the next step of the reports.
fn act(node: &mut Node, term: Term, tick: u64, world: &mut World) -> Option<InFlight> {
    world.orders.push(Order { tick, holder: node.id.clone(), term });
    if node.term != term {
        node.term = term;
        if node.lease.succession() != Succession::WentOn {
            node.reports.hand_over();
        }
    }
    match node.reports.step(&USAGE, &node.table, true_time(tick)) {
        UsageStep::Idle => None,
        UsageStep::Read if tick < world.down_until => Some(InFlight::LedgerLost),
        UsageStep::Read => {
            let object = &world.store.state.ledger;
            let ledger = object.value.clone().unwrap_or_default();
            Some(InFlight::Ledger { ledger, version: world.store.version(object) })
        }
        UsageStep::Write(write) => Some(write_call(node, Write::Ledger(write), tick, world)),
        UsageStep::Send(report) => {
            node.reports.record_reported(&report);
            if world.random.u8(..5) > 0 {
                node.reports.settle(report.window);
            }
            world.reports.push(report);
            None
        }
    }
}

fn write_call(node: &Node, write: Write, tick: u64, world: &mut World) -> InFlight {
    let unanswered = match write {
        Write::Lease(_) => InFlight::LeaseLost,
        Write::Ledger(_) => InFlight::LedgerLost,
    };
    // A write that is conditional on a previous era isn't sent.
    if write.expected().era < node.era {
        return unanswered;
    }
    let is_store_down = tick < world.down_until;
    match if world.restores_only { 9 } else { world.random.u32(..10) } {
        0 => unanswered,
        // The outcome is unknown: the write takes effect seconds later, perhaps in another era.
        1 => {
            world.late.push((tick + world.random.u64(1..240), write));
            unanswered
        }
        2 if !is_store_down => {
            world.store.apply(&write);
            unanswered
        }
        _ if is_store_down => unanswered,
        _ => {
            let revision = world.store.apply(&write);
            InFlight::Written { revision, answered_in: era(world.store.era), write, sent: node.clock(tick) }
        }
    }
}

/// Describes the first window with two different reports, if there is one.
fn conflicting_reports(reports: &[UsageReport]) -> Option<String> {
    let mut first: BTreeMap<WindowNumber, &UsageReport> = BTreeMap::new();
    for report in reports {
        if *first.entry(report.window).or_insert(report) != report {
            return Some(format!("two reports of window {} differ", report.window.0));
        }
    }
    None
}

/// Describes the first violation in the orders of a history, if there is one.
fn violation(orders: &[Order]) -> Option<String> {
    let mut holders: BTreeMap<Term, &HolderId> = BTreeMap::new();
    let mut highest = Term(0);
    for order in orders {
        if *holders.entry(order.term).or_insert(&order.holder) != &order.holder {
            return Some(format!("two holders of {:?}", order.term));
        }
        if order.term < highest {
            return Some(format!("{:?} after {highest:?}", order.term));
        }
        highest = order.term;
    }
    for pair in orders.windows(2).filter(|pair| pair[0].holder != pair[1].holder) {
        let elapsed = TICK * (pair[1].tick - pair[0].tick) as u32;
        let is_one_node = pair[0].holder.node == pair[1].holder.node;
        let config = LeaseConfig::default();
        let minimum = if is_one_node { config.order_time_limit } else { config.hand_over };
        if elapsed < minimum {
            return Some(format!("two holders sent orders {elapsed:?} apart"));
        }
    }
    None
}

#[test]
fn with_restores_each_term_has_one_holder_and_each_window_one_report() {
    let violation_of = |seed: u64| {
        let world = run(seed, false);
        violation(&world.orders).or_else(|| conflicting_reports(&world.reports)).map(|violation| (seed, violation))
    };
    let violations: Vec<(u64, String)> = (0..10_000).filter_map(violation_of).collect();
    assert!(
        violations.is_empty(),
        "{} histories violate an invariant, the first is {:?}",
        violations.len(),
        violations.first()
    );
}

#[test]
fn with_restores_orders_continue() {
    let lasts = (5_000..5_040).map(|seed| run(seed, false).orders.last().map_or(0, |order| order.tick));
    let ordering = lasts.filter(|last| *last > TICKS - 400).count();
    assert!(ordering >= 36, "in {ordering} of 40 histories a node sends orders in the last 20 s");
}

#[test]
fn a_holder_that_survives_restores_skips_no_window() {
    for seed in 0..200 {
        let windows: BTreeSet<u64> = run(seed, true).reports.iter().map(|report| report.window.0).collect();
        let (first, last) = (windows.first().expect("a report"), windows.last().expect("a report"));
        assert_eq!(windows.len() as u64, last - first + 1, "seed {seed}: {windows:?}");
    }
}
