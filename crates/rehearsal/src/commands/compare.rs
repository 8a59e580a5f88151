//! `havengate-rehearsal compare`.

use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use havengate_rehearsal::compare::{Comparison, ComparisonTable, Contender, Interval, SeedRange, compare};
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::Experiment;
use havengate_rehearsal::simulate::RoleSource;

use super::policy_argument::policy;

/// The most simulations at once: more only contend for memory bandwidth.
const THREADS_MAXIMUM: usize = 4;

/// Options of `compare`.
#[derive(Clone, Debug, Bpaf)]
pub struct CompareOptions {
    /// The deployment file, for example examples/trag.toml
    #[bpaf(argument("FILE"))]
    deployment: PathBuf,
    /// The experiment file, for example examples/experiments/trag-waves.toml
    #[bpaf(argument("FILE"))]
    experiment: PathBuf,
    /// The seeds of the table, both ends included
    #[bpaf(argument("A..B"))]
    seeds: SeedRange,
    /// The seeds on which --sweep looks for its best; by default those of the table
    #[bpaf(argument("A..B"))]
    sweep_seeds: Option<SeedRange>,
    /// Role policies with commas, such as static,predictive:dwell_seconds=20
    #[bpaf(argument("NAMES"), fallback("static,reactive,hysteresis,predictive".to_owned()))]
    role_policies: String,
    /// Placement policies with commas
    #[bpaf(argument("NAMES"), fallback("cost".to_owned()))]
    placements: String,
    /// Adds the best static split and a planner that knows the trace
    sweep: bool,
    /// Prints JSON
    json: bool,
    /// Simulations that run at once, at most 4
    #[bpaf(argument("N"), fallback(THREADS_MAXIMUM))]
    threads: usize,
}

/// Runs a comparison.
pub fn run(options: &CompareOptions) -> ExitCode {
    match table(options) {
        Ok(table) if options.json => match serde_json::to_string_pretty(&table) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("{error}"),
        },
        Ok(table) => print_text(&table),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn table(options: &CompareOptions) -> Result<ComparisonTable, String> {
    let comparison = Comparison {
        deployment: Deployment::load(&options.deployment).map_err(|error| error.to_string())?,
        experiment: Experiment::load(&options.experiment).map_err(|error| error.to_string())?,
        seeds: options.seeds,
        sweep_seeds: options.sweep_seeds.unwrap_or(options.seeds),
        contenders: contenders(options)?,
        sweep: options.sweep,
        threads: options.threads.clamp(1, THREADS_MAXIMUM),
    };
    compare(&comparison, &show_progress).map_err(|error| error.to_string())
}

fn contenders(options: &CompareOptions) -> Result<Vec<Contender>, String> {
    let mut contenders = Vec::new();
    for placement in options.placements.split(',') {
        for roles in options.role_policies.split(',') {
            contenders.push(Contender {
                name: format!("{roles}, {placement}"),
                roles: RoleSource::Policy(policy(roles)?),
                first_roles: None,
                placement: policy(placement)?,
            });
        }
    }
    Ok(contenders)
}

fn show_progress(done: usize, all: usize) {
    let mut error = std::io::stderr();
    if error.is_terminal() {
        // Progress that can't be shown is no reason to stop.
        let _ = write!(error, "\r{done} of {all} simulations");
        let _ = error.flush();
    }
}

fn print_text(table: &ComparisonTable) {
    println!("{} under {}, {} seeds", table.deployment, table.experiment, table.seeds.len());
    println!(
        "| roles, placement | goodput | / best static | / clairvoyant | role changes | out of service s | violations |"
    );
    println!("|---|---|---|---|---|---|---|");
    for row in &table.rows {
        let share = |interval: Option<Interval>| interval.map_or_else(|| "-".to_owned(), |share| show(share, 3));
        println!(
            "| {} | {} | {} | {} | {} | {} | {} |",
            row.name,
            show(row.goodput, 4),
            share(row.against_static),
            share(row.against_clairvoyant),
            show(row.role_changes, 1),
            show(row.out_of_service_seconds, 0),
            row.violations,
        );
    }
    if table.splits_tried > 0 {
        println!("splits tried: {}, on seeds {:?}", table.splits_tried, table.sweep_seeds);
    }
}

fn show(interval: Interval, digits: usize) -> String {
    format!("{:.digits$} ± {:.digits$}", interval.mean, interval.half_width)
}
