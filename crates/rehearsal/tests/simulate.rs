//! Simulations: the same seed gives the same bytes, figures add up, and the guarantees hold under faults.

use std::path::{Path, PathBuf};
use std::time::Duration;

use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::RoleCounts;
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::{Experiment, Fault, FaultKind};
use havengate_rehearsal::simulate::{RoleSource, SimulationError, SimulationFigures, SimulationPlan, simulate};

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const PHASE: Duration = Duration::from_secs(25);

struct Shipped {
    deployment: &'static str,
    experiment: &'static str,
    engines: [&'static str; 3],
    largest_pool: u16,
}

const HIMAL: Shipped = Shipped {
    deployment: "himal-chhapai.toml",
    experiment: "himal-waves.toml",
    engines: ["lekh-model-03", "lekh-model-07", "chhapai-desk-02"],
    largest_pool: 12,
};

const TRAG: Shipped = Shipped {
    deployment: "trag.toml",
    experiment: "trag-waves.toml",
    engines: ["triage-lm-03", "triage-lm-11", "trag-api-02"],
    largest_pool: 18,
};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// A shipped experiment, once through its phases, with phases of a few seconds.
fn short(shipped: &Shipped, seed: u64) -> SimulationPlan {
    let deployment = Deployment::load(&example(shipped.deployment)).expect("a shipped deployment loads");
    let path = example("experiments").join(shipped.experiment);
    let mut experiment = Experiment::load(&path).expect("a shipped experiment loads");
    experiment.repetitions = 1;
    experiment.warm_up = Duration::ZERO;
    experiment.phases.iter_mut().for_each(|phase| phase.duration = PHASE);
    SimulationPlan::new(deployment, experiment, seed)
}

fn fault(at: u64, seconds: u64, kind: FaultKind) -> Fault {
    Fault { at: Duration::from_secs(at), duration: Duration::from_secs(seconds), kind }
}

/// A short experiment with all kinds of faults that are simulated, under a policy that changes roles often.
fn with_faults(shipped: &Shipped, seed: u64) -> SimulationPlan {
    let mut plan = short(shipped, seed);
    let [first, second, third] = shipped.engines.map(Into::into);
    plan.experiment.faults = vec![
        fault(8, 6, FaultKind::EngineCrash { engine: first }),
        fault(10, 12, FaultKind::EngineLeaving { engine: second }),
        fault(12, 5, FaultKind::LoadReportLag { lag: Duration::from_secs(3) }),
        fault(15, 15, FaultKind::StoreOutage {}),
        fault(20, 3, FaultKind::EnginePause { engine: third.clone() }),
        fault(32, 4, FaultKind::EngineCrash { engine: third }),
        fault(34, 4, FaultKind::StoreRepliesLost {}),
    ];
    plan.roles = Some(RoleSource::Policy(PolicyChoice::with_defaults("reactive")));
    plan
}

/// The same with fixed roles, half of them prefill and half decode: each request moves its KV cache.
fn split_with_faults(shipped: &Shipped, seed: u64) -> SimulationPlan {
    let mut plan = with_faults(shipped, seed);
    let half = shipped.largest_pool / 2;
    plan.first_roles = Some(RoleCounts { prefill: half, decode: half, mixed: 0 });
    plan.roles = None;
    plan
}

const MAKERS: [fn(&Shipped, u64) -> SimulationPlan; 2] = [with_faults, split_with_faults];

fn run(plan: &SimulationPlan) -> SimulationFigures {
    simulate(plan).expect("the plan can be simulated")
}

fn bytes(plan: &SimulationPlan) -> String {
    serde_json::to_string(&run(plan)).expect("figures have a JSON form")
}

fn assert_adds_up(figures: &SimulationFigures) {
    assert!(figures.offered > 500, "{figures:?}");
    assert_eq!(figures.offered, figures.completed + figures.not_run + figures.may_have_run, "{figures:?}");
    for groups in [&figures.goodput_by_class, &figures.goodput_by_phase] {
        let met: u64 = groups.values().map(|share| share.met).sum();
        assert_eq!(groups.values().map(|share| share.offered).sum::<u64>(), figures.offered, "{figures:?}");
        assert!(met <= figures.completed, "{figures:?}");
        assert_eq!(met as f64 / figures.offered as f64, figures.goodput, "{figures:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_seed_others() {
    let plan = with_faults(&HIMAL, 1);
    assert_eq!(bytes(&plan), bytes(&plan));
    assert_ne!(bytes(&plan), bytes(&SimulationPlan { seed: 2, ..plan }));
}

#[test]
fn guarantees_hold_and_figures_add_up_under_faults() {
    for (shipped, make) in [&HIMAL, &TRAG].into_iter().flat_map(|shipped| MAKERS.map(|make| (shipped, make))) {
        let mut left_in_doubt = 0;
        for seed in SEEDS {
            let figures = run(&make(shipped, seed));
            assert_adds_up(&figures);
            assert_eq!(figures.violations.total(), 0, "{figures:?}");
            assert!(figures.goodput < 1.0, "the faults left no trace: {figures:?}");
            left_in_doubt += figures.may_have_run;
        }
        assert!(left_in_doubt > 0, "no crash struck a request that must not run twice");
    }
}

#[test]
fn without_faults_no_request_is_left_in_doubt() {
    for shipped in [&HIMAL, &TRAG] {
        let figures = run(&short(shipped, 1));
        assert_adds_up(&figures);
        assert_eq!((figures.may_have_run, figures.violations.total()), (0, 0), "{figures:?}");
    }
}

#[test]
fn roles_change_only_under_a_policy_that_changes_them() {
    let mut plan = short(&HIMAL, 1);
    plan.first_roles = Some(RoleCounts { prefill: 9, decode: 3, mixed: 0 });
    assert_eq!(run(&plan).role_changes, 0);
    plan.roles = Some(RoleSource::Policy(PolicyChoice::with_defaults("reactive")));
    let figures = run(&plan);
    assert!(figures.role_changes > 0 && figures.out_of_service_seconds > 0.0, "{figures:?}");
}

#[test]
fn what_is_not_simulated_is_refused() {
    let mut plan = short(&HIMAL, 1);
    plan.experiment.faults = vec![fault(5, 5, FaultKind::NodeKill { machine: 0 })];
    let error = simulate(&plan).expect_err("killed nodes are not simulated");
    assert!(matches!(error, SimulationError::FaultNotSimulated("node_kill")), "{error}");
    plan.experiment.faults.clear();
    plan.first_roles = Some(RoleCounts { prefill: 1, decode: 1, mixed: 1 });
    assert!(matches!(simulate(&plan), Err(SimulationError::WrongSplit { given: 3, engines: 12 })));
}
