//! `havengate-rehearsal live`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use havengate_node::logging;
use havengate_node::settings::{LogLevel, LogSettings};
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::Experiment;
use havengate_rehearsal::live::{Cluster, Event, LiveSummary, Rehearsal, mild_experiment, rehearse, seeded_events};

use super::simulate::OutputFormat;

/// How long the load lasts when only an experiment is given, at the most.
const LOAD_MAXIMUM: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Options of `live`.
#[derive(Clone, Debug, Bpaf)]
pub struct LiveOptions {
    /// The deployment file, for example examples/trag.toml
    #[bpaf(argument("FILE"))]
    deployment: PathBuf,
    /// The load, for example examples/experiments/trag-waves.toml; without it, with --seconds, every tenant asks every
    /// model for a little
    #[bpaf(argument("FILE"))]
    experiment: Option<PathBuf>,
    /// Sends load for this many seconds and ends with a summary; without it and without --experiment, runs without
    /// load until it is interrupted
    #[bpaf(argument("N"))]
    seconds: Option<u64>,
    /// The seed of the load
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Multiplies the rates of the load
    #[bpaf(argument("F"), fallback(1.0))]
    rate_scale: f64,
    /// Lets engines, nodes, links and the platform fail meanwhile, and changes roles, by a schedule from the seed; an
    /// experiment that names faults has these instead
    faults: bool,
    /// How the summary is printed: text or json
    #[bpaf(argument("FORMAT"), fallback(OutputFormat::Text))]
    format: OutputFormat,
}

/// Runs a deployment.
pub fn run(options: &LiveOptions) -> ExitCode {
    match run_logged(options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_logged(options: &LiveOptions) -> Result<ExitCode, String> {
    let deployment = Deployment::load(&options.deployment).map_err(|error| error.to_string())?;
    match experiment(options, &deployment)? {
        Some(experiment) => run_with_load(options, deployment, experiment),
        None => run_without_load(deployment),
    }
}

fn experiment(options: &LiveOptions, deployment: &Deployment) -> Result<Option<Experiment>, String> {
    let Some(path) = &options.experiment else {
        return Ok(options.seconds.map(|seconds| mild_experiment(deployment, Duration::from_secs(seconds.max(1)))));
    };
    let experiment = Experiment::load(path).map_err(|error| error.to_string())?;
    experiment.validate_for(deployment).map_err(|error| error.to_string())?;
    Ok(Some(experiment))
}

fn run_without_load(deployment: Deployment) -> Result<ExitCode, String> {
    logging::start(&LogSettings::default()).map_err(|error| error.to_string())?;
    let cluster = Cluster::start(deployment).map_err(|error| error.to_string())?;
    println!("ready: {} nodes, {} engines", cluster.nodes.len(), cluster.engines.len());
    thread::sleep(Duration::MAX);
    cluster.stop();
    Ok(ExitCode::SUCCESS)
}

fn run_with_load(options: &LiveOptions, deployment: Deployment, experiment: Experiment) -> Result<ExitCode, String> {
    let logged = LogSettings { level: LogLevel::Warn, ..LogSettings::default() };
    logging::start(&logged).map_err(|error| error.to_string())?;
    let duration = options.seconds.map_or(experiment.duration().min(LOAD_MAXIMUM), Duration::from_secs);
    let events = events(options, &deployment, &experiment, duration);
    let (rate_scale, seed) = (options.rate_scale, options.seed);
    let summary = rehearse(Rehearsal { deployment, experiment, duration, rate_scale, seed, events });
    let summary = summary.map_err(|error| error.to_string())?;
    match options.format {
        OutputFormat::Json => {
            println!("{}", serde_json::to_string_pretty(&summary).map_err(|error| error.to_string())?)
        }
        OutputFormat::Text => print_text(&summary),
    }
    Ok(if summary.is_balanced() && summary.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn events(options: &LiveOptions, deployment: &Deployment, experiment: &Experiment, duration: Duration) -> Vec<Event> {
    match (experiment.faults.is_empty(), options.faults) {
        (false, _) => experiment.faults.iter().cloned().map(Event::Fault).collect(),
        (true, true) => seeded_events(deployment, duration, options.seed),
        (true, false) => Vec::new(),
    }
}

fn print_text(summary: &LiveSummary) {
    println!("{} under {}, seed {}", summary.deployment, summary.experiment, summary.seed);
    println!(
        "  offered {} = completed {} + not run {} + may have run {}{}",
        summary.offered,
        summary.completed,
        summary.not_run,
        summary.may_have_run,
        if summary.is_balanced() { "" } else { ": THE SUMS DON'T MATCH" }
    );
    println!("  repeats of a key {}, answers from records {}", summary.repeats, summary.replayed);
    println!("  goodput {:.4}", summary.goodput);
    for (name, sums) in &summary.by_contract {
        println!(
            "    {name}: offered {} = {} + {} + {}; {} of {} first requests met the contract",
            sums.offered, sums.completed, sums.not_run, sums.may_have_run, sums.met, sums.first_requests
        );
    }
    for (reason, count) in &summary.reasons {
        println!("    {reason}: {count}");
    }
    println!(
        "  p95 of the first token {:.0} ms, of the token interval {:.1} ms; {} role changes, {} runs on engines",
        summary.first_token_p95_ms, summary.token_interval_p95_ms, summary.role_changes, summary.engine_runs
    );
    for event in &summary.events {
        println!("  {event}");
    }
    println!("  {} violations", summary.violations.len());
    for violation in &summary.violations {
        println!("    {violation}");
    }
}
