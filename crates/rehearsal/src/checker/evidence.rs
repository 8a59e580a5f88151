//! What a checker reads: the histories of callers and engines, and what was done to the deployment meanwhile.

use std::time::Duration;

use havengate_core::time::Timestamp;
use havengate_core::world::EngineName;

use super::call::CallRecord;
use crate::engine::model::{OrderRecord, RunRecord};

/// A stretch of time in which an engine announced that it was about to stop, on the engine's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When it announced it.
    pub announced_at: Timestamp,
    /// When it took that back; `None` when it did not.
    pub revoked_at: Option<Timestamp>,
}

/// What one engine has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineObservation {
    /// The engine.
    pub engine: EngineName,
    /// Its runs, over all lives.
    pub runs: Vec<RunRecord>,
    /// Runs that are missing in `runs`.
    pub dropped_runs: u64,
    /// The orders that it took, over all lives.
    pub orders: Vec<OrderRecord>,
    /// When it announced that it was about to stop.
    pub departures: Vec<Departure>,
}

/// A stretch of time in which something failed that may cut answers off: a crash, a pause, an abrupt stop, a cut link.
/// Times count from the start of the run. Planned stops and changes are none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// When it began.
    pub from: Duration,
    /// When its consequences are over.
    pub until: Duration,
}

/// Everything that is known of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Requests that were handed to callers.
    pub offered: u64,
    /// What became of them.
    pub calls: Vec<CallRecord>,
    /// Requests outside the load, made to see whether the deployment is ready.
    pub probes: Vec<CallRecord>,
    /// What engines have done.
    pub engines: Vec<EngineObservation>,
    /// What failed.
    pub disturbances: Vec<Disturbance>,
    /// The time from the announcement that an engine leaves until it may get no new work any more.
    pub leaving_bound: Duration,
}

impl Evidence {
    /// The requests of the load and the probes.
    pub(super) fn all_calls(&self) -> impl Iterator<Item = &CallRecord> {
        self.calls.iter().chain(&self.probes)
    }

    /// All runs, with the engine of each.
    pub(super) fn runs(&self) -> impl Iterator<Item = (&EngineName, &RunRecord)> {
        self.engines.iter().flat_map(|engine| engine.runs.iter().map(move |run| (&engine.engine, run)))
    }
}
