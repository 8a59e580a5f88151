//! Where lines go, and which are let through.

use std::io::{self, Write};
use std::panic::PanicHookInfo;
use std::time::SystemTime;

use log::{LevelFilter, SetLoggerError};

use super::bounded::BoundedLog;
use super::line::Line;
use super::line_budget::LineBudgetConfig;
use super::scope::RequestScope;
use crate::settings::LogSettings;

/// The crates whose events the settings' level decides on. Those of libraries need an operator's attention only from
/// warnings on, except at `trace`.
const OWN_CRATES: [&str; 7] = [
    "havengate",
    "havengate_core",
    "havengate_wire",
    "havengate_node",
    "havengate_rehearsal",
    "havengate_relay",
    "havengate_platform",
];

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

/// Logs to standard output from now on, panics included, within a budget and without ever waiting for the output.
///
/// # Errors
/// When the process has a logger already, or the log's thread can't be started.
pub fn start_bounded(settings: &LogSettings, budget: LineBudgetConfig) -> io::Result<BoundedLog> {
    let bounded = BoundedLog::start(budget, io::stdout())?;
    let lines = bounded.clone();
    let output = fern::Output::call(move |record| lines.log(record.level(), record.args().to_string()));
    dispatch(settings, output).apply().map_err(io::Error::other)?;
    log_panics();
    Ok(bounded)
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
