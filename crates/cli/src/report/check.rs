//! The report of `havengate check`.

use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::output::Report;

/// A file that is valid.
#[derive(Serialize)]
pub struct CheckReport {
    file: PathBuf,
    kind: &'static str,
    summary: String,
}

impl CheckReport {
    /// The file at `file` holds a valid `kind`.
    pub fn new(file: &Path, kind: &'static str, summary: String) -> Self {
        CheckReport { file: file.to_owned(), kind, summary }
    }
}

impl Report for CheckReport {
    fn text(&self) -> String {
        format!("{}: valid {}: {}", self.file.display(), self.kind, self.summary)
    }
}
