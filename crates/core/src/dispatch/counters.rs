//! Counts what a dispatcher does, for metrics and reports.

use crate::policy::RequestOutcome;

/// What a dispatcher has done since it was created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Requests that were submitted, repeats of one left out.
    pub submitted: u64,
    /// Requests that were refused on arrival.
    pub refused: u64,
    /// Requests given up in the queue to make room for others of higher priority.
    pub shed: u64,
    /// Requests given up in the queue because their deadline could no longer be met.
    pub expired: u64,
    /// Attempts that were started.
    pub started: u64,
    /// Requests that were put back into the queue after an attempt had ended.
    pub retries: u64,
    /// Requests that ended because the retry budget was used up.
    pub retries_denied: u64,
    /// Engines that were ejected, counted each time.
    pub ejections: u64,
    /// Requests whose whole answer met the contract.
    pub met: u64,
    /// Requests whose whole answer came too late or too slowly.
    pub missed: u64,
    /// Accepted requests that ended as not run.
    pub not_run: u64,
    /// Requests that ended as may have run.
    pub may_have_run: u64,
}

impl DispatchCounters {
    pub(super) fn record_end(&mut self, outcome: RequestOutcome) {
        let counter = match outcome {
            RequestOutcome::Met => &mut self.met,
            RequestOutcome::Missed => &mut self.missed,
            RequestOutcome::NotRun => &mut self.not_run,
            RequestOutcome::MayHaveRun => &mut self.may_have_run,
        };
        *counter += 1;
    }
}
