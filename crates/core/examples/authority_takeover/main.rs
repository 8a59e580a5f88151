//! Measures in virtual time how long a takeover of the authority over a pool takes and how many store operations it
//! needs.
//!
//! `cargo run --release -p havengate-core --example authority_takeover`
//!
//! Each row summarizes a number of seeded runs: the holder of a pool is killed while its two successors are prepared,
//! and the measurement ends when the first successor publishes that it holds the authority. The failure detector is
//! modelled as a uniform delay between 0.5 s and 2.5 s; the network delay is 0.2 ms to 0.8 ms one way.

#[allow(dead_code, reason = "shared with the tests; each program uses a part of it")]
mod simulation;

use std::time::Duration;

use simulation::world::{Fault, Simulation, SimulationConfig};

const RUNS: u64 = 1_000;
const NODES: usize = 4;
const ENGINES: usize = 12;
const LIMIT: Duration = Duration::from_secs(60);

struct Scenario {
    name: &'static str,
    faults: &'static [Fault],
}

const SCENARIOS: [Scenario; 4] = [
    Scenario { name: "store up", faults: &[] },
    Scenario { name: "store down", faults: &[Fault::StoreDown(true)] },
    Scenario { name: "store up, an engine lost", faults: &[Fault::StopEngine(5)] },
    Scenario { name: "store down, an engine lost", faults: &[Fault::StoreDown(true), Fault::StopEngine(5)] },
];

struct Takeover {
    since_death: Duration,
    since_detection: Duration,
    store_operations: u64,
}

fn take_over(seed: u64, faults: &[Fault]) -> Option<Takeover> {
    let mut simulation = Simulation::new(seed, SimulationConfig::without_faults(NODES, ENGINES));
    simulation.run(Duration::from_secs(10));
    faults.iter().for_each(|fault| simulation.apply(*fault));
    let operations = simulation.store.operations;
    simulation.apply(Fault::KillNode(0));
    let (died, detected) = (simulation.now, simulation.view_at(1));
    simulation.run_to_takeover(0, LIMIT)?;
    let taken = simulation.now;
    simulation.run(Duration::from_secs(10));
    Some(Takeover {
        since_death: taken.since(died),
        since_detection: taken.since(detected),
        store_operations: simulation.store.operations - operations,
    })
}

fn percentile(sorted: &[Duration], share: f64) -> f64 {
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1;
    sorted[index].as_secs_f64()
}

fn columns(mut durations: Vec<Duration>) -> String {
    durations.sort();
    let figures = [0.5, 0.99, 1.0].map(|share| format!("{:.2}", percentile(&durations, share)));
    figures.join(" | ")
}

fn main() {
    println!(
        "| {RUNS} runs each | death p50 s | p99 | max | detection p50 s | p99 | max | store operations | failed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for scenario in &SCENARIOS {
        let runs: Vec<Takeover> = (1..=RUNS).filter_map(|seed| take_over(seed, scenario.faults)).collect();
        let failed = RUNS - runs.len() as u64;
        if runs.is_empty() {
            println!("| {} | | | | | | | | {failed} |", scenario.name);
            continue;
        }
        let since_death = columns(runs.iter().map(|run| run.since_death).collect());
        let since_detection = columns(runs.iter().map(|run| run.since_detection).collect());
        let operations = runs.iter().map(|run| run.store_operations).sum::<u64>() as f64 / runs.len() as f64;
        println!("| {} | {since_death} | {since_detection} | {operations:.1} | {failed} |", scenario.name);
    }
}
