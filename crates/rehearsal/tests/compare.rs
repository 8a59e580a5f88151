//! Comparisons: the interval over seeds, the splits that are tried, and tables that don't depend on threads.

use std::path::{Path, PathBuf};
use std::time::Duration;

use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::RoleCounts;
use havengate_rehearsal::compare::{
    Comparison, ComparisonTable, Contender, Interval, SeedRange, coarse_splits, compare, neighbours,
};
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::Experiment;
use havengate_rehearsal::simulate::RoleSource;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn contender(policy: &str) -> Contender {
    Contender {
        name: policy.to_owned(),
        roles: RoleSource::Policy(PolicyChoice::with_defaults(policy)),
        first_roles: None,
        placement: PolicyChoice::with_defaults("cost"),
    }
}

/// A comparison of two policies over a few seconds of traffic.
fn comparison(threads: usize, sweep: bool) -> Comparison {
    let path = example("experiments/himal-waves.toml");
    let mut experiment = Experiment::load(&path).expect("a shipped experiment loads");
    experiment.repetitions = 1;
    experiment.warm_up = Duration::ZERO;
    experiment.phases.iter_mut().for_each(|phase| phase.duration = Duration::from_secs(5));
    Comparison {
        deployment: Deployment::load(&example("himal-chhapai.toml")).expect("a shipped deployment loads"),
        experiment,
        seeds: SeedRange { first: 1, last: 3 },
        sweep_seeds: SeedRange { first: 4, last: 4 },
        contenders: vec![contender("static"), contender("reactive")],
        sweep,
        threads,
    }
}

fn table(comparison: &Comparison) -> ComparisonTable {
    compare(comparison, &|_, _| {}).expect("the comparison can be made")
}

#[test]
fn the_table_does_not_depend_on_threads() {
    assert_eq!(table(&comparison(1, false)), table(&comparison(4, false)));
}

#[test]
fn a_sweep_adds_the_best_split_and_the_clairvoyant_plan() {
    let table = table(&comparison(4, true));
    let names: Vec<&str> = table.rows.iter().map(|row| row.name.as_str()).collect();
    assert_eq!(names[..2], ["static", "reactive"]);
    assert!(names[2].starts_with("best static ") && names[3].starts_with("clairvoyant "), "{names:?}");
    let exact = Some(Interval { mean: 1.0, half_width: 0.0 });
    assert_eq!((table.rows[2].against_static, table.rows[3].against_clairvoyant), (exact, exact));
    assert!(table.splits_tried >= coarse_splits(12).len());
}

#[test]
fn the_interval_is_that_of_students_t() {
    // Mean 3, standard deviation 1.5811, four degrees of freedom: 2.776 x 1.5811 / sqrt(5) = 1.963.
    let interval = Interval::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!(interval.mean, 3.0);
    assert!((interval.half_width - 1.963).abs() < 0.001, "{interval:?}");
    assert_eq!(Interval::of(&[7.0]), Interval { mean: 7.0, half_width: 0.0 });
}

#[test]
fn splits_keep_the_number_of_engines_and_serve_both_kinds_of_work() {
    let middle = RoleCounts { prefill: 3, decode: 3, mixed: 6 };
    let near = neighbours(middle);
    assert_eq!(near.len(), 6);
    for roles in coarse_splits(12).into_iter().chain(near) {
        assert_eq!(roles.total(), 12);
        assert!(roles.prefill + roles.mixed > 0 && roles.decode + roles.mixed > 0, "{roles:?}");
    }
}

#[test]
fn ranges_of_seeds_are_read_and_wrong_ones_refused() {
    assert_eq!("2..5".parse::<SeedRange>().map(|range| range.seeds().collect::<Vec<u64>>()), Ok(vec![2, 3, 4, 5]));
    for wrong in ["5..2", "5", "a..b", ""] {
        assert!(wrong.parse::<SeedRange>().is_err(), "{wrong}");
    }
}
