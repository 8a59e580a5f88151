//! The exit codes of `havengate`. docs/CLI.md lists them; scripts rely on them.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// What was asked for is done, and in force where it concerns configuration.
    Done = 0,
    /// It was refused or failed; nothing has changed.
    Refused = 1,
    /// The arguments or a file can't be used.
    BadInput = 2,
    /// The node can't be reached, or its answer is missing: what was asked for may have happened.
    NoAnswer = 3,
    /// The change is confirmed but not yet in force everywhere.
    Pending = 4,
    /// Another change came first; nothing of the plan has happened.
    Stale = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
