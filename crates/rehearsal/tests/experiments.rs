//! The shipped experiments can be run on their deployments, and their requests are repeatable.

use std::path::{Path, PathBuf};

use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::{Arrival, Arrivals, Experiment};

const SHIPPED: [(&str, &str); 6] = [
    ("himal-chhapai.toml", "himal-waves.toml"),
    ("himal-chhapai.toml", "himal-bursts.toml"),
    ("himal-chhapai.toml", "himal-faults.toml"),
    ("trag.toml", "trag-waves.toml"),
    ("trag.toml", "trag-bursts.toml"),
    ("trag.toml", "trag-faults.toml"),
];

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn experiment(name: &str) -> Experiment {
    Experiment::load(&example("experiments").join(name)).expect("a shipped experiment loads")
}

#[test]
fn shipped_experiments_fit_their_deployments() {
    for (deployment, name) in SHIPPED {
        let deployment = Deployment::load(&example(deployment)).expect("a shipped deployment loads");
        experiment(name).validate_for(&deployment).expect("the experiment names only what the deployment has");
    }
}

#[test]
fn an_experiment_does_not_fit_another_deployment() {
    let deployment = Deployment::load(&example("trag.toml")).expect("a shipped deployment loads");
    let error = experiment("himal-waves.toml").validate_for(&deployment).expect_err("its tenants are unknown there");
    assert!(error.to_string().contains("`publishers`"), "{error}");
}

#[test]
fn the_same_seed_gives_the_same_requests_and_another_seed_others() {
    let experiment = experiment("trag-waves.toml");
    let take = |seed| Arrivals::new(&experiment, seed).take(2_000).collect::<Vec<Arrival>>();
    assert_eq!(take(1), take(1));
    assert_ne!(take(1), take(2));
}

#[test]
fn requests_come_in_order_at_the_described_rate_and_lengths() {
    let experiment = experiment("himal-waves.toml");
    let arrivals: Vec<Arrival> = Arrivals::new(&experiment, 7).collect();
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    let expected: f64 = experiment
        .phases
        .iter()
        .flat_map(|phase| phase.sources.iter().map(|source| source.requests_per_second * phase.duration.as_secs_f64()))
        .sum::<f64>()
        * f64::from(experiment.repetitions);
    let share = arrivals.len() as f64 / expected;
    assert!((0.95..1.05).contains(&share), "{} requests of {expected} expected", arrivals.len());
    for arrival in &arrivals {
        let sources = &experiment.phases[arrival.phase].sources;
        let allowed = sources.iter().any(|source| {
            source.tenant == arrival.tenant
                && (source.prompt_tokens.minimum..=source.prompt_tokens.maximum).contains(&arrival.prompt_tokens)
                && (source.output_tokens.minimum..=source.output_tokens.maximum).contains(&arrival.output_tokens)
        });
        assert!(allowed, "{arrival:?}");
    }
}

#[test]
fn unknown_fields_of_faults_are_refused() {
    let phase = "name = \"x\"\n[[phase]]\nname = \"p\"\nduration = \"1m\"\n";
    let read =
        |fault: &str| toml::from_str::<Experiment>(&format!("{phase}[[fault]]\nat = \"1s\"\nfor = \"2s\"\n{fault}"));
    for fault in ["kind = \"store_outage\"", "kind = \"engine_crash\"\nengine = \"e\""] {
        assert!(read(fault).is_ok(), "{fault}: {:?}", read(fault).err());
        assert!(read(&format!("{fault}\nspeed = 1")).is_err(), "{fault}");
    }
}
