//! Compares policies over the same seeds: against the best static split, and against a planner that knows the trace.
//!
//! All runs are simulations, so a comparison gives the same table on any machine and with any number of threads.

mod clairvoyant;
mod error;
mod interval;
mod plan;
mod runs;
mod sweep;
mod table;

pub use error::CompareError;
pub use interval::Interval;
pub use plan::{Comparison, Contender, SeedRange};
pub use runs::{Progress, run_all};
pub use sweep::{coarse_splits, neighbours};
pub use table::{ComparisonTable, Row, compare};
