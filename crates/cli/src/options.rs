//! The command line, as bpaf derives it. docs/CLI.md shows it with examples.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::{Bpaf, ShellComp};
use havengate_core::world::{Address, ZoneName};
use havengate_node::operators::PlanId;
use havengate_node::settings::{LogLayer, LogLevel, SettingsLayer};

/// Completes names of TOML files.
const TOML_FILE: ShellComp = ShellComp::File { mask: Some("*.toml") };

/// Serves a fixed fleet of language-model engines under a shifting mix of prompt and output tokens.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    generate(command_line),
    footer(
        "Examples:\n  havengate node --settings node.toml\n  havengate status --node 127.0.0.1:8081\n  \
        havengate intent more-prefill.toml\n  havengate confirm 4be1a06c9d22f713 --wait 10s\n \n \
        Exit codes:\n  0 done\n  1 refused or failed\n  2 bad arguments or file\n  3 no answer from the node\n  \
        4 confirmed but not yet in force everywhere\n  5 stale plan: another change came first"
    )
)]
pub enum Command {
    /// Runs a node until a planned stop: SIGTERM, SIGINT or `havengate drain`.
    #[bpaf(
        command("node"),
        footer(
            "Examples:\n  havengate node --settings node.toml\n  havengate node --settings shared.toml --zone thamel --callers-address 10.4.0.7:8080"
        )
    )]
    Node {
        #[bpaf(external(node_options))]
        options: NodeOptions,
    },
    /// Checks a file of settings, a deployment, an intent or an experiment, and names what is wrong.
    #[bpaf(
        command("check"),
        footer(
            "Examples:\n  havengate check node.toml\n  havengate check --kind intent - < change.toml\n  havengate check waves.toml --deployment print-shop.toml"
        )
    )]
    Check {
        #[bpaf(external(check_options))]
        options: CheckOptions,
    },
    /// Shows the system as one node sees it: members, pools, engines and the configuration in force.
    #[bpaf(
        command("status"),
        footer(
            "Examples:\n  havengate status\n  havengate status --watch --interval 1s\n  havengate status --format json"
        )
    )]
    Status {
        #[bpaf(external(status_options))]
        options: StatusOptions,
    },
    /// States an intent and prints the plan for it. Nothing takes effect before the plan is confirmed.
    #[bpaf(
        command("intent"),
        footer("Examples:\n  havengate intent more-prefill.toml\n  havengate intent - < change.toml")
    )]
    Intent {
        #[bpaf(external(intent_options))]
        options: IntentOptions,
    },
    /// Shows plans.
    #[bpaf(command("plan"))]
    Plan {
        #[bpaf(external(plan_command))]
        command: PlanCommand,
    },
    /// Confirms a plan, and waits until it is in force everywhere.
    ///
    /// Exit code 4 means confirmed but not yet in force everywhere, 5 that another change came first.
    #[bpaf(
        command("confirm"),
        footer("Examples:\n  havengate confirm 4be1a06c9d22f713\n  havengate confirm 4be1a06c9d22f713 --wait 30s")
    )]
    Confirm {
        #[bpaf(external(confirm_options))]
        options: ConfirmOptions,
    },
    /// Shows policies.
    #[bpaf(command("policy"))]
    Policy {
        #[bpaf(external(policy_command))]
        command: PolicyCommand,
    },
    /// Starts a planned stop of the node: it takes no new work, finishes its open requests and exits.
    #[bpaf(command("drain"), footer("Example:\n  havengate drain --node 127.0.0.1:8081"))]
    Drain {
        #[bpaf(external(node_api))]
        api: NodeApi,
    },
}

impl Command {
    /// The format that the command's output was asked for in.
    pub fn format(&self) -> Format {
        match self {
            Command::Node { .. } => Format::Text,
            Command::Check { options } => options.format,
            Command::Status { options } => options.api.format,
            Command::Intent { options } => options.api.format,
            Command::Plan { command } => command.api().format,
            Command::Confirm { options } => options.api.format,
            Command::Policy { command: PolicyCommand::List { api } } => api.format,
            Command::Drain { api } => api.format,
        }
    }
}

/// How reports and errors are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        choose(text, &[("text", Format::Text), ("json", Format::Json)])
    }
}

/// The choice that `text` names.
fn choose<T: Copy>(text: &str, choices: &[(&str, T)]) -> Result<T, String> {
    let chosen = choices.iter().find(|(name, _)| *name == text);
    let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
    chosen.map(|(_, choice)| *choice).ok_or_else(|| format!("allowed: {}", names.join(", ")))
}

/// Options that override the settings file:
#[derive(Clone, Debug, Bpaf)]
pub struct NodeOptions {
    /// The settings file; without it, the flags must give all that is required
    #[bpaf(argument("FILE"), complete_shell(TOML_FILE))]
    pub settings: Option<PathBuf>,
    /// The zone that this machine stands in
    #[bpaf(argument::<String>("ZONE"), map(ZoneName::new), optional)]
    pub zone: Option<ZoneName>,
    /// Where callers connect
    #[bpaf(argument("ADDRESS"))]
    pub callers_address: Option<Address>,
    /// Where operators connect
    #[bpaf(argument("ADDRESS"))]
    pub operators_address: Option<Address>,
    /// Where peers connect, TCP and UDP
    #[bpaf(argument("ADDRESS"))]
    pub peers_address: Option<Address>,
    /// The platform's object API
    #[bpaf(argument("ADDRESS"))]
    pub platform_address: Option<Address>,
    /// A node that is asked for the members at the start; may be repeated, and then replaces the file's whole list
    #[bpaf(argument("ADDRESS"), many)]
    pub seed: Vec<Address>,
    /// The least severe events that are logged: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"))]
    pub log_level: Option<LogLevel>,
}

impl NodeOptions {
    /// The flags as settings that go over the file.
    pub fn layer(&self) -> SettingsLayer {
        SettingsLayer {
            zone: self.zone.clone(),
            callers_address: self.callers_address,
            operators_address: self.operators_address,
            peers_address: self.peers_address,
            platform_address: self.platform_address,
            seeds: Some(self.seed.clone()).filter(|seeds| !seeds.is_empty()),
            log: LogLayer { level: self.log_level, timestamps: None },
            ..SettingsLayer::default()
        }
    }
}

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of one node.
    Settings,
    /// A deployment to rehearse.
    Deployment,
    /// An intent.
    Intent,
    /// An experiment on a deployment.
    Experiment,
}

impl FromStr for FileKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let kinds = [
            ("settings", FileKind::Settings),
            ("deployment", FileKind::Deployment),
            ("intent", FileKind::Intent),
            ("experiment", FileKind::Experiment),
        ];
        choose(text, &kinds)
    }
}

/// Options of `check`:
#[derive(Clone, Debug, Bpaf)]
pub struct CheckOptions {
    /// What the file holds: settings, deployment, intent or experiment; by default it is told from the file's keys
    #[bpaf(argument("KIND"))]
    pub kind: Option<FileKind>,
    /// The deployment that an experiment is for; the names in the experiment are then checked, too
    #[bpaf(argument("FILE"), complete_shell(TOML_FILE))]
    pub deployment: Option<PathBuf>,
    #[bpaf(external)]
    pub format: Format,
    /// The file; `-` is standard input
    #[bpaf(positional("FILE"), complete_shell(TOML_FILE))]
    pub file: PathBuf,
}

/// The node to talk to:
#[derive(Clone, Debug, Bpaf)]
pub struct NodeApi {
    /// The operators' address of a node
    #[bpaf(argument("ADDRESS"), env("HAVENGATE_NODE"), fallback(default_node()), display_fallback)]
    pub node: Address,
    /// How long to wait for the node's answer
    #[bpaf(argument("DURATION"), fallback(DurationArgument(DEFAULT_TIMEOUT)), display_fallback)]
    pub timeout: DurationArgument,
    #[bpaf(external)]
    pub format: Format,
}

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
const DEFAULT_INTERVAL: Duration = Duration::from_secs(2);

fn default_node() -> Address {
    Address(([127, 0, 0, 1], 8_081).into())
}

/// How output is printed: text or json
fn format() -> impl bpaf::Parser<Format> {
    use bpaf::Parser;
    bpaf::long("format")
        .help("How output and errors are printed: text or json")
        .argument::<Format>("FORMAT")
        .complete(|_| vec![("text", Some("for people")), ("json", Some("for programs"))])
        .fallback(Format::Text)
}

/// A duration as people write it: `250ms`, `10s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationArgument(pub Duration);

impl FromStr for DurationArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = humantime::parse_duration(text).ok().filter(|duration| !duration.is_zero());
        parsed
            .map(DurationArgument)
            .ok_or_else(|| "allowed: a duration above zero, for example 250ms or 10s".to_owned())
    }
}

impl std::fmt::Display for DurationArgument {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        humantime::format_duration(self.0).fmt(formatter)
    }
}

/// Options of `status`:
#[derive(Clone, Debug, Bpaf)]
pub struct StatusOptions {
    /// Ask again and again until interrupted
    pub watch: bool,
    /// How long to wait between two questions
    #[bpaf(argument("DURATION"), fallback(DurationArgument(DEFAULT_INTERVAL)), display_fallback)]
    pub interval: DurationArgument,
    #[bpaf(external(node_api))]
    pub api: NodeApi,
}

/// Options of `intent`:
#[derive(Clone, Debug, Bpaf)]
pub struct IntentOptions {
    #[bpaf(external(node_api))]
    pub api: NodeApi,
    /// The file with the intent; `-` is standard input
    #[bpaf(positional("FILE"), complete_shell(TOML_FILE))]
    pub file: PathBuf,
}

/// What to show of plans.
#[derive(Clone, Debug, Bpaf)]
pub enum PlanCommand {
    /// Lists the plans that the node knows, newest first.
    #[bpaf(command("list"))]
    List {
        #[bpaf(external(node_api))]
        api: NodeApi,
    },
    /// Shows a plan: its changes, the engines out of service and the predicted effect.
    #[bpaf(command("show"))]
    Show {
        #[bpaf(external(node_api))]
        api: NodeApi,
        /// The plan's identity
        #[bpaf(positional::<String>("ID"), map(PlanId))]
        id: PlanId,
    },
}

impl PlanCommand {
    fn api(&self) -> &NodeApi {
        match self {
            PlanCommand::List { api } | PlanCommand::Show { api, .. } => api,
        }
    }
}

/// Options of `confirm`:
#[derive(Clone, Debug, Bpaf)]
pub struct ConfirmOptions {
    /// How long to wait until the change is in force everywhere
    #[bpaf(argument("DURATION"), fallback(DurationArgument(DEFAULT_WAIT)), display_fallback)]
    pub wait: DurationArgument,
    #[bpaf(external(node_api))]
    pub api: NodeApi,
    /// The plan's identity
    #[bpaf(positional::<String>("ID"), map(PlanId))]
    pub id: PlanId,
}

/// What to show of policies.
#[derive(Clone, Debug, Bpaf)]
pub enum PolicyCommand {
    /// Lists the policies that exist, with their parameters, and those in force.
    #[bpaf(command("list"))]
    List {
        #[bpaf(external(node_api))]
        api: NodeApi,
    },
}
