//! What an experiment file holds.

use std::path::Path;
use std::time::Duration;

use havengate_core::configuration::{PolicyChoice, TrialArm};
use havengate_core::world::{EngineName, ModelName, TenantName, ZoneName};
use havengate_node::settings::read_toml;
use serde::{Deserialize, Serialize};

use super::error::ExperimentError;

/// An experiment on a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The experiment's name in reports.
    pub name: String,
    /// What the experiment is for, in a sentence or two.
    #[serde(default)]
    pub description: String,
    /// Time at the start that no figure counts, while queues and caches fill. Default: none.
    #[serde(default, with = "humantime_serde")]
    pub warm_up: Duration,
    /// How often the phases are gone through. Default: once.
    #[serde(default = "once")]
    pub repetitions: u32,
    /// What callers ask for, one phase after the other.
    #[serde(rename = "phase")]
    pub phases: Vec<Phase>,
    /// What fails, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// The role policy, in place of the deployment's.
    #[serde(default)]
    pub role_policy: Option<PolicyChoice>,
    /// The arms of a placement trial, in place of the deployment's.
    #[serde(default, rename = "arm")]
    pub arms: Vec<TrialArm>,
}

fn once() -> u32 {
    1
}

/// A stretch of time in which the mix stays the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// The phase's name in reports.
    pub name: String,
    /// How long it lasts.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Who asks for what meanwhile.
    #[serde(default, rename = "source")]
    pub sources: Vec<TrafficSource>,
}

/// Requests of one kind, at random times with a mean rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSource {
    /// Who asks; the tenant's contract is the requests'.
    pub tenant: TenantName,
    /// The model asked for.
    pub model: ModelName,
    /// Mean requests a second; the gaps between them are distributed exponentially.
    pub requests_per_second: f64,
    /// Tokens in the prompt.
    pub prompt_tokens: LengthRange,
    /// Tokens in the answer.
    pub output_tokens: LengthRange,
    /// Tokens at the start of each prompt that it shares with others of this source, such as a style sheet. Default: 0.
    #[serde(default)]
    pub shared_prefix_tokens: u32,
    /// How many different shared prefixes there are. Default: 1.
    #[serde(default = "once")]
    pub shared_prefixes: u32,
    /// Whether each request carries an idempotency key of its own. Default: no.
    #[serde(default)]
    pub once_only: bool,
}

/// Lengths between two bounds, both included; short ones are as likely as long ones on a logarithmic scale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthRange {
    /// The shortest, in tokens.
    pub minimum: u32,
    /// The longest, in tokens.
    pub maximum: u32,
}

/// Something that fails.
///
/// The fields of its kind stand beside its own; it is the kind that refuses unknown ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, from the start of the experiment.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(rename = "for", with = "humantime_serde")]
    pub duration: Duration,
    /// What fails.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// What can fail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// An engine crashes, and restarts with nothing at the end.
    EngineCrash {
        /// The engine.
        engine: EngineName,
    },
    /// An engine announces that it leaves; it is back at the end.
    EngineLeaving {
        /// The engine.
        engine: EngineName,
    },
    /// An engine answers nothing, and goes on at the end.
    EnginePause {
        /// The engine.
        engine: EngineName,
    },
    /// The platform's store refuses all calls.
    StoreOutage {},
    /// Writes to the platform's store take effect, but their replies are lost.
    StoreRepliesLost {},
    /// Engines report their load later than otherwise.
    LoadReportLag {
        /// How old the reports are.
        #[serde(with = "humantime_serde")]
        lag: Duration,
    },
    /// A node's process is killed; a new one starts at the end.
    NodeKill {
        /// The machine's place among the deployment's machines, from 0.
        machine: usize,
    },
    /// A node's process is paused, and goes on at the end.
    NodePause {
        /// The machine's place among the deployment's machines, from 0.
        machine: usize,
    },
    /// A node stops in a planned way; a new one starts at the end.
    NodeDrain {
        /// The machine's place among the deployment's machines, from 0.
        machine: usize,
    },
    /// Nodes of this zone and of all others don't reach each other.
    ZoneCut {
        /// The zone.
        zone: ZoneName,
    },
}

impl Experiment {
    /// Reads the experiment file at `path` and checks it by itself.
    ///
    /// # Errors
    /// When the file can't be read or parsed, or values are not allowed.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = read_toml(path)?;
        experiment.validate()?;
        Ok(experiment)
    }

    /// How long the experiment takes.
    pub fn duration(&self) -> Duration {
        let once: Duration = self.phases.iter().map(|phase| phase.duration).sum();
        once * self.repetitions
    }
}
