//! Checks on what callers were told.

use std::collections::{BTreeMap, BTreeSet};

use havengate_core::request::RequestId;
use havengate_core::world::EngineName;

use super::call::{CallRecord, Outcome};
use super::evidence::Evidence;
use super::keys;
use super::violation::Violation;
use crate::engine::expected_text;
use crate::engine::model::{RunEnd, WorkKind};

/// Codes of `may_have_run` that need no failure: the deadline passed in the middle of an answer, or the key had run.
const CODES_WITHOUT_FAILURE: [&str; 2] = ["deadline_passed", "key_used"];

/// Whether each request has exactly one outcome.
pub(super) fn unaccounted(evidence: &Evidence) -> Option<Violation> {
    let numbers: BTreeSet<u64> = evidence.calls.iter().map(|call| call.number).collect();
    let (offered, recorded) = (evidence.offered, evidence.calls.len() as u64);
    let is_accounted = offered == recorded && numbers.len() as u64 == recorded;
    (!is_accounted).then_some(Violation::Unaccounted { offered, recorded })
}

/// Answers that are not those of their requests, or not as whole as the caller was told.
pub(super) fn wrong_answers(evidence: &Evidence) -> Vec<Violation> {
    let wrong = evidence.all_calls().filter(|call| !is_right(evidence, call));
    wrong.map(|call| Violation::WrongAnswer { call: call.number }).collect()
}

fn is_right(evidence: &Evidence, call: &CallRecord) -> bool {
    match &call.outcome {
        Outcome::NotRun(_) => call.text.is_empty(),
        Outcome::MayHaveRun(_) if call.text.is_empty() => true,
        Outcome::MayHaveRun(_) => answers(evidence, call).iter().any(|answer| answer.starts_with(&call.text)),
        Outcome::Completed => answers(evidence, call).contains(&call.text),
    }
}

/// The whole answers that the call may be given: that of its own request, or, when the node says that it is a recorded
/// one, that of another run with the same key.
fn answers(evidence: &Evidence, call: &CallRecord) -> Vec<String> {
    let whole = |request: RequestId| expected_text(request, 0, call.answer_tokens);
    let Some(keyed) = call.keyed.as_ref().filter(|_| call.is_replayed) else {
        return call.request.into_iter().map(whole).collect();
    };
    let traces = keys::traces(evidence);
    let Some(of_key) = traces.get(&keyed.key) else { return Vec::new() };
    evidence.runs().filter(|(_, run)| of_key.has(run)).map(|(_, run)| whole(run.request)).collect()
}

/// Completed requests that no engine has finished.
pub(super) fn completed_without_run(evidence: &Evidence) -> Vec<Violation> {
    let is_finished = |run: &crate::engine::model::RunRecord| {
        run.kind == WorkKind::Generate && matches!(run.end, Some((RunEnd::Finished, _)))
    };
    let finished: BTreeSet<RequestId> =
        evidence.runs().filter(|(_, run)| is_finished(run)).map(|(_, run)| run.request).collect();
    let without = |call: &CallRecord| {
        let request = call.request.filter(|request| !finished.contains(request))?;
        let is_own = call.outcome == Outcome::Completed && !call.is_replayed;
        is_own.then_some(Violation::CompletedWithoutRun { call: call.number, request })
    };
    evidence.all_calls().filter_map(without).collect()
}

/// Requests that ran, wholly or in part, though their callers were told that they did not.
pub(super) fn ran_after_not_run(evidence: &Evidence) -> Vec<Violation> {
    let ran: BTreeMap<RequestId, &EngineName> = evidence.runs().map(|(engine, run)| (run.request, engine)).collect();
    let broken = |call: &CallRecord| {
        let request = call.request.filter(|_| matches!(call.outcome, Outcome::NotRun(_)))?;
        let engine = (*ran.get(&request)?).clone();
        Some(Violation::RanAfterNotRun { call: call.number, request, engine })
    };
    evidence.all_calls().filter_map(broken).collect()
}

/// Requests that were cut off while nothing failed: planned stops and changes must not do that.
pub(super) fn cut_without_failure(evidence: &Evidence) -> Vec<Violation> {
    let unexplained = |call: &CallRecord| {
        let Outcome::MayHaveRun(reason) = &call.outcome else { return None };
        let needs_none = CODES_WITHOUT_FAILURE.contains(&reason.as_str());
        let is_explained = needs_none || overlaps_disturbance(evidence, call);
        (!is_explained).then(|| Violation::CutWithoutFailure { call: call.number, reason: reason.clone() })
    };
    evidence.all_calls().filter_map(unexplained).collect()
}

fn overlaps_disturbance(evidence: &Evidence, call: &CallRecord) -> bool {
    evidence.disturbances.iter().any(|failed| failed.from <= call.ended_at && call.sent_at <= failed.until)
}
