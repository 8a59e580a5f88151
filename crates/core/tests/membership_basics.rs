//! Joining, leaving, death and restart of nodes without other faults.

#[path = "support/membership_cluster.rs"]
#[allow(dead_code)]
mod membership_cluster;

use std::time::Duration;

use havengate_core::membership::{MemberState, Membership, MembershipConfig, Standing};
use havengate_core::world::ZoneName;
use membership_cluster::{Cluster, address_of};

const SEEDS: [u64; 3] = [1, 2, 3];
const JOIN_LIMIT: Duration = Duration::from_secs(30);

fn converged(zones: usize, nodes_per_zone: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::start(zones, nodes_per_zone, seed);
    assert!(
        cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some(),
        "the nodes did not converge with seed {seed}"
    );
    cluster
}

#[test]
fn a_lone_node_without_seeds_is_trusted_at_once_and_stays_trusted_after_a_pause() {
    let mut cluster = Cluster::start(1, 1, 1);
    assert_eq!(cluster.node(0).standing(), Standing::Trusted);
    cluster.run_for(Duration::from_secs(10));
    cluster.pause(0);
    cluster.run_for(Duration::from_secs(60));
    cluster.resume(0);
    cluster.run_for(Duration::from_secs(1));
    assert!(cluster.trusts_itself(0));
    assert!(cluster.suspensions_of(0).is_empty());
}

#[test]
fn nodes_that_start_together_converge_and_none_is_declared_dead_without_faults() {
    for seed in SEEDS {
        let mut cluster = converged(4, 8, seed);
        let since = cluster.now;
        cluster.run_for(Duration::from_secs(600));
        assert!(cluster.has_converged());
        assert!(cluster.deaths_since(since).is_empty());
        assert!(cluster.all().all(|index| cluster.suspensions_of(index).is_empty()));
    }
}

#[test]
fn a_node_joins_through_the_only_live_seed() {
    let zones: Vec<ZoneName> = (0..6).map(|_| "zone".into()).collect();
    let seeds = (0..3).map(address_of).collect();
    let mut cluster = Cluster::start_with(MembershipConfig::default(), zones, seeds, 5);
    for dead in [0, 1, 5] {
        cluster.kill(dead);
    }
    assert!(cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some());
    cluster.restart(5);
    assert!(cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some());
}

#[test]
fn a_dead_node_is_known_in_its_zone_within_five_seconds_and_everywhere_soon_after() {
    for seed in SEEDS {
        let mut cluster = converged(3, 10, seed);
        let killed = 4;
        let member = cluster.member(killed);
        cluster.kill(killed);
        let known_by = |cluster: &Cluster, mut observers: std::ops::Range<usize>| {
            observers.all(|index| index == killed || cluster.state_seen_by(index, member) == Some(MemberState::Dead))
        };
        let in_zone = cluster.run_until(Duration::from_secs(5), |cluster| known_by(cluster, 0..10));
        assert!(in_zone.is_some(), "not known in the zone, seed {seed}");
        let everywhere = cluster.run_until(Duration::from_secs(5), |cluster| known_by(cluster, cluster.all()));
        assert!(everywhere.is_some(), "not known everywhere, seed {seed}");
    }
}

#[test]
fn leaving_is_known_in_the_zone_within_two_seconds_despite_message_loss() {
    for seed in SEEDS {
        let mut cluster = converged(2, 30, seed);
        let faults = havengate_core::simulation::NetworkFaults { loss: 0.1, ..Default::default() };
        cluster.network.set_faults(faults);
        let leaving_node = 12;
        let member = cluster.member(leaving_node);
        cluster.call(leaving_node, Membership::leave);
        let known =
            |cluster: &Cluster| (0..30).all(|index| cluster.state_seen_by(index, member) == Some(MemberState::Leaving));
        assert!(cluster.run_until(Duration::from_secs(2), known).is_some(), "seed {seed}");
        assert!(cluster.trusts_itself(leaving_node), "a leaving node stays trusted to finish its work");
    }
}

#[test]
fn a_hint_marks_a_member_as_leaving_and_an_empty_hint_does_not_revert_it() {
    let mut cluster = converged(2, 5, 1);
    let member = cluster.member(3);
    cluster.call(0, |membership, now| membership.hint_leaving(&[address_of(3)], now));
    cluster.run_for(Duration::from_secs(3));
    cluster.call(0, |membership, now| membership.hint_leaving(&[], now));
    cluster.run_for(Duration::from_secs(30));
    assert!(cluster.all().all(|index| cluster.state_seen_by(index, member) == Some(MemberState::Leaving)));
}

#[test]
fn the_last_node_of_a_deployment_is_suspended_until_the_platform_lists_its_peer_as_leaving() {
    let mut cluster = converged(1, 2, 1);
    cluster.kill(1);
    cluster.run_for(Duration::from_secs(60));
    assert!(!cluster.trusts_itself(0), "the node can't distinguish a dead peer from its own isolation");
    cluster.call(0, |membership, now| membership.hint_leaving(&[address_of(1)], now));
    cluster.run_for(Duration::from_secs(1));
    assert!(cluster.trusts_itself(0));
    cluster.run_for(Duration::from_secs(60));
    assert!(cluster.trusts_itself(0));
    cluster.restart(1);
    assert!(cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some());
}

#[test]
fn a_restarted_process_is_a_new_incarnation_and_the_old_one_stays_dead() {
    for seed in SEEDS {
        let mut cluster = converged(2, 5, seed);
        let old = cluster.member(2);
        cluster.kill(2);
        cluster.run_for(Duration::from_millis(50));
        cluster.restart(2);
        assert!(cluster.member(2).incarnation > old.incarnation);
        assert!(cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some());
        assert!(cluster.all().all(|index| cluster.state_seen_by(index, old).is_none()));
    }
}

#[test]
fn a_cluster_converges_after_a_full_restart() {
    for seed in SEEDS {
        let mut cluster = converged(3, 5, seed);
        for index in cluster.all() {
            cluster.kill(index);
        }
        cluster.run_for(Duration::from_secs(20));
        for index in cluster.all() {
            cluster.restart(index);
        }
        assert!(cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some(), "seed {seed}");
    }
}

#[test]
fn a_zone_that_restarts_completely_converges_and_only_its_old_incarnations_are_dead() {
    for seed in SEEDS {
        let mut cluster = converged(3, 5, seed);
        let since = cluster.now;
        let old: Vec<_> = (5..10).map(|index| cluster.member(index)).collect();
        for index in 5..10 {
            cluster.kill(index);
        }
        cluster.run_for(Duration::from_secs(60));
        for index in 5..10 {
            cluster.restart(index);
        }
        assert!(cluster.run_until(JOIN_LIMIT, Cluster::has_converged).is_some(), "seed {seed}");
        let deaths = cluster.deaths_since(since);
        assert!(
            deaths
                .iter()
                .all(|report| old.iter().any(|old| format!("{:?}", report.event).contains(&format!("{old:?}"))))
        );
    }
}
