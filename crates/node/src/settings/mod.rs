//! The settings of one node: a TOML file, flags over it, and the checks on both.
//!
//! Settings belong to one process and last for its life. What operators change while the system runs is the
//! configuration (`havengate_core::configuration`), which all nodes share.

mod check;
mod error;
mod layer;
mod limits;
mod log_settings;
mod node_settings;
mod toml_file;

pub use check::{InvalidValue, ValueCheck};
pub use error::SettingsError;
pub use layer::{LogLayer, SettingsLayer};
pub use limits::{Deadlines, Limits};
pub use log_settings::{LogLevel, LogSettings, UnknownLogLevel};
pub use node_settings::Settings;
pub use toml_file::{TomlFileError, parse_toml, read_toml, read_toml_text};
