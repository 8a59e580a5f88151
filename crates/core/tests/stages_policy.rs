//! Decisions on the number of prefill engines.

use std::time::Duration;

use havengate_core::duties::candidates;
use havengate_core::stages::{ServiceLoad, StageCounts, StagePolicy, StagePolicyConfig, StagePolicyName};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, ServiceName};

const START: Timestamp = Timestamp::from_millis(1_000);

fn service() -> ServiceName {
    ServiceName::new("model")
}

fn config() -> StagePolicyConfig {
    StagePolicyConfig { policy: StagePolicyName::Follow, ..StagePolicyConfig::default() }
}

/// A policy that has observed `load` for a minute.
fn policy_after(load: ServiceLoad) -> StagePolicy {
    let mut policy = StagePolicy::new(config());
    for second in 0..60 {
        policy.observe(&service(), load, START + Duration::from_secs(second));
    }
    policy
}

fn target_prefill(policy: &StagePolicy, prefill: usize, decode: usize) -> Option<usize> {
    policy.decide(&service(), StageCounts { prefill, decode, slots: 10 }, false).map(|decision| decision.prefill)
}

#[test]
fn both_stages_get_the_same_utilization_relative_to_their_targets() {
    // 14 busy prefill engines at a utilization of 0.7 need 20; 120 answers in 10 slots an engine at 0.6 need 20.
    let policy = policy_after(ServiceLoad { busy_prefill_engines: 14.0, concurrent_answers: 120.0 });
    assert_eq!(target_prefill(&policy, 8, 32), Some(20));
    assert_eq!(target_prefill(&policy, 32, 8), Some(20));
    let policy = policy_after(ServiceLoad { busy_prefill_engines: 14.0, concurrent_answers: 80.0 });
    assert_eq!(target_prefill(&policy, 8, 32), Some(24));
}

#[test]
fn a_small_difference_changes_nothing() {
    let policy = policy_after(ServiceLoad { busy_prefill_engines: 14.0, concurrent_answers: 120.0 });
    for prefill in 17..=23 {
        assert_eq!(target_prefill(&policy, prefill, 40 - prefill), Some(prefill));
    }
}

#[test]
fn a_load_too_small_to_show_the_mix_changes_nothing() {
    let policy = policy_after(ServiceLoad { busy_prefill_engines: 1.0, concurrent_answers: 3.0 });
    assert_eq!(target_prefill(&policy, 8, 32), None);
}

#[test]
fn nothing_is_decided_without_a_load_or_with_too_few_engines() {
    assert_eq!(target_prefill(&StagePolicy::new(config()), 4, 4), None);
    let policy = policy_after(ServiceLoad { busy_prefill_engines: 60.0, concurrent_answers: 1.0 });
    assert_eq!((target_prefill(&policy, 1, 0), target_prefill(&policy, 0, 0)), (None, None));
}

#[test]
fn the_policy_none_decides_nothing_and_fixed_decides_its_share() {
    let mut policy = policy_after(ServiceLoad { busy_prefill_engines: 60.0, concurrent_answers: 1.0 });
    policy.set_config(StagePolicyConfig { policy: StagePolicyName::None, ..config() });
    assert_eq!(target_prefill(&policy, 4, 36), None);
    policy.set_config(StagePolicyConfig { policy: StagePolicyName::Fixed, prefill_share: 0.5, ..config() });
    assert_eq!(target_prefill(&policy, 4, 36), Some(20));
}

#[test]
fn the_peak_load_is_remembered_when_the_mix_shifts() {
    let mut policy = policy_after(ServiceLoad { busy_prefill_engines: 14.0, concurrent_answers: 120.0 });
    for second in 60..68 {
        policy.observe(
            &service(),
            ServiceLoad { busy_prefill_engines: 2.0, concurrent_answers: 120.0 },
            START + Duration::from_secs(second),
        );
    }
    assert_eq!(target_prefill(&policy, 20, 20), Some(20));
}

#[test]
fn floors_hold_under_any_mix_and_the_target_settles_under_a_fixed_load() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let engines = random.usize(2..60);
        let mut policy = StagePolicy::new(config());
        let mut prefill = random.usize(0..=engines);
        let minimum = (config().floor_share * engines as f64).ceil().max(1.0) as usize;
        let load = |random: &mut fastrand::Rng| ServiceLoad {
            busy_prefill_engines: random.f64() * engines as f64,
            concurrent_answers: random.f64() * engines as f64 * 10.0,
        };
        for second in 0..120 {
            policy.observe(&service(), load(&mut random), START + Duration::from_secs(second));
            if let Some(target) = target_prefill(&policy, prefill, engines - prefill) {
                assert!((minimum..=engines - minimum).contains(&target), "seed {seed}: {target} of {engines}");
                prefill = target;
            }
        }
        let fixed = load(&mut random);
        let mut changed_at = 0;
        for second in 120..3_000 {
            policy.observe(&service(), fixed, START + Duration::from_secs(second));
            if let Some(target) =
                target_prefill(&policy, prefill, engines - prefill).filter(|target| *target != prefill)
            {
                (prefill, changed_at) = (target, second);
            }
        }
        // The earlier load has decayed to a 256th by then.
        let settled = 120 + 8 * config().memory_seconds as u64;
        assert!(changed_at < settled, "seed {seed}: changed at {changed_at} under a fixed load");
    }
}

#[test]
fn values_out_of_range_are_rejected() {
    let invalid = [
        StagePolicyConfig { prefill_share: 1.5, ..config() },
        StagePolicyConfig { reading_utilization: 0.0, ..config() },
        StagePolicyConfig { answering_utilization: f64::NAN, ..config() },
        StagePolicyConfig { floor_share: 0.6, ..config() },
        StagePolicyConfig { smoothing_seconds: -1.0, ..config() },
        StagePolicyConfig { memory_seconds: 0.0, ..config() },
        StagePolicyConfig { change_minimum_share: 2.0, ..config() },
        StagePolicyConfig { dwell_seconds: -1.0, ..config() },
    ];
    assert!(invalid.iter().all(|config| config.validate().is_err()));
    assert_eq!(config().validate(), Ok(()));
}

#[test]
fn nodes_with_the_same_peers_select_the_same_candidates() {
    let address = |number: u8| Address(std::net::SocketAddr::from(([10, 0, 0, number], 8_000)));
    let nodes: Vec<Address> = (1..=20).map(address).collect();
    let candidates_of = |own: Address| {
        let peers: Vec<Address> = nodes.iter().copied().filter(|node| *node != own).collect();
        candidates(own, &peers)
    };
    assert!(nodes.iter().all(|node| candidates_of(*node) == candidates_of(nodes[0])));
    assert_eq!(candidates_of(nodes[0]).len(), 2);
    assert_eq!(candidates(nodes[0], &[]), vec![nodes[0]]);
}

#[test]
fn a_new_system_uses_the_configured_share_until_a_load_is_observed() {
    let counts = StageCounts { prefill: 4, decode: 16, slots: 10 };
    let configured = (config().prefill_share * 20.0).round() as usize;
    let decided = |policy: &StagePolicy, is_first| policy.decide(&service(), counts, is_first).map(|it| it.prefill);
    assert_eq!(decided(&StagePolicy::new(config()), true), Some(configured));
    assert_eq!(decided(&StagePolicy::new(config()), false), None);
    let policy = policy_after(ServiceLoad { busy_prefill_engines: 7.0, concurrent_answers: 60.0 });
    assert_eq!(decided(&policy, true), Some(10));
}
