//! The havengate-rehearsal binary.

use std::process::ExitCode;

mod commands;

fn main() -> ExitCode {
    match commands::command().run() {
        commands::Command::Compare(options) => commands::compare::run(&options),
        commands::Command::Live(options) => commands::live::run(&options),
        commands::Command::Scale(options) => commands::scale::run(&options),
        commands::Command::Simulate(options) => commands::simulate::run(&options),
    }
}
