//! Counters of a dispatcher's work, for metrics and reports.

use crate::policy::RequestOutcome;

/// Counts of a dispatcher's work since it was created.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounters {
    /// Requests that were submitted, not counting repeats.
    pub submitted: u64,
    /// Requests that were refused on arrival.
    pub refused: u64,
    /// Waiting requests given up to make room for requests of higher priority.
    pub shed: u64,
    /// Waiting requests given up because their deadline could no longer be met.
    pub expired: u64,
    /// Attempts that were started.
    pub started: u64,
    /// Requests that were put back into the queue after an attempt had ended.
    pub retries: u64,
    /// Requests that ended because the retry budget was used up.
    pub retries_denied: u64,
    /// Ejections of engines.
    pub ejections: u64,
    /// Requests whose complete answer met the contract.
    pub met: u64,
    /// Requests whose complete answer was too late or too slow for the contract.
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
