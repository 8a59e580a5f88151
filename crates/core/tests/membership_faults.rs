//! Message loss, duplication, reordering, delay, partitions, pauses and kills: a node suspends itself before it is
//! declared dead, no member is declared dead without cause, and all nodes converge afterwards.

#[path = "support/membership_cluster.rs"]
#[allow(dead_code)]
mod membership_cluster;

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use havengate_core::membership::{Incarnation, MemberState, SuspensionReason};
use havengate_core::simulation::NetworkFaults;
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use membership_cluster::{Cluster, NodeIndex};

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const JOIN_LIMIT: Duration = Duration::from_secs(30);
const HEAL_LIMIT: Duration = Duration::from_secs(90);

fn converged(zones: usize, nodes_per_zone: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::start(zones, nodes_per_zone, seed);
    assert!(
        cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some(),
        "the nodes did not converge with seed {seed}"
    );
    cluster
}

fn first_suspension(cluster: &Cluster, index: NodeIndex) -> (Timestamp, SuspensionReason) {
    *cluster.suspensions_of(index).first().expect("the node suspends itself")
}

fn first_death(cluster: &Cluster, address: Address, since: Timestamp) -> Timestamp {
    let deaths = cluster.deaths_since(since);
    let of_address = |event: &havengate_core::membership::MembershipEvent| {
        matches!(event, havengate_core::membership::MembershipEvent::MemberChanged { member, .. }
            if member.address == address)
    };
    deaths.iter().find(|report| of_address(&report.event)).expect("the death is reported").at
}

#[test]
fn an_isolated_node_suspends_itself_before_it_is_declared_dead() {
    for seed in SEEDS {
        let mut cluster = converged(2, 8, seed);
        let cut_at = cluster.now;
        let member = cluster.member(3);
        cluster.isolate(3);
        cluster.run_for(Duration::from_secs(10));
        let (suspended_at, reason) = first_suspension(&cluster, 3);
        assert_eq!(reason, SuspensionReason::LeaseExpired);
        assert!(suspended_at < first_death(&cluster, member.address, cut_at), "seed {seed}");
        assert!(cluster.overlaps.is_empty());
        cluster.network.heal();
        assert!(cluster.run_until(HEAL_LIMIT, Cluster::has_converged).is_some(), "seed {seed}");
        assert!(cluster.member(3).incarnation > member.incarnation);
    }
}

#[test]
fn a_node_that_sends_but_receives_nothing_suspends_itself_in_time() {
    for seed in SEEDS {
        let mut cluster = converged(1, 8, seed);
        for other in (0..8).filter(|other| *other != 2) {
            cluster.network.cut(other, 2);
        }
        cluster.run_for(Duration::from_secs(20));
        assert_eq!(first_suspension(&cluster, 2).1, SuspensionReason::LeaseExpired);
        assert!(cluster.overlaps.is_empty());
        cluster.network.heal();
        assert!(cluster.run_until(HEAL_LIMIT, Cluster::has_converged).is_some(), "seed {seed}");
    }
}

#[test]
fn a_node_that_receives_but_whose_messages_are_lost_suspends_itself_in_time() {
    for seed in SEEDS {
        let mut cluster = converged(1, 8, seed);
        for other in (0..8).filter(|other| *other != 2) {
            cluster.network.cut(2, other);
        }
        cluster.run_for(Duration::from_secs(20));
        assert!(!cluster.suspensions_of(2).is_empty());
        assert!(cluster.overlaps.is_empty());
        cluster.network.heal();
        assert!(cluster.run_until(HEAL_LIMIT, Cluster::has_converged).is_some(), "seed {seed}");
    }
}

#[test]
fn a_link_failure_between_two_zone_mates_alone_causes_no_death() {
    for seed in SEEDS {
        let mut cluster = converged(2, 2, seed);
        let since = cluster.now;
        cluster.partition(&[0], &[1]);
        cluster.run_for(Duration::from_secs(300));
        assert!(cluster.deaths_since(since).is_empty(), "seed {seed}");
        assert!(cluster.all().all(|index| cluster.trusts_itself(index)));
    }
}

#[test]
fn a_pause_longer_than_the_lease_ends_the_incarnation_before_anything_else_happens() {
    for seed in SEEDS {
        let mut cluster = converged(2, 6, seed);
        let old = cluster.member(1);
        cluster.pause(1);
        cluster.run_for(Duration::from_secs(8));
        assert!(!cluster.trusts_itself(1), "a thread that checks its clock must find the lease expired");
        cluster.resume(1);
        cluster.run_for(Duration::from_millis(10));
        assert_eq!(first_suspension(&cluster, 1).1, SuspensionReason::ClockGap);
        assert!(cluster.run_until(HEAL_LIMIT, Cluster::has_converged).is_some(), "seed {seed}");
        assert!(cluster.member(1).incarnation > old.incarnation);
        assert!(cluster.overlaps.is_empty());
    }
}

#[test]
fn the_last_node_of_a_zone_stays_trusted_with_the_help_of_other_zones() {
    for seed in SEEDS {
        let mut cluster = converged(2, 3, seed);
        let dead = [cluster.member(0), cluster.member(1)];
        cluster.kill(0);
        cluster.kill(1);
        cluster.run_for(Duration::from_secs(15));
        assert!(cluster.trusts_itself(2));
        assert!(dead.iter().all(|dead| cluster.state_seen_by(4, *dead) == Some(MemberState::Dead)), "seed {seed}");
    }
}

#[test]
fn a_zone_isolated_for_an_hour_is_unreachable_but_not_dead_and_becomes_reachable_again() {
    let mut cluster = converged(4, 4, 1);
    let since = cluster.now;
    let (cut, rest): (Vec<usize>, Vec<usize>) = cluster.all().partition(|index| *index < 4);
    cluster.partition(&cut, &rest);
    cluster.run_for(Duration::from_secs(60));
    let cut_zone = cluster.zone(0).clone();
    let own_zone = cluster.zone(4).clone();
    assert!(rest.iter().all(|index| !cluster.node(*index).view().is_reachable(&cut_zone)));
    assert!(rest.iter().all(|index| cluster.node(*index).view().unreachable_zones().len() == 1));
    assert!(cut.iter().all(|index| cluster.node(*index).view().unreachable_zones().len() == 3));
    assert!(cut.iter().all(|index| cluster.node(*index).view().is_reachable(&cut_zone)));
    let dead_delegate = cluster.member(4);
    cluster.kill(4);
    cluster.run_for(Duration::from_secs(3_600));
    let deaths = cluster.deaths_since(since);
    assert!(deaths.iter().all(|report| format!("{:?}", report.event).contains(&format!("{dead_delegate:?}"))));
    assert_eq!(cluster.state_seen_by(8, cluster.member(0)), Some(MemberState::Alive));
    assert!(cluster.all().filter(|index| *index != 4).all(|index| cluster.suspensions_of(index).is_empty()));
    cluster.network.heal();
    assert!(cluster.run_until(HEAL_LIMIT, Cluster::has_converged).is_some());
    assert!(cluster.node(0).view().is_reachable(&own_zone));
}

#[test]
fn the_halves_of_a_zone_converge_after_a_partition() {
    for seed in SEEDS {
        let mut cluster = converged(2, 8, seed);
        cluster.partition(&[0, 1, 2, 3], &[4, 5, 6, 7]);
        cluster.partition(&[4, 5, 6, 7], &[8, 9, 10, 11, 12, 13, 14, 15]);
        cluster.run_for(Duration::from_secs(120));
        cluster.network.heal();
        assert!(cluster.run_until(HEAL_LIMIT, Cluster::has_converged).is_some(), "seed {seed}");
    }
}

#[test]
fn an_unreliable_network_alone_causes_no_death() {
    for seed in SEEDS {
        let mut cluster = converged(2, 10, seed);
        let since = cluster.now;
        cluster.network.set_faults(NetworkFaults {
            loss: 0.1,
            duplication: 0.1,
            delay_minimum: Duration::from_micros(200),
            delay_maximum: Duration::from_millis(40),
        });
        cluster.run_for(Duration::from_secs(600));
        assert!(cluster.deaths_since(since).is_empty(), "seed {seed}");
        assert!(cluster.all().all(|index| cluster.suspensions_of(index).is_empty()), "seed {seed}");
    }
}

/// Injects one random fault at a random node.
fn inject_fault(cluster: &mut Cluster, choices: &mut Unstructured) -> Result<()> {
    let index = choices.choose_index(cluster.all().len())?;
    match choices.int_in_range(0..=6)? {
        0 if cluster.is_running(index) => cluster.kill(index),
        1 if !cluster.is_running(index) => cluster.restart(index),
        2 if cluster.is_running(index) => cluster.pause(index),
        3 => cluster.isolate(index),
        4 => cluster.network.cut(index, choices.choose_index(cluster.all().len())?),
        5 => cluster.network.heal(),
        _ => {
            let loss = f64::from(choices.int_in_range(0..=20_u8)?) / 100.0;
            cluster.network.set_faults(NetworkFaults { loss, duplication: loss, ..NetworkFaults::default() });
        }
    }
    Ok(())
}

/// The incarnation that each node knows of each address; it never decreases while the node's process runs.
type KnownIncarnations = BTreeMap<(NodeIndex, Incarnation, Address), Incarnation>;

fn check_incarnations(cluster: &Cluster, process_starts: &[Incarnation], known: &mut KnownIncarnations) {
    for index in cluster.all() {
        for record in cluster.node(index).view().records() {
            let key = (index, process_starts[index], record.member.address);
            let before = known.insert(key, record.member.incarnation);
            assert!(before.is_none_or(|before| before <= record.member.incarnation), "a known incarnation decreased");
        }
    }
}

#[test]
fn nodes_converge_after_random_faults_and_known_incarnations_never_decrease() {
    for seed in 0..40_u64 {
        arbtest(|choices| {
            let mut cluster = converged(2, 5, seed);
            let mut known = KnownIncarnations::new();
            for _ in 0..12 {
                let process_starts: Vec<Incarnation> =
                    cluster.all().map(|index| cluster.member(index).incarnation).collect();
                inject_fault(&mut cluster, choices)?;
                cluster.run_for(Duration::from_millis(u64::from(choices.int_in_range(10..=6_000_u16)?)));
                check_incarnations(&cluster, &process_starts, &mut known);
            }
            cluster.network.heal();
            cluster.network.set_faults(NetworkFaults::default());
            for index in cluster.all().filter(|index| !cluster.is_running(*index)).collect::<Vec<_>>() {
                cluster.restart(index);
            }
            assert!(
                cluster.run_until(HEAL_LIMIT, Cluster::has_converged).is_some(),
                "the nodes did not converge, seed {seed}"
            );
            Ok(())
        })
        .seed(seed * 0x1_0000_0100 + 0x40);
    }
}

#[test]
fn a_node_isolated_at_a_random_moment_of_an_unreliable_network_never_trusts_itself_when_it_is_declared_dead() {
    for seed in 0..60_u64 {
        let mut cluster = converged(2, 6, seed);
        cluster.network.set_faults(NetworkFaults { loss: 0.25, ..NetworkFaults::default() });
        cluster.run_for(Duration::from_millis(2_000 + 137 * (seed % 60)));
        cluster.overlaps.clear();
        let victim = usize::try_from(seed % 12).expect("small");
        let member = cluster.member(victim);
        cluster.isolate(victim);
        cluster.run_for(Duration::from_secs(8));
        let overlaps = cluster.overlaps.iter().filter(|overlap| overlap.member == member).count();
        assert_eq!(overlaps, 0, "declared dead while it trusted itself, seed {seed}");
        assert!(!cluster.trusts_itself(victim));
    }
}
