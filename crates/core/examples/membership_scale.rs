//! Measures the failure detector at several cluster sizes in virtual time: detection, dissemination, traffic and
//! processor time.
//!
//! `cargo run --release -p havengate-core --example membership_scale [KILLS [LOSS_PERCENT]]`.
//! All figures except the processor time depend only on the seed; the processor time is that of the simulation,
//! including its network, on the current machine.

#[path = "../tests/support/membership_cluster.rs"]
#[allow(dead_code)]
mod membership_cluster;

use std::time::{Duration, Instant};

use havengate_core::membership::{
    Member, MemberRecord, MemberState, Membership, MembershipCounters, MembershipEvent, View,
};
use havengate_core::simulation::NetworkFaults;
use havengate_core::time::Timestamp;
use havengate_core::world::ZoneName;
use membership_cluster::{Cluster, NodeIndex};

/// Number of zones and of nodes in each: 15, 30, 100 and 330 nodes in total.
const SIZES: [(usize, usize); 4] = [(3, 5), (3, 10), (10, 10), (11, 30)];
const RANDOM_SEED: u64 = 42;
const DEFAULT_KILLS: usize = 100;
const STEADY_DURATION: Duration = Duration::from_secs(60);
/// Time for the startup gossip to end before the steady-state traffic is measured.
const WARM_UP_DURATION: Duration = Duration::from_secs(60);
/// Time within which a change has certainly reached all nodes.
const SPREAD_LIMIT: Duration = Duration::from_secs(10);
const FORMATION_LIMIT: Duration = Duration::from_secs(60);

/// Times from a change until the last node of a group reported it.
#[derive(Default)]
struct Spread {
    in_zone: Vec<Duration>,
    everywhere: Vec<Duration>,
}

fn main() {
    let argument = |index: usize| std::env::args().nth(index).and_then(|argument| argument.parse().ok());
    let kills = argument(1).unwrap_or(DEFAULT_KILLS);
    let loss_percent = argument(2).unwrap_or(0);
    println!(
        "{kills} kills and {kills} departures each; seconds; bytes without transport headers; loss {loss_percent} %; random seed {RANDOM_SEED}"
    );
    println!(
        "| nodes | zones | formed | dead in zone p50 / p99 / max | dead everywhere p50 / p99 / max | leaving in zone p50 / max | leaving everywhere max | B/s sent a node mean / max | messages/s sent a node | B/s mean while a node dies and returns each 10 to 20 s | CPU ms per node-second | state KB a node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (zones, nodes_per_zone) in SIZES {
        measure(zones, nodes_per_zone, kills, loss_percent as f64 / 100.0);
    }
}

fn measure(zones: usize, nodes_per_zone: usize, kills: usize, loss: f64) {
    let mut cluster = Cluster::start(zones, nodes_per_zone, RANDOM_SEED);
    let formed = form(&mut cluster);
    cluster.network.set_faults(NetworkFaults { loss, ..NetworkFaults::default() });
    cluster.run_for(WARM_UP_DURATION);
    let before = totals(&cluster);
    let wall = Instant::now();
    cluster.run_for(STEADY_DURATION);
    let nodes = cluster.all().len();
    let node_seconds = nodes as f64 * STEADY_DURATION.as_secs_f64();
    let cpu = wall.elapsed().as_secs_f64() * 1e3 / node_seconds;
    let sent = differences(&before, &totals(&cluster));
    let mean_bytes = sent.iter().map(|sent| sent.bytes_sent).sum::<u64>() as f64 / node_seconds;
    let max_bytes = sent.iter().map(|sent| sent.bytes_sent).max().unwrap_or(0) as f64 / STEADY_DURATION.as_secs_f64();
    let messages = sent.iter().map(|sent| sent.messages_sent).sum::<u64>() as f64 / node_seconds;
    let state = state_kilobytes(cluster.node(0).view());
    let departures_spread = departures(&mut cluster, kills);
    let start = cluster.now;
    let bytes_before = cluster.bytes_sent;
    let deaths = deaths(&mut cluster, kills);
    let churn = (cluster.bytes_sent - bytes_before) as f64 / cluster.now.since(start).as_secs_f64() / nodes as f64;
    println!(
        "| {nodes} | {zones} | {:.1} | {} | {} | {} / {} | {} | {mean_bytes:.0} / {max_bytes:.0} | {messages:.1} | {churn:.0} | {cpu:.3} | {state:.0} |",
        formed.as_secs_f64(),
        percentiles(&deaths.in_zone),
        percentiles(&deaths.everywhere),
        percentile(&departures_spread.in_zone, 0.5),
        percentile(&departures_spread.in_zone, 1.0),
        percentile(&departures_spread.everywhere, 1.0),
    );
}

/// Runs until all nodes have converged, checking every half second, and returns the elapsed time.
fn form(cluster: &mut Cluster) -> Duration {
    let start = cluster.now;
    while !cluster.has_converged() {
        assert!(cluster.now.since(start) < FORMATION_LIMIT, "the nodes did not converge");
        cluster.run_for(Duration::from_millis(500));
    }
    cluster.now.since(start)
}

fn deaths(cluster: &mut Cluster, kills: usize) -> Spread {
    let mut spread = Spread::default();
    for kill in 0..kills {
        let (victim, member) = choose(cluster, kill);
        cluster.run_for(Duration::from_micros(7_919 * kill as u64));
        let since = cluster.now;
        cluster.kill(victim);
        cluster.run_for(SPREAD_LIMIT);
        record_spread(cluster, &mut spread, victim, member, MemberState::Dead, since);
        cluster.restart(victim);
        form(cluster);
    }
    spread
}

/// Measures departures of nodes, each of which is then replaced by a new process.
fn departures(cluster: &mut Cluster, count: usize) -> Spread {
    let mut spread = Spread::default();
    for departure in 0..count {
        let (victim, member) = choose(cluster, departure);
        let since = cluster.now;
        cluster.call(victim, Membership::leave);
        cluster.run_for(SPREAD_LIMIT);
        record_spread(cluster, &mut spread, victim, member, MemberState::Leaving, since);
        cluster.restart(victim);
        form(cluster);
    }
    spread
}

fn choose(cluster: &Cluster, round: usize) -> (NodeIndex, Member) {
    let index = round.wrapping_mul(7_919) % cluster.all().len();
    (index, cluster.member(index))
}

/// Records when the last node of the zone, and of all zones, reported the state; a node that never did counts as
/// `SPREAD_LIMIT`.
fn record_spread(
    cluster: &mut Cluster,
    spread: &mut Spread,
    subject: NodeIndex,
    member: Member,
    expected: MemberState,
    since: Timestamp,
) {
    let zone = cluster.zone(subject).clone();
    let observers: Vec<NodeIndex> = cluster.all().filter(|index| *index != subject).collect();
    let first_reports = |index: &NodeIndex| {
        let own = cluster.reports.iter().filter(|report| report.reporter == *index);
        own.filter(|report| is_state(&report.event, member, expected)).map(|report| report.at.since(since)).next()
    };
    let times: Vec<(ZoneName, Duration)> = observers
        .iter()
        .map(|index| (cluster.zone(*index).clone(), first_reports(index).unwrap_or(SPREAD_LIMIT)))
        .collect();
    let latest = |times: &mut dyn Iterator<Item = &(ZoneName, Duration)>| times.map(|(_, time)| *time).max();
    spread.in_zone.extend(latest(&mut times.iter().filter(|(of, _)| *of == zone)));
    spread.everywhere.extend(latest(&mut times.iter()));
    cluster.reports.clear();
}

fn is_state(event: &MembershipEvent, subject: Member, expected: MemberState) -> bool {
    matches!(event, MembershipEvent::MemberChanged { member, state, .. } if *member == subject && *state == expected)
}

fn totals(cluster: &Cluster) -> Vec<MembershipCounters> {
    cluster.all().map(|index| cluster.node(index).counters()).collect()
}

fn differences(before: &[MembershipCounters], after: &[MembershipCounters]) -> Vec<MembershipCounters> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| MembershipCounters {
            messages_sent: after.messages_sent - before.messages_sent,
            bytes_sent: after.bytes_sent - before.bytes_sent,
            ..*after
        })
        .collect()
}

/// Estimates the state's size: the records with their zone names, and the roster's lists of members.
fn state_kilobytes(view: &View) -> f64 {
    let records: usize = view
        .records()
        .map(|record| size_of::<MemberRecord>() + record.zone.as_str().len() + 2 * size_of::<Member>())
        .sum();
    records as f64 / 1e3
}

fn percentiles(times: &[Duration]) -> String {
    format!("{} / {} / {}", percentile(times, 0.5), percentile(times, 0.99), percentile(times, 1.0))
}

fn percentile(times: &[Duration], share: f64) -> String {
    let mut sorted = times.to_vec();
    sorted.sort();
    let index = (sorted.len() as f64 * share).ceil() as usize;
    let time = sorted.get(index.saturating_sub(1));
    time.map_or_else(|| "-".to_owned(), |time| format!("{:.2}", time.as_secs_f64()))
}
