//! The two example deployments, and what a deployment is refused for.

use std::path::{Path, PathBuf};
use std::time::Duration;

use havengate_core::world::ZoneName;
use havengate_node::settings::LogSettings;
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

/// What is wrong with the print cooperative's deployment after `change`, one text for each problem.
fn problems_after(change: impl FnOnce(&mut Deployment)) -> Vec<String> {
    let mut deployment = load("himal-chhapai.toml");
    change(&mut deployment);
    match deployment.validate() {
        Err(DeploymentError::Invalid(problems)) => problems.iter().map(ToString::to_string).collect(),
        other => panic!("not found invalid: {other:?}"),
    }
}

/// Expects exactly the problems that begin like this.
#[track_caller]
fn assert_problems(expected: &[&str], change: impl FnOnce(&mut Deployment)) {
    let problems = problems_after(change);
    let all_begin_so = problems.iter().zip(expected).all(|(problem, start)| problem.starts_with(start));
    assert!(problems.len() == expected.len() && all_begin_so, "{problems:#?}");
}

#[track_caller]
fn assert_fleet(deployment: &Deployment, zones: usize, fleet: &[(&str, usize)], latency: Duration) {
    let configuration = &deployment.configuration;
    assert_eq!(configuration.zones.len(), zones);
    assert_eq!(deployment.machines.len(), 2 * zones);
    for (model, engines) in fleet {
        assert_eq!(engines_of(deployment, model), *engines, "{model}");
    }
    assert_eq!(configuration.engines.len(), fleet.iter().map(|(_, engines)| engines).sum::<usize>());
    for (from, to) in configuration.zones.iter().flat_map(|from| configuration.zones.iter().map(move |to| (from, to))) {
        let expected = if from == to { Duration::ZERO } else { latency };
        assert_eq!(deployment.zone_latency(&from.name, &to.name), expected, "{} - {}", from.name, to.name);
    }
    assert_eq!(deployment.client_latency, Duration::from_millis(3));
}

#[test]
fn the_print_cooperative_has_its_zones_engines_and_latencies() {
    let deployment = load("himal-chhapai.toml");
    assert_fleet(&deployment, 4, &[("lekh-model", 12), ("chhapai-desk", 4)], Duration::from_micros(1_500));
    assert!(!is_repeatable(&deployment, "ticket"));
    assert!(is_repeatable(&deployment, "verdict"));
}

#[test]
fn trag_has_its_zones_engines_and_latencies() {
    let deployment = load("trag.toml");
    assert_fleet(&deployment, 3, &[("triage-lm", 18), ("trag-api", 3)], Duration::from_micros(500));
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
    let zones = "patan, bhaktapur, kirtipur, thamel";
    let engine = format!("configuration: engine lekh-model-01.zone is `pokhara`; allowed: {zones}");
    assert_problems(&[&engine], |deployment| deployment.configuration.engines[0].zone = ZoneName::from("pokhara"));
    let machine = format!("`machine.zone` is pokhara; allowed: {zones}");
    assert_problems(&[&machine], |deployment| deployment.machines[0].zone = "pokhara".into());
    assert_problems(&["configuration: tenant publishers.contract is `verdicts`"], |deployment| {
        deployment.configuration.tenants[0].contract = "verdicts".into();
    });
}

#[test]
fn an_address_can_be_taken_only_once() {
    let taken =
        "`configuration.engine lekh-model-01.address` is 127.0.0.1:21101; allowed: an address that nothing else";
    assert_problems(&[taken], |deployment| {
        deployment.configuration.engines[0].address = deployment.machines[0].callers_address;
    });
}

#[test]
fn values_out_of_range_are_refused_whether_of_stand_ins_nodes_or_configuration() {
    let expected = [
        "`configuration.link patan - bhaktapur.latency` is 2s; allowed: 0s to 1s",
        "`engines.cache_event_loss` is 1.5; allowed: 0 to 1",
        "`limits.queue_maximum` is 0; allowed: 1 to 100000",
        "configuration: model lekh-model.performance.prefill_tokens_per_second is `NaN`",
    ];
    assert_problems(&expected, |deployment| {
        deployment.configuration.links[0].latency = Duration::from_secs(2);
        deployment.engines.cache_event_loss = 1.5;
        deployment.limits.queue_maximum = 0;
        deployment.configuration.models[0].performance.prefill_tokens_per_second = f64::NAN;
    });
}

#[test]
fn a_pool_needs_a_machine_in_one_of_its_zones() {
    let expected = [
        "`machine` is none there; allowed: at least one in a zone of pool chhapai-desk/kathmandu-valley/0: patan",
        "`machine` is none there; allowed: at least one in a zone of pool lekh-model/kathmandu-valley/0: patan",
    ];
    assert_problems(&expected, |deployment| {
        deployment.machines.retain(|machine| machine.zone.as_str() == "thamel");
        deployment.configuration.engines.retain(|engine| engine.zone.as_str() == "patan");
        deployment.configuration.models.iter_mut().for_each(|model| (model.prefill_floor, model.decode_floor) = (1, 1));
    });
}
