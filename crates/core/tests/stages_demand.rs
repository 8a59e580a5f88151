//! Aggregated demand of all nodes from reports that arrive late, twice, out of order or never.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::relay::PrefillTotals;
use havengate_core::stages::{DemandCounters, DemandReport, DemandTable, DemandTableConfig};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, ServiceName};

const START: Timestamp = Timestamp::from_millis(1_000);

fn address(number: u8) -> Address {
    Address(std::net::SocketAddr::from(([10, 0, 0, number], 8_000)))
}

fn service() -> ServiceName {
    ServiceName::new("model")
}

fn report(node: u8, incarnation: u64, counters: &DemandCounters) -> DemandReport {
    DemandReport {
        sender: address(node),
        incarnation,
        services: counters.services(),
        isolated_prefills: PrefillTotals::default(),
    }
}

fn table() -> DemandTable {
    DemandTable::new(DemandTableConfig::default(), START)
}

const SECOND: Duration = Duration::from_secs(1);

/// Completes a span of a second and returns the number of answers, of a second each, that the table counted in it.
fn counted(table: &mut DemandTable, now: Timestamp) -> f64 {
    table.tick(now);
    table.take_loads().iter().map(|(_, load)| load.concurrent_answers).sum()
}

#[test]
fn reordered_repeated_and_lost_reports_never_count_a_request_twice() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut table = table();
        let mut sent: Vec<DemandReport> = Vec::new();
        let mut real: BTreeMap<u8, (u64, DemandCounters, u64)> = BTreeMap::new();
        let mut first = BTreeMap::new();
        for _ in 0..60 {
            let node = random.u8(1..5);
            let (incarnation, counters, total) = real.entry(node).or_insert((1, DemandCounters::default(), 0));
            let requests = random.u64(..5);
            (0..requests).for_each(|_| counters.record_answer(&service(), SECOND));
            *total += requests;
            let report = report(node, *incarnation, counters);
            first.entry(node).or_insert(*total);
            sent.push(report);
        }
        // The first report of each node arrives first: counts from before it are not current demand.
        for node in 1..5_u8 {
            if let Some(report) = sent.iter().find(|report| report.sender == address(node)) {
                table.receive(report.clone(), START);
            }
        }
        let mut arriving = sent.clone();
        arriving.extend(sent.iter().filter(|_| random.bool()).cloned());
        random.shuffle(&mut arriving);
        let lost = random.usize(..20);
        arriving.truncate(arriving.len() - lost);
        for report in arriving {
            table.receive(report, START);
        }
        let real: u64 = real.iter().map(|(node, (_, _, total))| total - first[node]).sum();
        let counted = counted(&mut table, START + SECOND);
        assert!(counted <= real as f64 + 1e-6, "seed {seed}: {counted} counted of {real}");
    }
}

#[test]
fn the_last_report_of_each_node_contains_the_counts_of_lost_reports() {
    let mut table = table();
    let mut counters = DemandCounters::default();
    table.receive(report(1, 1, &counters), START);
    (0..30).for_each(|_| counters.record_answer(&service(), SECOND));
    table.receive(report(1, 1, &counters), START);
    assert!((counted(&mut table, START + SECOND) - 30.0).abs() < 1e-6);
}

#[test]
fn a_restarted_node_counts_from_zero() {
    let mut table = table();
    let mut counters = DemandCounters::default();
    (0..30).for_each(|_| counters.record_answer(&service(), SECOND));
    table.receive(report(1, 1, &counters), START);
    let mut counters = DemandCounters::default();
    (0..4).for_each(|_| counters.record_answer(&service(), SECOND));
    assert!(table.receive(report(1, 2, &counters), START));
    assert!((counted(&mut table, START + SECOND) - 4.0).abs() < 1e-6);
}

#[test]
fn a_late_report_of_a_previous_incarnation_adds_nothing() {
    let mut table = table();
    let counted_so_far = |answers: u32| {
        let mut counters = DemandCounters::default();
        (0..answers).for_each(|_| counters.record_answer(&service(), SECOND));
        counters
    };
    table.receive(report(1, 1, &counted_so_far(30)), START);
    assert!(table.receive(report(1, 2, &counted_so_far(4)), START));
    assert!(!table.receive(report(1, 1, &counted_so_far(31)), START));
    assert!(table.receive(report(1, 2, &counted_so_far(5)), START));
    assert!((counted(&mut table, START + SECOND) - 5.0).abs() < 1e-6);
}

#[test]
fn an_outdated_report_is_not_applied() {
    let mut table = table();
    let old = DemandCounters::default();
    let mut new = DemandCounters::default();
    new.record_prompt(&service(), 5_000);
    table.receive(report(1, 1, &new), START);
    assert!(!table.receive(report(1, 1, &old), START));
}

#[test]
fn a_span_without_requests_is_reported_with_zero_load() {
    let mut table = table();
    let mut counters = DemandCounters::default();
    table.receive(report(1, 1, &counters), START);
    counters.record_prompt(&service(), 5_000);
    table.receive(report(1, 1, &counters), START);
    table.tick(START + SECOND);
    assert!(table.take_loads()[0].1.busy_prefill_engines > 0.0);
    table.tick(START + Duration::from_secs(2));
    assert_eq!(table.take_loads()[0].1.busy_prefill_engines, 0.0);
}

#[test]
fn few_observations_of_each_node_add_up_to_the_prefill_rate() {
    let mut table = table();
    for node in 1..=60 {
        let isolated_prefills = PrefillTotals { tokens: 12_000, micros: 200_000 };
        let counters = DemandCounters::default();
        table.receive(DemandReport { isolated_prefills, ..report(node, 1, &counters) }, START);
    }
    assert!((table.prefill_rate() - 60.0).abs() < 2.0, "{}", table.prefill_rate());
}
