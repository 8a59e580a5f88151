//! `havengate-rehearsal simulate`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::Experiment;
use havengate_rehearsal::simulate::{PIECE_TOKENS, RoleSource, SimulationFigures, SimulationPlan, simulate};

use super::policy_argument::{policy, role_counts};

/// How figures are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// One JSON object.
    Json,
    /// A few lines for people.
    Text,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "json" => Ok(OutputFormat::Json),
            "text" => Ok(OutputFormat::Text),
            other => Err(format!("unknown format `{other}`; known: json, text")),
        }
    }
}

/// Options of `simulate`.
#[derive(Clone, Debug, Bpaf)]
pub struct SimulateOptions {
    /// The deployment file, for example examples/trag.toml
    #[bpaf(argument("FILE"))]
    deployment: PathBuf,
    /// The experiment file, for example examples/experiments/trag-waves.toml
    #[bpaf(argument("FILE"))]
    experiment: PathBuf,
    /// The seed; equal seeds give equal bytes
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// json or text
    #[bpaf(argument("FORMAT"), fallback(OutputFormat::Text))]
    format: OutputFormat,
    /// The role policy, in place of the experiment's and the deployment's; predictive:margin=0.05 sets a parameter
    #[bpaf(argument("NAME"))]
    role_policy: Option<String>,
    /// The placement policy, in place of the experiment's and the deployment's
    #[bpaf(argument("NAME"))]
    placement: Option<String>,
    /// Engines of the largest pool that start as prefill, decode and mixed ones
    #[bpaf(argument("P,D,M"))]
    split: Option<String>,
    /// Tokens in one piece of an answer; 1 as real engines do, more is faster
    #[bpaf(argument("N"), fallback(PIECE_TOKENS))]
    piece_tokens: u32,
}

/// Runs one simulation.
pub fn run(options: &SimulateOptions) -> ExitCode {
    match figures(options) {
        Ok(figures) => print(&figures, options.format),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn figures(options: &SimulateOptions) -> Result<SimulationFigures, String> {
    let deployment = Deployment::load(&options.deployment).map_err(|error| error.to_string())?;
    let experiment = Experiment::load(&options.experiment).map_err(|error| error.to_string())?;
    let choice = |text: &Option<String>| text.as_deref().map(policy).transpose();
    let plan = SimulationPlan {
        roles: choice(&options.role_policy)?.map(RoleSource::Policy),
        placement: choice(&options.placement)?,
        first_roles: options.split.as_deref().map(role_counts).transpose()?,
        piece_tokens: options.piece_tokens,
        ..SimulationPlan::new(deployment, experiment, options.seed)
    };
    simulate(&plan).map_err(|error| error.to_string())
}

fn print(figures: &SimulationFigures, format: OutputFormat) -> ExitCode {
    match format {
        OutputFormat::Json => match serde_json::to_string_pretty(figures) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        },
        OutputFormat::Text => print_text(figures),
    }
    if figures.violations.total() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_text(figures: &SimulationFigures) {
    println!(
        "{} under {}, seed {}: roles by {}, placement by {}",
        figures.deployment, figures.experiment, figures.seed, figures.role_policy, figures.placement
    );
    println!(
        "  goodput {:.4} of {} offered; {} completed, {} not run, {} may have run",
        figures.goodput, figures.offered, figures.completed, figures.not_run, figures.may_have_run
    );
    for (name, share) in figures.goodput_by_class.iter().chain(&figures.goodput_by_phase) {
        println!("    {name}: goodput {:.4} of {}", share.goodput, share.offered);
    }
    println!(
        "  {} role changes, {:.1} s out of service; p95 of the first token {:.0} ms, of the token interval {:.1} ms",
        figures.role_changes, figures.out_of_service_seconds, figures.ttft_p95_ms, figures.tpot_p95_ms
    );
    println!("  {} violations: {:?}", figures.violations.total(), figures.violations);
}
