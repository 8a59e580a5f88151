//! The havengate binary: runs a node, checks files, and talks to the operators' API of running nodes.

mod client;
mod commands;
mod error;
mod exit_status;
mod options;
mod output;
mod report;

use std::io::ErrorKind;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use crate::error::CommandError;
use crate::exit_status::ExitStatus;
use crate::output::Output;

/// Columns that help texts are wrapped at.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    match options::command_line().run_inner(Args::current_args()) {
        Ok(command) => run(&command).into(),
        Err(failure) => print_usage(failure).into(),
    }
}

fn run(command: &options::Command) -> ExitStatus {
    let output = Output::new(command.format());
    match commands::run(command, &output) {
        Ok(status) => status,
        // A reader that has seen enough, such as `head`, is no failure.
        Err(CommandError::Output(error)) if error.kind() == ErrorKind::BrokenPipe => ExitStatus::Done,
        Err(error) => {
            output.print_error(&error);
            error.exit_status()
        }
    }
}

/// What bpaf prints in place of a command: help, version, completions, or what is wrong with the arguments.
fn print_usage(failure: ParseFailure) -> ExitStatus {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitStatus::Done,
        ParseFailure::Stderr(_) => ExitStatus::BadInput,
    }
}
