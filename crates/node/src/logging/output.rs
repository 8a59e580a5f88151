//! Where lines go, and which are let through.

use std::io::Write;
use std::panic::PanicHookInfo;
use std::time::SystemTime;

use log::{LevelFilter, SetLoggerError};

use super::line::Line;
use super::scope::RequestScope;
use crate::settings::LogSettings;

/// The crates whose events the settings' level decides on. Those of libraries need an operator's attention only from
/// warnings on, except at `trace`.
const OWN_CRATES: [&str; 5] =
    ["havengate", "havengate_core", "havengate_wire", "havengate_node", "havengate_rehearsal"];

/// Logs to standard error from now on, panics included.
///
/// # Errors
/// When the process has a logger already.
pub fn start(settings: &LogSettings) -> Result<(), SetLoggerError> {
    let standard_error = fern::Output::call(|record| {
        let line = format!("{}\n", record.args());
        // One write a line keeps the lines of several threads whole; a log that can't be written must not stop traffic.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    });
    dispatch(settings, standard_error).apply()?;
    log_panics();
    Ok(())
}

/// The logger that [`start`] installs, with another output.
pub fn dispatch(settings: &LogSettings, output: impl Into<fern::Output>) -> fern::Dispatch {
    let own_level = settings.level.filter();
    let library_level = if own_level == LevelFilter::Trace { own_level } else { own_level.min(LevelFilter::Warn) };
    let timestamps = settings.timestamps;
    let dispatch = fern::Dispatch::new()
        .format(move |out, _, record| {
            let time = timestamps.then(SystemTime::now);
            let line = Line { record, time, request: RequestScope::current() };
            out.finish(format_args!("{line}"));
        })
        .level(library_level);
    let dispatch = OWN_CRATES.into_iter().fold(dispatch, |dispatch, name| dispatch.level_for(name, own_level));
    dispatch.chain(output)
}

/// Makes a panic one line of the log, instead of several lines of its own form.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic: &PanicHookInfo<'_>| {
        let payload = panic.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let message = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown");
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        log::error!(event = "panic", thread = name, place = place; "{message}");
    }));
}
