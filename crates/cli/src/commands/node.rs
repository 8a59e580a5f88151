//! `havengate node`.

use havengate_node::logging;
use havengate_node::node::{Node, StopOutcome};
use havengate_node::settings::Settings;
use havengate_node::signals::run_until_stopped;

use crate::error::CommandError;
use crate::exit_status::ExitStatus;
use crate::options::NodeOptions;

/// Runs a node until its planned stop.
///
/// # Errors
/// When the settings can't be used, or the node can't start or had to give up.
pub fn run(options: &NodeOptions) -> Result<ExitStatus, CommandError> {
    let settings = Settings::load_with_flags(options.settings.as_deref(), options.layer())?;
    logging::start(&settings.log).map_err(|error| CommandError::Node(error.to_string()))?;
    start_node(settings)
}

fn start_node(settings: Settings) -> Result<ExitStatus, CommandError> {
    let node = Node::start(settings).map_err(|error| CommandError::Node(error.to_string()))?;
    match run_until_stopped(node).map_err(|error| CommandError::Node(error.to_string()))? {
        StopOutcome::Drained => Ok(ExitStatus::Done),
        StopOutcome::Forced { open_requests } => {
            Err(CommandError::Node(format!("the stop was forced with {open_requests} requests open")))
        }
    }
}
