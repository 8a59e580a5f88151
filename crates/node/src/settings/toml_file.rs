//! Reads TOML files into typed values, with errors that point at the line.

use std::path::{Path, PathBuf};

use displaydoc::Display;
use serde::de::DeserializeOwned;

/// Why a file can't be taken in.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum TomlFileError {
    /// {path} can't be read: {reason}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system says.
        reason: String,
    },
    /// {path}, line {line}, column {column}: {reason}; the line reads `{text}`
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The column in characters, from 1.
        column: usize,
        /// The line's text: key and value as they were written.
        text: String,
        /// What is wrong, and what was expected.
        reason: String,
    },
}

/// Reads the file at `path` as a `T`.
///
/// # Errors
/// When the file can't be read, isn't TOML, or holds unknown keys or values of the wrong type.
pub fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T, TomlFileError> {
    parse_toml(path, &read_toml_text(path)?)
}

/// The text of the file at `path`.
///
/// # Errors
/// When the file can't be read.
pub fn read_toml_text(path: &Path) -> Result<String, TomlFileError> {
    std::fs::read_to_string(path)
        .map_err(|error| TomlFileError::Unreadable { path: path.to_owned(), reason: error.to_string() })
}

/// Parses `text` as a `T`; `path` only names the source in errors.
///
/// # Errors
/// As [`read_toml`], except for reading.
pub fn parse_toml<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, TomlFileError> {
    toml::from_str(text).map_err(|error| malformed(path, text, &error))
}

fn malformed(path: &Path, text: &str, error: &toml::de::Error) -> TomlFileError {
    let offset = error.span().map_or(0, |span| span.start).min(text.len());
    let before = text.get(..offset).unwrap_or_default();
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = text[line_start..].lines().next().unwrap_or_default();
    TomlFileError::Malformed {
        path: path.to_owned(),
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        text: line.trim().to_owned(),
        reason: error.message().replace('\n', " "),
    }
}
