//! The log: one line of `key=value` pairs for each event.
//!
//! # How to log
//!
//! The pair `event` names the event in snake case; everything else is a pair of the `log` crate's `kv` feature, too:
//!
//! ```
//! # let (engine, waited) = ("lekh-model-03", "12ms");
//! log::info!(event = "request_started", engine, waited; "");
//! ```
//!
//! which gives
//!
//! ```text
//! time=2026-12-02T08:00:00.000Z level=info event=request_started module=havengate_node engine=lekh-model-03 waited=12ms
//! ```
//!
//! - `name = value` takes strings, numbers and booleans; `name:% = value` writes anything by its `Display`.
//! - A value with spaces, quotes, `=`, a backslash or control characters, and the empty value, is written in double
//!   quotes with `\"`, `\\`, `\n`, `\r`, `\t` and `\uXXXX`, so that an event is always one line.
//! - `time`, `level` and `module` are written by this module: no pair may be called so. `message` is the text
//!   after the semicolon, if any; without the pair `event`, as in libraries, the text is the event.
//! - A thread that works on a request holds a [`RequestScope`]; each line that it logs meanwhile carries `request=`.
//!   Elsewhere, lines that belong to a request have the pair `request`.
//! - Durations are written with their unit, by `humantime`. Prompts, answers and bearer keys are never logged.
//!
//! A line that can't be written is dropped: the log may not stop the traffic. Nodes that relay log to standard output
//! through a [`BoundedLog`], which counts what it leaves out.

mod bounded;
mod line;
mod line_budget;
mod output;
mod scope;

pub use bounded::BoundedLog;
pub use line::Line;
pub use line_budget::{LineBudget, LineBudgetConfig};
pub use output::{dispatch, log_panics, start, start_bounded};
pub use scope::RequestScope;
