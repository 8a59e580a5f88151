//! Files that commands read; `-` is standard input.

use std::path::Path;

use havengate_node::settings::TomlFileError;

/// The text of the file at `path`.
///
/// # Errors
/// When it can't be read.
pub fn read_text(path: &Path) -> Result<String, TomlFileError> {
    let is_standard_input = path == Path::new("-");
    let text =
        if is_standard_input { std::io::read_to_string(std::io::stdin()) } else { std::fs::read_to_string(path) };
    text.map_err(|error| TomlFileError::Unreadable { path: path.to_owned(), reason: error.to_string() })
}
