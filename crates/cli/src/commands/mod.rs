//! The commands, one module each.

mod check;
mod configuration;
mod files;
mod intent_file;
mod node;
mod status;

use crate::error::CommandError;
use crate::exit_status::ExitStatus;
use crate::options::{Command, PlanCommand, PolicyCommand};
use crate::output::Output;

/// Runs `command` and prints what it reports.
///
/// # Errors
/// When the command failed; nothing has been printed about it yet.
pub fn run(command: &Command, output: &Output) -> Result<ExitStatus, CommandError> {
    match command {
        Command::Node { options } => node::run(options),
        Command::Check { options } => check::run(options, output),
        Command::Status { options } => status::run(options, output),
        Command::Intent { options } => configuration::propose(options, output),
        Command::Plan { command: PlanCommand::List { api } } => configuration::list_plans(api, output),
        Command::Plan { command: PlanCommand::Show { api, id } } => configuration::show_plan(api, id, output),
        Command::Confirm { options } => configuration::confirm(options, output),
        Command::Policy { command: PolicyCommand::List { api } } => status::list_policies(api, output),
        Command::Drain { api } => status::drain(api, output),
    }
}
