//! `havengate status`, `policy` and `drain`: questions and orders to one node.

use havengate_node::operators::{DrainAnswer, PoliciesAnswer, StatusAnswer};

use crate::client::Client;
use crate::error::CommandError;
use crate::exit_status::ExitStatus;
use crate::options::{NodeApi, StatusOptions};
use crate::output::Output;

/// Shows the system as a node sees it, once or again and again.
///
/// # Errors
/// When the node does not answer. While watching, that is printed and the next question follows.
pub fn run(options: &StatusOptions, output: &Output) -> Result<ExitStatus, CommandError> {
    let client = Client::for_calls(&options.api);
    if !options.watch {
        let status: StatusAnswer = client.get("/status")?;
        output.print(&status)?;
        return Ok(ExitStatus::Done);
    }
    loop {
        match client.get::<StatusAnswer>("/status") {
            Ok(status) => output.print_next(&status)?,
            Err(error) => output.print_error(&error.into()),
        }
        std::thread::sleep(options.interval.0);
    }
}

/// Lists policies.
///
/// # Errors
/// When the node does not answer.
pub fn list_policies(api: &NodeApi, output: &Output) -> Result<ExitStatus, CommandError> {
    let policies: PoliciesAnswer = Client::for_calls(api).get("/policies")?;
    output.print(&policies)?;
    Ok(ExitStatus::Done)
}

/// Starts a planned stop of the node.
///
/// # Errors
/// When the node does not answer.
pub fn drain(api: &NodeApi, output: &Output) -> Result<ExitStatus, CommandError> {
    let answer: DrainAnswer = Client::for_calls(api).post("/drain", &())?;
    output.print(&answer)?;
    Ok(ExitStatus::Done)
}
