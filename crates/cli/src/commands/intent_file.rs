//! Files with intents, as `havengate intent` sends and `havengate check` checks them.

use std::path::Path;

use havengate_core::plan::Intent;
use havengate_node::operators::{IntentDocument, WholeConfiguration};
use havengate_node::settings::parse_toml;

use crate::error::{CommandError, ConfigurationProblems};

/// The key that tells a whole configuration from an intent that changes parts.
const WHOLE_CONFIGURATION: &str = "configuration";

/// Reads an intent, or a whole configuration. Names that it refers to are checked by the node, which knows them.
///
/// # Errors
/// Unknown keys and wrong types with their line, and what is wrong with a whole configuration in itself.
pub fn parse_intent(path: &Path, text: &str) -> Result<IntentDocument, CommandError> {
    let document: IntentDocument = parse_toml(path, text)?;
    if document.0.get(WHOLE_CONFIGURATION).is_some() {
        let whole: WholeConfiguration = parse_toml(path, text)?;
        whole
            .configuration
            .validate()
            .map_err(|problems| CommandError::Configuration(ConfigurationProblems(problems)))?;
    } else {
        let _: Intent = parse_toml(path, text)?;
    }
    Ok(document)
}
