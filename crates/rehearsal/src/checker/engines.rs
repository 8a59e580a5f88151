//! Checks on what engines have done, whatever callers know.

use std::time::Duration;

use super::evidence::{Departure, EngineObservation, Evidence};
use super::violation::Violation;
use crate::engine::model::{RunEnd, RunRecord};

/// Runs that began on a leaving engine later than the bound allows.
pub(super) fn work_while_leaving(evidence: &Evidence) -> Vec<Violation> {
    let late_of = |engine: &EngineObservation| {
        let late = |run: &RunRecord| {
            let after = engine.departures.iter().find_map(|departure| time_into(departure, run))?;
            let violation =
                Violation::NewWorkWhileLeaving { engine: engine.engine.clone(), request: run.request, after };
            (after > evidence.leaving_bound).then_some(violation)
        };
        engine.runs.iter().filter_map(late).collect::<Vec<_>>()
    };
    evidence.engines.iter().flat_map(late_of).collect()
}

/// How long after the announcement the run began, if it began while the engine was leaving.
fn time_into(departure: &Departure, run: &RunRecord) -> Option<Duration> {
    let is_over = departure.revoked_at.is_some_and(|revoked_at| run.started_at >= revoked_at);
    let is_inside = run.started_at >= departure.announced_at && !is_over;
    is_inside.then(|| run.started_at.since(departure.announced_at))
}

/// Runs that an order cut off.
pub(super) fn cut_by_order(evidence: &Evidence) -> Vec<Violation> {
    let cut = evidence.runs().filter(|(_, run)| matches!(run.end, Some((RunEnd::CutByOrder, _))));
    cut.map(|(engine, run)| Violation::CutByOrder { engine: engine.clone(), request: run.request }).collect()
}

/// Engines that held two orders that conflict.
pub(super) fn conflicting_orders(evidence: &Evidence) -> Vec<Violation> {
    let conflicting = |engine: &EngineObservation| {
        let orders = crate::simulate::conflicting_orders(engine.orders.iter());
        (orders > 0).then(|| Violation::ConflictingOrders { engine: engine.engine.clone(), orders })
    };
    evidence.engines.iter().filter_map(conflicting).collect()
}

/// Engines whose history is not whole, so that the other checks prove nothing.
pub(super) fn incomplete_histories(evidence: &Evidence) -> Vec<Violation> {
    let incomplete = evidence.engines.iter().filter(|engine| engine.dropped_runs > 0);
    let violation = |engine: &EngineObservation| Violation::IncompleteHistory {
        engine: engine.engine.clone(),
        runs: engine.dropped_runs,
    };
    incomplete.map(violation).collect()
}
