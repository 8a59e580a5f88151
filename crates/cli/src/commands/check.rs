//! `havengate check`.

use std::path::Path;

use havengate_node::settings::{Settings, SettingsLayer, parse_toml};
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::Experiment;

use super::files::read_text;
use super::intent_file::parse_intent;
use crate::error::CommandError;
use crate::exit_status::ExitStatus;
use crate::options::{CheckOptions, FileKind};
use crate::output::Output;
use crate::report::CheckReport;

/// Keys that only one kind of file has at its top.
const TELLTALE_KEYS: [(&str, FileKind); 19] = [
    ("callers_address", FileKind::Settings),
    ("operators_address", FileKind::Settings),
    ("peers_address", FileKind::Settings),
    ("platform_address", FileKind::Settings),
    ("phase", FileKind::Experiment),
    ("repetitions", FileKind::Experiment),
    ("machine", FileKind::Deployment),
    ("client_latency", FileKind::Deployment),
    ("configuration", FileKind::Intent),
    ("roles", FileKind::Intent),
    ("engine", FileKind::Intent),
    ("model", FileKind::Intent),
    ("role_policy", FileKind::Intent),
    ("shadow_role_policies", FileKind::Intent),
    ("arm", FileKind::Intent),
    ("contract", FileKind::Intent),
    ("tenant", FileKind::Intent),
    ("remove", FileKind::Intent),
    ("zone", FileKind::Settings),
];

/// Checks a file and reports what it describes.
///
/// # Errors
/// Everything that is wrong with the file.
pub fn run(options: &CheckOptions, output: &Output) -> Result<ExitStatus, CommandError> {
    let text = read_text(&options.file)?;
    let kind = match options.kind {
        Some(kind) => kind,
        None => kind_of(&options.file, &text)?,
    };
    let report = match kind {
        FileKind::Settings => check_settings(&options.file, &text)?,
        FileKind::Deployment => check_deployment(&options.file, &text)?,
        FileKind::Intent => check_intent(&options.file, &text)?,
        FileKind::Experiment => check_experiment(options, &text)?,
    };
    output.print(&report)?;
    Ok(ExitStatus::Done)
}

fn kind_of(path: &Path, text: &str) -> Result<FileKind, CommandError> {
    let table: toml::Table = parse_toml(path, text)?;
    let telltale = TELLTALE_KEYS.iter().find(|(key, _)| table.contains_key(*key));
    telltale.map(|(_, kind)| *kind).ok_or_else(|| CommandError::UnknownKind { path: path.to_owned() })
}

fn check_settings(path: &Path, text: &str) -> Result<CheckReport, CommandError> {
    let layer: SettingsLayer = parse_toml(path, text)?;
    let settings = Settings::from_layer(layer)?;
    settings.validate()?;
    Ok(CheckReport::new(path, "settings", format!("a node in zone {}", settings.zone)))
}

fn check_deployment(path: &Path, text: &str) -> Result<CheckReport, CommandError> {
    let deployment: Deployment = parse_toml(path, text)?;
    deployment.validate()?;
    let (zones, engines) = (deployment.configuration.zones.len(), deployment.configuration.engines.len());
    let machines = deployment.machines.len();
    let summary = format!("{}: {zones} zones, {machines} machines, {engines} engines", deployment.name);
    Ok(CheckReport::new(path, "deployment", summary))
}

fn check_intent(path: &Path, text: &str) -> Result<CheckReport, CommandError> {
    parse_intent(path, text)?;
    Ok(CheckReport::new(path, "intent", "the node checks the names in it when it is stated".to_owned()))
}

fn check_experiment(options: &CheckOptions, text: &str) -> Result<CheckReport, CommandError> {
    let experiment: Experiment = parse_toml(&options.file, text)?;
    match &options.deployment {
        Some(deployment) => experiment.validate_for(&Deployment::load(deployment)?)?,
        None => experiment.validate()?,
    }
    let (phases, faults) = (experiment.phases.len(), experiment.faults.len());
    let duration = humantime::format_duration(experiment.duration());
    let summary = format!("{}: {phases} phases, {faults} faults, {duration}", experiment.name);
    Ok(CheckReport::new(&options.file, "experiment", summary))
}
