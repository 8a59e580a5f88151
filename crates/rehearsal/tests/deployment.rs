//! The two example deployments, and what a deployment is refused for.

use std::path::{Path, PathBuf};
use std::time::Duration;

use havengate_core::world::ZoneName;
use havengate_node::settings::{InvalidValue, LogSettings};
use havengate_rehearsal::deployment::{Deployment, DeploymentError};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn load(name: &str) -> Deployment {
    Deployment::load(&example(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn engines_of(deployment: &Deployment, model: &str) -> usize {
    deployment.configuration.engines.iter().filter(|engine| engine.model.as_str() == model).count()
}

fn is_repeatable(deployment: &Deployment, contract: &str) -> bool {
    let contracts = &deployment.configuration.contracts;
    contracts.iter().find(|item| item.name.as_str() == contract).expect("a contract of the example").repeatable
}

/// What is wrong with the print cooperative's deployment after `change`.
fn problems_after(change: impl FnOnce(&mut Deployment)) -> Vec<InvalidValue> {
    let mut deployment = load("himal-chhapai.toml");
    change(&mut deployment);
    match deployment.validate() {
        Err(DeploymentError::Invalid(problems)) => problems,
        other => panic!("not found invalid: {other:?}"),
    }
}

fn keys_after(change: impl FnOnce(&mut Deployment)) -> Vec<String> {
    problems_after(change).into_iter().map(|problem| problem.key).collect()
}

#[test]
fn the_print_cooperative_has_its_zones_engines_and_latencies() {
    let deployment = load("himal-chhapai.toml");
    let [patan, thamel] = ["patan", "thamel"].map(ZoneName::from);
    assert_eq!(deployment.configuration.zones.len(), 4);
    assert_eq!(deployment.machines.len(), 8);
    assert_eq!(engines_of(&deployment, "lekh-model"), 12);
    assert_eq!(engines_of(&deployment, "chhapai-desk"), 4);
    assert_eq!(deployment.zone_latency(&thamel, &patan), Duration::from_micros(1_500));
    assert_eq!(deployment.zone_latency(&patan, &patan), Duration::ZERO);
    assert_eq!(deployment.client_latency, Duration::from_millis(3));
    assert!(!is_repeatable(&deployment, "ticket"));
    assert!(is_repeatable(&deployment, "verdict"));
}

#[test]
fn trag_has_its_zones_engines_and_latencies() {
    let deployment = load("trag.toml");
    let [hall_a, hall_c] = ["zg-hall-a", "zg-hall-c"].map(ZoneName::from);
    assert_eq!(deployment.configuration.zones.len(), 3);
    assert_eq!(deployment.machines.len(), 6);
    assert_eq!(engines_of(&deployment, "triage-lm"), 18);
    assert_eq!(engines_of(&deployment, "trag-api"), 3);
    assert_eq!(deployment.zone_latency(&hall_a, &hall_c), Duration::from_micros(500));
    assert_eq!(deployment.client_latency, Duration::from_millis(3));
    assert!(!is_repeatable(&deployment, "hint"));
    assert!(is_repeatable(&deployment, "lookup"));
}

#[test]
fn both_examples_can_run_side_by_side() {
    let addresses = |deployment: &Deployment| {
        let engines = deployment.configuration.engines.iter().map(|engine| engine.address);
        let machines = deployment.machines.iter();
        let nodes = machines.flat_map(|node| [node.callers_address, node.operators_address, node.peers_address]);
        engines.chain(nodes).chain([deployment.platform.address]).collect::<Vec<_>>()
    };
    let himal_chhapai = addresses(&load("himal-chhapai.toml"));
    let shared = addresses(&load("trag.toml")).into_iter().find(|address| himal_chhapai.contains(address));
    assert_eq!(shared, None);
}

#[test]
fn each_node_gets_valid_settings_with_a_seed_in_each_zone() {
    for name in ["himal-chhapai.toml", "trag.toml"] {
        let deployment = load(name);
        for machine in &deployment.machines {
            let settings = deployment.node_settings(machine, LogSettings::default());
            settings.validate().expect("settings of a node");
            assert_eq!(settings.zone, machine.zone);
            assert_eq!(settings.seeds.len(), deployment.configuration.zones.len());
        }
        assert_eq!(deployment.platform_machines().len(), deployment.machines.len());
    }
}

#[test]
fn unknown_names_are_refused_with_the_known_ones() {
    let problems = problems_after(|deployment| deployment.configuration.engines[0].zone = ZoneName::from("pokhara"));
    assert_eq!(problems[0].key, "configuration.engine lekh-model-01.zone");
    assert_eq!(problems[0].value, "`pokhara`");
    assert_eq!(problems[0].allowed, "patan, bhaktapur, kirtipur, thamel");

    let keys = keys_after(|deployment| deployment.configuration.tenants[0].contract = "verdicts".into());
    assert_eq!(keys, ["configuration.tenant publishers.contract"]);

    let keys = keys_after(|deployment| deployment.machines[0].zone = "pokhara".into());
    assert_eq!(keys, ["machine.zone"]);
}

#[test]
fn doubled_names_and_addresses_are_refused() {
    let keys = keys_after(|deployment| {
        let double = deployment.configuration.engines[0].clone();
        deployment.configuration.engines.push(double);
    });
    assert_eq!(keys, ["configuration.engine lekh-model-01.address", "configuration.engine"]);

    let keys = keys_after(|deployment| {
        let shared = deployment.configuration.tenants[0].api_key.clone();
        deployment.configuration.tenants[1].api_key = shared;
    });
    assert_eq!(keys, ["configuration.tenant.api_key"]);
}

#[test]
fn values_that_no_fleet_can_have_are_refused() {
    let keys = keys_after(|deployment| {
        deployment.configuration.models[0].decode_floor = 13;
        deployment.configuration.models[0].performance.prefill_tokens_per_second = f64::NAN;
        deployment.engines.cache_event_loss = 1.5;
        deployment.limits.queue_maximum = 0;
    });
    let expected = [
        "engines.cache_event_loss",
        "configuration.model lekh-model.decode_floor",
        "configuration.model lekh-model.performance.prefill_tokens_per_second",
        "limits.queue_maximum",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn a_pool_without_machines_in_its_zones_is_refused() {
    let keys = keys_after(|deployment| {
        deployment.machines.retain(|machine| machine.zone.as_str() == "thamel");
        deployment.configuration.engines.retain(|engine| engine.zone.as_str() == "patan");
        deployment.configuration.models.iter_mut().for_each(|model| (model.prefill_floor, model.decode_floor) = (1, 1));
    });
    assert_eq!(keys, ["configuration.engine", "configuration.engine"]);
}

#[test]
fn unknown_policies_are_refused() {
    let problems = problems_after(|deployment| {
        let choice = havengate_core::configuration::PolicyChoice::with_defaults("by_feeling");
        deployment.configuration.role_policy = Some(choice);
    });
    assert_eq!(problems[0].key, "configuration.role_policy");
    assert!(problems[0].allowed.contains("static"), "{}", problems[0]);
}
