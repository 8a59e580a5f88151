//! What a node logs.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The least severe events that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// Also what the node worked around.
    Warn,
    /// Also each request's end, membership, orders and configuration.
    #[default]
    Info,
    /// Also each step of each request.
    Debug,
    /// Everything.
    Trace,
}

/// `{0}` is no log level; allowed: error, warn, info, debug, trace
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct UnknownLogLevel(pub String);

impl LogLevel {
    /// The filter of the `log` crate that lets this level and the more severe ones through.
    pub fn filter(self) -> log::LevelFilter {
        match self {
            LogLevel::Error => log::LevelFilter::Error,
            LogLevel::Warn => log::LevelFilter::Warn,
            LogLevel::Info => log::LevelFilter::Info,
            LogLevel::Debug => log::LevelFilter::Debug,
            LogLevel::Trace => log::LevelFilter::Trace,
        }
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.filter().as_str().to_lowercase())
    }
}

impl FromStr for LogLevel {
    type Err = UnknownLogLevel;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let levels = [LogLevel::Error, LogLevel::Warn, LogLevel::Info, LogLevel::Debug, LogLevel::Trace];
        let known = levels.into_iter().find(|level| level.to_string() == text);
        known.ok_or_else(|| UnknownLogLevel(text.to_owned()))
    }
}

/// What a node logs, and how each line starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe events that are logged. Default: `info`.
    pub level: LogLevel,
    /// Whether lines start with `time=`; switch it off where the collector of the logs adds the time. Default: true.
    pub timestamps: bool,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: LogLevel::default(), timestamps: true }
    }
}
