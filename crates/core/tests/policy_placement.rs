//! Tests placement policies by name and the split of live traffic between them.

use std::time::Duration;

use havengate_core::configuration::{PolicyChoice, TrialArm};
use havengate_core::policy::{
    EngineView, PlacementPolicy, PolicyError, RequestOutcome, Stage, TrialSplitter, placement_policy,
};
use havengate_core::request::{BlockHash, RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, EnginePerformance, EngineRole};

fn request(id: u128) -> RequestProfile {
    RequestProfile {
        id: RequestId(id),
        tenant: "patan-press".into(),
        contract: "verdict".into(),
        model: "lekh-model".into(),
        prompt_tokens: 4_000,
        max_output_tokens: 100,
        blocks: vec![BlockHash(7)],
        key: None,
        time_left: Duration::from_secs(30),
        priority: 0,
    }
}

fn engine(number: usize) -> EngineView {
    EngineView {
        name: EngineName::new(format!("lekh-model-{number:02}")),
        role: EngineRole::Mixed,
        running: 0,
        decoding: 0,
        waiting_prefill_tokens: 0,
        prefill_wait: Duration::ZERO,
        interference_slack: Duration::MAX,
        reserved_kv_tokens: 0,
        cached_prefix_tokens: 0,
        link_latency: Duration::from_micros(500),
        performance: EnginePerformance::default(),
    }
}

fn policy(name: &str) -> Box<dyn PlacementPolicy> {
    placement_policy(&PolicyChoice::with_defaults(name), 1).expect("a known policy")
}

fn choose(policy: &mut dyn PlacementPolicy, engines: &[EngineView]) -> usize {
    policy.choose(&request(1), Stage::Whole, engines, Timestamp::ZERO).expect("candidates exist")
}

#[test]
fn unknown_names_and_parameters_are_refused() {
    let unknown = placement_policy(&PolicyChoice::with_defaults("fastest"), 1).err();
    assert!(matches!(unknown, Some(PolicyError::UnknownName { .. })));
    let mut choice = PolicyChoice::with_defaults("cost");
    choice.parameters.insert("speed".into(), 1.0);
    assert!(matches!(placement_policy(&choice, 1).err(), Some(PolicyError::UnknownParameter { .. })));
    let mut choice = PolicyChoice::with_defaults("prefix_affinity");
    choice.parameters.insert("load_bound".into(), f64::NAN);
    assert!(matches!(placement_policy(&choice, 1).err(), Some(PolicyError::ParameterOutOfRange { .. })));
}

#[test]
fn every_policy_chooses_one_of_the_candidates() {
    for name in ["cost", "least_loaded", "power_of_two", "prefix_affinity", "round_robin"] {
        let mut policy = policy(name);
        for count in 1..6 {
            let engines: Vec<EngineView> = (0..count).map(engine).collect();
            assert!(choose(policy.as_mut(), &engines) < count, "{name} with {count} engines");
        }
        assert_eq!(policy.choose(&request(1), Stage::Whole, &[], Timestamp::ZERO), None, "{name} without engines");
    }
}

#[test]
fn round_robin_chooses_engines_in_turn() {
    let engines: Vec<EngineView> = (0..3).map(engine).collect();
    let mut policy = policy("round_robin");
    let chosen: Vec<usize> = (0..6).map(|_| choose(policy.as_mut(), &engines)).collect();
    assert_eq!(chosen, [0, 1, 2, 0, 1, 2]);
}

#[test]
fn least_loaded_and_power_of_two_avoid_the_busy_engine() {
    let mut engines: Vec<EngineView> = (0..2).map(engine).collect();
    engines[0].running = 5;
    assert_eq!(choose(policy("least_loaded").as_mut(), &engines), 1);
    assert_eq!(choose(policy("power_of_two").as_mut(), &engines), 1);
}

#[test]
fn prefix_affinity_prefers_the_cache_up_to_its_load_bound() {
    let mut engines: Vec<EngineView> = (0..3).map(engine).collect();
    engines[2].cached_prefix_tokens = 3_000;
    assert_eq!(choose(policy("prefix_affinity").as_mut(), &engines), 2);
    engines[2].running = 30;
    assert_ne!(choose(policy("prefix_affinity").as_mut(), &engines), 2);
}

#[test]
fn cost_accounts_for_waiting_prompts_cache_link_and_streams() {
    let mut policy = policy("cost");
    let baseline: Vec<EngineView> = (0..2).map(engine).collect();
    let mut waiting = baseline.clone();
    waiting[0].prefill_wait = Duration::from_millis(500);
    assert_eq!(choose(policy.as_mut(), &waiting), 1);
    let mut cached = baseline.clone();
    cached[1].cached_prefix_tokens = 3_968;
    assert_eq!(choose(policy.as_mut(), &cached), 1);
    let mut far = baseline.clone();
    far[0].link_latency = Duration::from_millis(20);
    assert_eq!(choose(policy.as_mut(), &far), 1);
    let mut streaming = baseline.clone();
    streaming[0].decoding = 8;
    streaming[0].interference_slack = Duration::from_millis(100);
    streaming[1].prefill_wait = Duration::from_millis(300);
    assert_eq!(choose(policy.as_mut(), &streaming), 1, "exceeding eight streams' interval costs more than 0.3 s");
}

fn arm(name: &str, share: u16) -> TrialArm {
    TrialArm { name: name.into(), share, policy: PolicyChoice::with_defaults(name) }
}

#[test]
fn a_trial_splits_by_share_and_keeps_a_request_in_its_arm() {
    let arms = [arm("cost", 3), arm("round_robin", 1), arm("least_loaded", 0)];
    let (first, second) = (TrialSplitter::new(&arms, 1).expect("arms"), TrialSplitter::new(&arms, 2).expect("arms"));
    let mut counts = [0_u32; 3];
    for id in 0..4_000 {
        assert_eq!(first.arm_of(&request(id)), second.arm_of(&request(id)));
        counts[first.arm_of(&request(id))] += 1;
    }
    assert!((2_800..3_200).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[2], 0);
}

#[test]
fn a_trial_counts_outcomes_by_arm() {
    let mut splitter = TrialSplitter::new(&[arm("cost", 1), arm("round_robin", 1)], 1).expect("arms");
    let outcomes = [RequestOutcome::Met, RequestOutcome::Missed, RequestOutcome::NotRun, RequestOutcome::MayHaveRun];
    let mut expected = [0_u64; 2];
    for id in 0..400 {
        expected[splitter.arm_of(&request(id))] += 1;
        splitter.record(&request(id), outcomes[id as usize % outcomes.len()]);
    }
    for (arm, ended) in splitter.arm_outcomes().iter().zip(expected) {
        assert_eq!(arm.ended, ended);
        assert_eq!(arm.met + arm.missed + arm.not_run + arm.may_have_run, ended);
        assert!((arm.goodput() - arm.met as f64 / ended as f64).abs() < 1e-9);
    }
    assert_eq!(splitter.arm_outcomes().iter().map(|arm| arm.met).sum::<u64>(), 100);
}
