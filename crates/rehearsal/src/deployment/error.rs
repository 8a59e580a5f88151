//! Why a deployment can't be used.

use std::fmt;

use displaydoc::Display;
use havengate_core::configuration::ConfigurationError;
use havengate_node::settings::{InvalidValue, TomlFileError};

/// One thing that is wrong with a deployment.
#[derive(Clone, Debug, Display, PartialEq, thiserror::Error)]
pub enum DeploymentProblem {
    /// {0}
    Value(#[from] InvalidValue),
    /// configuration: {0}
    Configuration(#[from] ConfigurationError),
}

/// Why a deployment can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DeploymentError {
    /// The file can't be read or isn't what a deployment looks like.
    File(#[from] TomlFileError),
    /// Values that are out of range or contradict each other.
    Invalid(Vec<DeploymentProblem>),
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeploymentError::File(error) => error.fmt(formatter),
            DeploymentError::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                formatter.write_str(&lines.join("\n"))
            }
        }
    }
}
