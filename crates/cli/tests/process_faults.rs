//! Real node processes that are killed, paused and stopped while callers ask: no promise is broken.

mod process_faults_support;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use havengate_core::world::{Address, Tenant};
use havengate_rehearsal::checker::{CallRecord, Disturbance, Evidence, Outcome, check};
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::{Experiment, LengthRange, Phase, TrafficSource};
use havengate_rehearsal::live::{
    CallerTargets, LoadHistory, LoadPlan, PlannedCall, plan_calls, run_load, wait_for_claims,
};
use process_faults_support::{Fleet, deployment};

const LOAD_FOR: Duration = Duration::from_secs(36);
const PAUSE_OF_A_NODE: Duration = Duration::from_secs(6);
const QUIET: Duration = Duration::from_secs(2);
const REQUESTS_PER_SECOND: f64 = 4.0;
const SEED: u64 = 7;

/// Engines don't leave in this test.
const LEAVING_BOUND: Duration = Duration::MAX;

#[test]
fn killed_paused_and_stopped_nodes_break_no_promise() {
    let mut fleet = Fleet::start(deployment());
    let mut probes = wait_for_claims(&fleet.deployment).expect("nodes that vouch for keys");
    fleet.wait_for_agreement();

    let (load, disturbances) = load_with_faults(&mut fleet);

    probes.extend(wait_for_claims(&fleet.deployment).expect("nodes that serve again"));
    fleet.wait_for_agreement();
    println!("outcomes: {}", outcomes(&load));
    let first_fault_at = disturbances[0].from;
    let served = load.clone();
    let evidence = Evidence {
        offered: load.offered,
        calls: load.calls,
        probes,
        engines: fleet.observations(),
        disturbances,
        leaving_bound: LEAVING_BOUND,
    };
    let violations: Vec<String> = check(&evidence).iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert_load_was_served(&served, first_fault_at);
}

/// Sends the load, while the faults strike one after the other.
fn load_with_faults(fleet: &mut Fleet) -> (LoadHistory, Vec<Disturbance>) {
    let calls = calls(&fleet.deployment);
    let machines = fleet.deployment.machines.iter();
    let targets = CallerTargets::new(machines.map(|machine| machine.callers_address).collect());
    let start = Instant::now();
    thread::scope(|scope| {
        let load = scope.spawn(|| run_load(calls, &targets, start));
        thread::sleep(QUIET);
        let killed = disturbance(start, || kill_owner(fleet));
        thread::sleep(QUIET);
        let paused = disturbance(start, || pause_owner(fleet));
        thread::sleep(QUIET);
        stop_owner(fleet);
        (load.join().expect("the load's end"), vec![killed, paused])
    })
}

fn disturbance(start: Instant, strike: impl FnOnce()) -> Disturbance {
    let from = start.elapsed();
    strike();
    Disturbance { from, until: start.elapsed() }
}

/// Kills the pool's owner, and starts a new process in its place.
fn kill_owner(fleet: &mut Fleet) {
    let owner = fleet.wait_for_agreement();
    fleet.take_node(owner).kill();
    fleet.start_node(owner);
    fleet.wait_for_agreement();
}

/// Pauses the pool's owner for so long that the others go on without it.
fn pause_owner(fleet: &Fleet) {
    let owner = fleet.wait_for_agreement();
    fleet.node(owner).signal("STOP");
    thread::sleep(PAUSE_OF_A_NODE);
    fleet.node(owner).signal("CONT");
    fleet.wait_for_agreement();
}

/// Stops the pool's owner as planned while it has a stream open, and starts a new process in its place.
fn stop_owner(fleet: &mut Fleet) {
    let owner: Address = fleet.wait_for_agreement();
    fleet.wait_for_open_stream(owner);
    let node = fleet.take_node(owner);
    node.signal("TERM");
    assert_eq!(node.exit_code(), Some(0), "a planned stop ends with exit code 0");
    fleet.start_node(owner);
    fleet.wait_for_agreement();
}

fn calls(deployment: &Deployment) -> Vec<PlannedCall> {
    let experiment = Experiment {
        name: "steady".to_owned(),
        description: String::new(),
        warm_up: Duration::ZERO,
        repetitions: 1,
        phases: vec![Phase { name: "steady".to_owned(), duration: LOAD_FOR, sources: sources(deployment) }],
        faults: Vec::new(),
        role_policy: None,
        arms: Vec::new(),
    };
    let configuration = &deployment.configuration;
    plan_calls(&LoadPlan { configuration, experiment: &experiment, duration: LOAD_FOR, rate_scale: 1.0, seed: SEED })
}

/// Both tenants ask; the one with the ticket contract uses a key for each request, and repeats some at any node.
fn sources(deployment: &Deployment) -> Vec<TrafficSource> {
    let model = &deployment.configuration.models.first().expect("a model").name;
    let source = |tenant: &Tenant| TrafficSource {
        tenant: tenant.name.clone(),
        model: model.clone(),
        requests_per_second: REQUESTS_PER_SECOND,
        prompt_tokens: LengthRange { minimum: 100, maximum: 2_000 },
        output_tokens: LengthRange { minimum: 20, maximum: 400 },
        shared_prefix_tokens: 0,
        shared_prefixes: 1,
        once_only: tenant.contract.as_str() == "ticket",
    };
    deployment.configuration.tenants.iter().map(source).collect()
}

/// The checker proves little if hardly anything was served, or keys were never met again. How much is served during a
/// fault depends on the machine; before the first one every request without a key must be. One with a key may be refused
/// when the nodes that vouch for it answer late.
fn assert_load_was_served(load: &LoadHistory, first_fault_at: Duration) {
    let undisturbed = |call: &&CallRecord| call.ended_at < first_fault_at && call.keyed.is_none();
    let before: Vec<&CallRecord> = load.calls.iter().filter(undisturbed).collect();
    assert!(!before.is_empty(), "no request ended before the first fault");
    let refused = before.iter().find(|call| call.outcome != Outcome::Completed);
    assert!(refused.is_none(), "refused or failed before the first fault: {refused:?}");
    let completed = |is_counted: &dyn Fn(&CallRecord) -> bool| {
        load.calls.iter().any(|call| call.outcome == Outcome::Completed && is_counted(call))
    };
    let is_after = |call: &CallRecord| call.sent_at > first_fault_at;
    assert!(completed(&|call| is_after(call) && call.keyed.is_some()), "none with a key: {}", outcomes(load));
    assert!(completed(&|call| is_after(call) && call.keyed.is_none()), "none without a key: {}", outcomes(load));
    assert!(load.calls.iter().any(|call| call.is_repeat), "no key was used again");
    let refused_for_good = load.calls.iter().any(|call| call.reason() == Some("unknown_tenant"));
    assert!(!refused_for_good, "a good key was called unknown: {}", outcomes(load));
}

fn outcomes(load: &LoadHistory) -> String {
    let mut counts = BTreeMap::<String, usize>::new();
    for call in &load.calls {
        *counts.entry(format!("{:?}", call.outcome)).or_default() += 1;
    }
    format!("{counts:?}")
}
