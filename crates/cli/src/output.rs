//! Prints reports and errors in the format that was asked for.

use std::io::{self, IsTerminal, Write};

use serde::Serialize;

use crate::error::CommandError;
use crate::options::Format;

/// Something that a command prints.
pub trait Report: Serialize {
    /// The report for people, lines without a newline at the end.
    fn text(&self) -> String;
}

/// Where reports go: standard output, and errors to standard error.
pub struct Output {
    format: Format,
}

#[derive(Serialize)]
struct ErrorBody {
    code: String,
    message: String,
}

impl Output {
    /// An output that prints in `format`.
    pub fn new(format: Format) -> Self {
        Output { format }
    }

    /// Prints a report.
    ///
    /// # Errors
    /// When standard output can't be written, for example because its reader is gone.
    pub fn print(&self, report: &impl Report) -> io::Result<()> {
        let text = match self.format {
            Format::Text => report.text(),
            Format::Json => serde_json::to_string_pretty(report)?,
        };
        write_lines(&text)
    }

    /// Prints one of a series of reports: on a terminal in the place of the last one, as JSON one a line.
    ///
    /// # Errors
    /// As [`Output::print`].
    pub fn print_next(&self, report: &impl Report) -> io::Result<()> {
        const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";
        match self.format {
            Format::Json => write_lines(&serde_json::to_string(report)?),
            Format::Text if io::stdout().is_terminal() => write_lines(&format!("{CLEAR_SCREEN}{}", report.text())),
            Format::Text => write_lines(&format!("{}\n", report.text())),
        }
    }

    /// Prints why a command failed, on standard error.
    pub fn print_error(&self, error: &CommandError) {
        let body = ErrorBody { code: error.code(), message: error.to_string() };
        let text = match self.format {
            Format::Text => format!("havengate: {}", body.message),
            Format::Json => serde_json::to_string(&body).unwrap_or(body.message),
        };
        // There is no other place left to report that standard error can't be written.
        let _ = writeln!(io::stderr(), "{text}");
    }
}

fn write_lines(text: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "{text}")?;
    output.flush()
}
