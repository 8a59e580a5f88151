//! Why an experiment can't be run.

use std::fmt;

use displaydoc::Display;
use havengate_node::settings::{InvalidValue, TomlFileError};

/// One thing that is wrong with an experiment.
#[derive(Clone, Debug, Display, PartialEq, thiserror::Error)]
pub enum ExperimentProblem {
    /// {0}
    Value(#[from] InvalidValue),
    /// `{key}` names `{name}`, which the deployment does not have
    Unknown {
        /// The key in the file.
        key: String,
        /// The name or number that it holds.
        name: String,
    },
}

/// Why an experiment can't be run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ExperimentError {
    /// The file can't be read or isn't what an experiment looks like.
    File(#[from] TomlFileError),
    /// Values that are out of range, or names that the deployment does not have.
    Invalid(Vec<ExperimentProblem>),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExperimentError::File(error) => error.fmt(formatter),
            ExperimentError::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                formatter.write_str(&lines.join("\n"))
            }
        }
    }
}
