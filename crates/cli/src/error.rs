//! Why a command failed.

use std::fmt;
use std::path::PathBuf;

use displaydoc::Display;
use havengate_core::configuration::ConfigurationError;
use havengate_node::operators::{OperatorError, OperatorErrorCode};
use havengate_node::settings::{SettingsError, TomlFileError};
use havengate_rehearsal::deployment::DeploymentError;
use havengate_rehearsal::experiment::ExperimentError;

use crate::client::ClientError;
use crate::exit_status::ExitStatus;

/// Why a command failed.
#[derive(Debug, Display, thiserror::Error)]
pub enum CommandError {
    /// {0}
    Client(#[from] ClientError),
    /// {0}
    Settings(#[from] SettingsError),
    /// {0}
    Deployment(#[from] DeploymentError),
    /// {0}
    Experiment(#[from] ExperimentError),
    /// {0}
    File(#[from] TomlFileError),
    /// {0}
    Configuration(ConfigurationProblems),
    /// {path} does not look like settings, a deployment, an intent or an experiment; say which by --kind
    UnknownKind {
        /// The file.
        path: PathBuf,
    },
    /// the node can't start: {0}
    Node(String),
    /// the output can't be written: {0}
    Output(#[from] std::io::Error),
}

/// Everything that is wrong with a configuration.
#[derive(Debug)]
pub struct ConfigurationProblems(pub Vec<ConfigurationError>);

impl fmt::Display for ConfigurationProblems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl CommandError {
    /// The exit code that tells scripts what happened.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            CommandError::Client(ClientError::Refused(error)) => status_of_refusal(error),
            CommandError::Client(_) => ExitStatus::NoAnswer,
            CommandError::Settings(_)
            | CommandError::Deployment(_)
            | CommandError::Experiment(_)
            | CommandError::File(_)
            | CommandError::Configuration(_)
            | CommandError::UnknownKind { .. } => ExitStatus::BadInput,
            CommandError::Node(_) | CommandError::Output(_) => ExitStatus::Refused,
        }
    }

    /// A stable code for `--format json`.
    pub fn code(&self) -> String {
        match self {
            CommandError::Client(ClientError::Refused(error)) => code_of_refusal(error.code),
            CommandError::Client(ClientError::Unreachable { .. }) => "unreachable".to_owned(),
            CommandError::Client(ClientError::NoAnswer { .. }) => "no_answer".to_owned(),
            CommandError::Client(ClientError::UnknownAnswer { .. }) => "unknown_answer".to_owned(),
            CommandError::Settings(_)
            | CommandError::Deployment(_)
            | CommandError::Experiment(_)
            | CommandError::File(_)
            | CommandError::Configuration(_)
            | CommandError::UnknownKind { .. } => "bad_file".to_owned(),
            CommandError::Node(_) => "node_failed".to_owned(),
            CommandError::Output(_) => "output_failed".to_owned(),
        }
    }
}

fn status_of_refusal(error: &OperatorError) -> ExitStatus {
    match error.code {
        OperatorErrorCode::StalePlan => ExitStatus::Stale,
        OperatorErrorCode::InvalidRequest => ExitStatus::BadInput,
        _ => ExitStatus::Refused,
    }
}

/// The code as the API writes it.
fn code_of_refusal(code: OperatorErrorCode) -> String {
    let written = serde_json::to_value(code).ok();
    written.and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
}
