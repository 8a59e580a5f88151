//! What can be wrong with the settings of a node.

use std::fmt;

use super::check::InvalidValue;
use super::toml_file::TomlFileError;

/// Why settings can't be used. The process must not start with them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read or isn't what settings look like.
    File(#[from] TomlFileError),
    /// A required key stands neither in the file nor among the flags.
    Missing {
        /// The key, as it is written in the file.
        key: &'static str,
    },
    /// Values that are out of range or contradict each other.
    Invalid(Vec<InvalidValue>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::File(error) => error.fmt(formatter),
            SettingsError::Missing { key } => {
                let flag = key.replace('_', "-");
                write!(formatter, "`{key}` is missing; give it in the settings file or by the flag `--{flag}`")
            }
            SettingsError::Invalid(problems) => write_lines(formatter, problems),
        }
    }
}

fn write_lines(formatter: &mut fmt::Formatter<'_>, problems: &[InvalidValue]) -> fmt::Result {
    for (index, problem) in problems.iter().enumerate() {
        let separator = if index == 0 { "" } else { "\n" };
        write!(formatter, "{separator}{problem}")?;
    }
    Ok(())
}
