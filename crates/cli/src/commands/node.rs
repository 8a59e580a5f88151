//! `havengate node`.

use havengate_node::logging;
use havengate_node::settings::Settings;

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

fn start_node(_settings: Settings) -> Result<ExitStatus, CommandError> {
    Err(CommandError::Node("this build holds no node yet".to_owned()))
}
