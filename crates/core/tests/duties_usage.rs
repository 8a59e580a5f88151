//! Tests of usage reports: many nodes count, and each window gets one report despite lost or late messages and killed nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::duties::usage::{
    LedgerWrite, UsageAnnouncements, UsageConfig, UsageCounts, UsageCountsMessage, UsageLedger, UsageReport,
    UsageReports, UsageStep, UsageTable, WindowNumber,
};
use havengate_core::store::{ObjectVersion, Revision};
use havengate_core::world::{Address, TenantName};

const CONFIG: UsageConfig = UsageConfig { window_seconds: 5.0, late_seconds: 10.0 };

/// The first window of all histories, numbered as in the present day.
const FIRST: u64 = 350_000_000;

fn address(number: usize) -> Address {
    Address(SocketAddr::from(([10, 0, 0, number as u8], 8_000)))
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(FIRST as f64 * CONFIG.window_seconds + seconds)
}

fn message(sender: usize, incarnation: u64, window: u64, counts: &[(&str, u32)]) -> UsageCountsMessage {
    let counts = counts.iter().map(|(tenant, count)| ((*tenant).into(), *count)).collect();
    UsageCountsMessage { sender: address(sender), incarnation, window: WindowNumber(window), counts }
}

#[test]
fn windows_are_numbered_from_the_start_of_1970() {
    assert_eq!(CONFIG.window_at(Duration::from_secs(1_767_225_600)), WindowNumber(353_445_120));
    assert_eq!(CONFIG.end_of(WindowNumber(1)), Duration::from_secs(10));
    assert_eq!(
        CONFIG.last_settled(at(5.0)),
        Some(WindowNumber(FIRST - 1)),
        "the counts of the window that has just ended are in flight"
    );
    assert_eq!(CONFIG.last_settled(at(8.0)), Some(WindowNumber(FIRST)));
    assert_eq!(CONFIG.last_settled(Duration::ZERO), None);
}

#[test]
fn settings_out_of_range_are_rejected() {
    for seconds in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e9] {
        assert!(UsageConfig { window_seconds: seconds, ..CONFIG }.validate().is_err());
        assert!(UsageConfig { late_seconds: seconds, ..CONFIG }.validate().is_err());
    }
    assert_eq!(CONFIG.validate(), Ok(()));
}

#[test]
fn repeated_late_and_reordered_counts_are_applied_once() {
    let messages = [
        message(1, 7, FIRST, &[("press", 2)]),
        message(1, 7, FIRST, &[("press", 5), ("school", 1)]),
        message(1, 8, FIRST, &[("press", 1)]),
        message(2, 9, FIRST, &[("press", 4)]),
    ];
    for seed in 1..=50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut table = UsageTable::default();
        let mut order: Vec<&UsageCountsMessage> = messages.iter().chain(&messages).collect();
        random.shuffle(&mut order);
        for message in order {
            table.receive(message);
        }
        let totals = table.totals(WindowNumber(FIRST));
        assert_eq!(totals, BTreeMap::from([("press".into(), 10), ("school".into(), 1)]));
    }
}

#[test]
fn counts_of_dropped_windows_are_ignored() {
    let mut table = UsageTable::default();
    table.forget_before(WindowNumber(FIRST + 1));
    assert!(!table.receive(&message(1, 7, FIRST, &[("press", 2)])));
    assert!(table.receive(&message(1, 7, FIRST + 1, &[("press", u32::MAX)])));
    assert!(table.receive(&message(2, 7, FIRST + 1, &[("press", u32::MAX)])));
    assert_eq!(table.totals(WindowNumber(FIRST + 1))[&TenantName::new("press")], 2 * u64::from(u32::MAX));
    assert_eq!(table.first_window(), Some(WindowNumber(FIRST + 1)));
}

#[test]
fn changed_counts_are_sent_final_counts_are_sent_twice_and_a_new_candidate_gets_all() {
    let (mut counts, mut announcements) = (UsageCounts::default(), UsageAnnouncements::default());
    let window = WindowNumber(FIRST);
    counts.record(window, &"press".into());
    let due = |announcements: &mut UsageAnnouncements, counts: &UsageCounts, candidate, seconds| {
        announcements.due(address(candidate), counts, &CONFIG, at(seconds))
    };
    assert_eq!(due(&mut announcements, &counts, 1, 1.0), [window]);
    assert_eq!(due(&mut announcements, &counts, 1, 2.0), []);
    counts.record(window, &"press".into());
    assert_eq!(due(&mut announcements, &counts, 1, 3.0), [window]);
    assert_eq!(
        due(&mut announcements, &counts, 1, 5.5),
        [window],
        "the counts are sent once more after the end of the window"
    );
    assert_eq!(due(&mut announcements, &counts, 1, 6.5), []);
    assert_eq!(due(&mut announcements, &counts, 2, 6.5), [window]);
    announcements.forget(address(1));
    assert_eq!(due(&mut announcements, &counts, 1, 7.0), [window], "the candidate has restarted");
    counts.forget_before(CONFIG.first_kept(at(100.0)));
    assert_eq!(counts.windows().count(), 0);
}

#[test]
fn a_window_without_requests_is_reported_but_none_before_the_first() {
    let (mut reports, table) = (UsageReports::default(), UsageTable::default());
    assert_eq!(reports.step(&CONFIG, &table, at(100.0)), UsageStep::Idle);
    let report = UsageReport { window: WindowNumber(FIRST), counts: BTreeMap::new() };
    reports.observe(
        UsageLedger { reports: vec![report], ..UsageLedger::default() },
        ObjectVersion::default().at(Revision(3)),
    );
    reports.settle(WindowNumber(FIRST));
    let UsageStep::Write(write) = reports.step(&CONFIG, &table, at(12.6)) else { panic!("a window is due") };
    assert_eq!(write.expected, ObjectVersion::default().at(Revision(3)));
    assert_eq!(write.ledger.reports.last().map(|report| report.window), Some(WindowNumber(FIRST + 1)));
}

#[test]
fn a_refused_report_is_sent_again_under_the_next_term_even_if_its_counts_are_dropped() {
    let mut reports = UsageReports::default();
    let report = UsageReport { window: WindowNumber(FIRST), counts: BTreeMap::new() };
    let ledger = UsageLedger { reports: vec![report.clone()], ..UsageLedger::default() };
    reports.observe(ledger.clone(), ObjectVersion::default().at(Revision(3)));
    reports.record_reported(&report);
    reports.hand_over();
    assert_eq!(reports.step(&CONFIG, &UsageTable::default(), at(12.6)), UsageStep::Read);
    reports.observe(ledger, ObjectVersion::default().at(Revision(3)));
    assert_eq!(reports.step(&CONFIG, &UsageTable::default(), at(12.6)), UsageStep::Send(report));
}

/// The ledger object of the store, with writes whose answers are lost and that may take effect later.
#[derive(Default)]
struct Store {
    ledger: UsageLedger,
    revision: Option<Revision>,
    late: Vec<(f64, LedgerWrite)>,
}

impl Store {
    fn apply(&mut self, write: &LedgerWrite) -> Option<Revision> {
        if write.expected.revision != self.revision {
            return None;
        }
        self.ledger = write.ledger.clone();
        self.revision = Some(Revision(self.revision.map_or(1, |revision| revision.0 + 1)));
        self.revision
    }

    fn apply_late(&mut self, now: f64) {
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        let due: Vec<(f64, LedgerWrite)> = due;
        for (_, write) in &due {
            self.apply(write);
        }
    }
}

struct SimulatedNode {
    incarnation: u64,
    /// The error of the node's time of day, in seconds.
    clock_error: f64,
    down_until: f64,
    counts: UsageCounts,
    announcements: UsageAnnouncements,
    table: UsageTable,
    reports: UsageReports,
}

impl SimulatedNode {
    /// A node whose time of day is wrong by a twentieth of a second at most, and exact without faults.
    fn start(random: &mut fastrand::Rng, fault_rate: f64) -> Self {
        SimulatedNode {
            incarnation: random.u64(..),
            clock_error: (random.f64() - 0.5) * 0.1 * f64::from(u8::from(fault_rate > 0.0)),
            down_until: 0.0,
            counts: UsageCounts::default(),
            announcements: UsageAnnouncements::default(),
            table: UsageTable::default(),
            reports: UsageReports::default(),
        }
    }

    fn now(&self, seconds: f64) -> Duration {
        at(seconds + self.clock_error)
    }
}

/// The result of a simulated history.
#[derive(Default)]
struct Outcome {
    /// The reports that the receiver got, with the time of each.
    received: Vec<(f64, UsageReport)>,
    actual: BTreeMap<WindowNumber, BTreeMap<TenantName, u64>>,
}

const NODES: usize = 5;
const STEP_SECONDS: f64 = 0.2;
const LENGTH_SECONDS: f64 = 60.0;

/// Simulates nodes that count requests; the first two are candidates. `fault_rate` is the share of messages, answers and
/// processes that suffer a fault.
fn simulate(seed: u64, fault_rate: f64) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut nodes: Vec<SimulatedNode> = (0..NODES).map(|_| SimulatedNode::start(&mut random, fault_rate)).collect();
    let (mut store, mut outcome) = (Store::default(), Outcome::default());
    let mut now = 0.0;
    while now < LENGTH_SECONDS {
        now += STEP_SECONDS;
        store.apply_late(now);
        // Late calls are not simulated: each either repeats a report that the receiver has, or is sent by no other node.
        for number in 0..NODES {
            if random.f64() < fault_rate / 60.0 {
                nodes[number] =
                    SimulatedNode { down_until: now + 2.0, ..SimulatedNode::start(&mut random, fault_rate) };
                let restarted = address(number);
                nodes.iter_mut().for_each(|node| node.announcements.forget(restarted));
            }
            if nodes[number].down_until > now {
                continue;
            }
            for _ in 0..random.usize(..4) {
                let tenant = TenantName::new(["press", "school"][random.usize(..2)]);
                let window = CONFIG.window_at(nodes[number].now(now));
                nodes[number].counts.record(window, &tenant);
                let actual = outcome.actual.entry(CONFIG.window_at(at(now))).or_default();
                *actual.entry(tenant).or_default() += 1;
            }
            announce(&mut nodes, number, now, fault_rate, &mut random);
        }
        // The holder of the lease acts. The holder changes at random here, also while the other node has an open step.
        let holder = if random.f64() < fault_rate { random.usize(..2) } else { 0 };
        if nodes[holder].down_until <= now {
            act(&mut nodes[holder], &mut store, &mut outcome, now, fault_rate, &mut random);
        }
    }
    outcome
}

fn announce(nodes: &mut [SimulatedNode], number: usize, now: f64, fault_rate: f64, random: &mut fastrand::Rng) {
    for candidate in 0..2 {
        let node = &mut nodes[number];
        let due = node.announcements.due(address(candidate), &node.counts, &CONFIG, at(now + node.clock_error));
        let incarnation = node.incarnation;
        let windows = node.counts.windows().filter(|(window, _)| due.contains(window));
        let of_window = |(window, counts): (WindowNumber, &BTreeMap<TenantName, u32>)| UsageCountsMessage {
            sender: address(number),
            incarnation,
            window,
            counts: counts.iter().map(|(tenant, count)| (tenant.clone(), *count)).collect(),
        };
        let messages: Vec<UsageCountsMessage> = windows.map(of_window).collect();
        for message in messages {
            if random.f64() >= fault_rate && nodes[candidate].down_until <= now {
                nodes[candidate].table.receive(&message);
            }
        }
    }
}

fn act(
    node: &mut SimulatedNode,
    store: &mut Store,
    outcome: &mut Outcome,
    now: f64,
    fault_rate: f64,
    random: &mut fastrand::Rng,
) {
    match node.reports.step(&CONFIG, &node.table, node.now(now)) {
        UsageStep::Idle => {}
        UsageStep::Read => node
            .reports
            .observe(store.ledger.clone(), ObjectVersion { revision: store.revision, ..ObjectVersion::default() }),
        UsageStep::Write(write) if random.f64() < fault_rate => {
            // The write has no answer: it takes effect at once, never, or some seconds later.
            match random.u8(..3) {
                0 => {
                    store.apply(&write);
                }
                1 => store.late.push((now + random.f64() * 12.0, write)),
                _ => {}
            }
            node.reports.require_reread();
        }
        UsageStep::Write(write) => match store.apply(&write) {
            Some(revision) => node.reports.written(write, revision),
            None => node.reports.require_reread(),
        },
        UsageStep::Send(report) => {
            let window = report.window;
            outcome.received.push((now, report));
            if random.f64() >= fault_rate {
                node.reports.settle(window);
            }
        }
    }
    if let Some(first) = node.reports.first_needed() {
        node.table.forget_before(first);
    }
}

#[test]
fn no_two_reports_of_a_window_differ_despite_faults() {
    for seed in 1..=300 {
        let outcome = simulate(seed, 0.3);
        let mut first: BTreeMap<WindowNumber, &UsageReport> = BTreeMap::new();
        for (_, report) in &outcome.received {
            let known = first.entry(report.window).or_insert(report);
            assert_eq!(*known, report, "seed {seed}");
        }
        assert!(!first.is_empty(), "seed {seed}: no window was reported");
    }
}

#[test]
fn without_faults_each_window_is_reported_in_time_with_exact_counts() {
    for seed in 1..=20 {
        let outcome = simulate(seed, 0.0);
        for (window, actual) in outcome.actual.iter().filter(|(window, _)| CONFIG.end_of(**window) < at(50.0)) {
            let of_window = |(_, report): &&(f64, UsageReport)| report.window == *window;
            let (sent, report) = outcome.received.iter().find(of_window).expect("a report");
            assert!(at(*sent) < CONFIG.end_of(*window) + Duration::from_secs(5));
            assert_eq!(report.counts, *actual, "seed {seed}");
        }
    }
}

#[test]
fn losses_and_restarts_never_count_a_request_twice() {
    for seed in 1..=50 {
        let outcome = simulate(seed, 0.1);
        let total = |counts: &BTreeMap<TenantName, u64>| counts.values().sum::<u64>();
        let reported: u64 = {
            let by_window: BTreeMap<WindowNumber, u64> =
                outcome.received.iter().map(|(_, report)| (report.window, total(&report.counts))).collect();
            by_window.values().sum()
        };
        let actual: u64 = outcome.actual.values().map(total).sum();
        assert!(reported <= actual, "seed {seed}: {reported} requests reported, but only {actual} counted");
    }
}
