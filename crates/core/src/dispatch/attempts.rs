//! Handles the progress and the end of an attempt at a request.

use std::time::Duration;

use super::dispatcher::{CancelReason, Dispatcher, Running};
use super::event::{AttemptOutcome, EngineAvailability};
use super::job::Job;
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use crate::world::EngineName;

/// The retry delay for a caller whose request was refused by the engines.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_secs(1);

impl Dispatcher {
    pub(super) fn prefill_done(&mut self, request: RequestId, now: Timestamp) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.prefill_done = true;
        let prefill_engine = running.placement.engines().next();
        if let Some(engine) = prefill_engine.and_then(|prefill_engine| self.fleet.get_mut(prefill_engine)) {
            engine.finish_prefill(request, now);
        }
    }

    pub(super) fn first_token(&mut self, request: RequestId, now: Timestamp) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.prefill_done = true;
        running.generating = true;
        running.job.first_token_at.get_or_insert(now);
        self.fleet.first_token(request, &running.placement, now);
    }

    pub(super) fn progress(&mut self, request: RequestId, tokens: u32) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.job.delivered = running.job.delivered.saturating_add(tokens);
        if let Some(engine) = self.fleet.get_mut(&running.placement.decode) {
            engine.progress(request, tokens);
        }
    }

    pub(super) fn attempt_ended(&mut self, request: RequestId, outcome: AttemptOutcome, now: Timestamp) {
        let Some(running) = self.stop_running(request, now) else { return };
        self.record_health(&running, &outcome, now);
        self.completions.add(1.0, now);
        match outcome {
            AttemptOutcome::Completed => {
                self.demand.record_answer(running.job.delivered, running.job.profile.max_output_tokens);
                self.end(&running.job, Verdict::Completed, now);
            }
            AttemptOutcome::NotRun => self.attempt_not_run(running, now),
            AttemptOutcome::MayHaveRun(reason) => self.attempt_may_have_run(running, reason, now),
        }
    }

    fn attempt_not_run(&mut self, running: Running, now: Timestamp) {
        if let Some(reason) = running.cancelled {
            let verdict = running.job.verdict_when_given_up(NotRun::new(reason.when_not_run()));
            return self.end(&running.job, verdict, now);
        }
        self.retry_or_end(running, now);
    }

    fn attempt_may_have_run(&mut self, mut running: Running, reason: MayHaveRun, now: Timestamp) {
        let reason = running.cancelled.map_or(reason, CancelReason::when_may_have_run);
        running.job.may_have_run = Some(reason);
        if running.cancelled.is_some() || !running.job.terms.repeatable {
            return self.end(&running.job, Verdict::MayHaveRun(reason), now);
        }
        self.retry_or_end(running, now);
    }

    /// Puts the request back into the queue for another engine, if the limits and the retry budget allow it.
    ///
    /// The calling function must have checked that the request may run again: either it did not run, or its contract
    /// makes it repeatable.
    fn retry_or_end(&mut self, running: Running, now: Timestamp) {
        let failed_at = running.likely_failed_engine().clone();
        let mut job = running.job;
        job.failed_at.push(failed_at);
        if !self.may_retry(&job, now) {
            let refusal = NotRun::retry_after(NotRunReason::NoEngine, RETRY_AFTER_REFUSAL);
            let verdict = job.verdict_when_given_up(refusal);
            return self.end(&job, verdict, now);
        }
        self.counters.retries += 1;
        let expires = self.expires(&job);
        self.queue.push(job, expires);
    }

    fn may_retry(&mut self, job: &Job, now: Timestamp) -> bool {
        let in_time = now < self.expires(job);
        let within_limits = job.attempts < self.config.attempts_maximum;
        let has_queue_room = self.queue.len() < self.config.queue_maximum;
        let has_engine = self.fleet.has_engine_besides(&job.failed_at);
        if !(in_time && within_limits && has_queue_room && has_engine) {
            return false;
        }
        let granted = self.retry_budget.try_withdraw();
        self.counters.retries_denied += u64::from(!granted);
        granted
    }

    fn record_health(&mut self, running: &Running, outcome: &AttemptOutcome, now: Timestamp) {
        let request = running.job.profile.id;
        let likely_failed_engine = running.likely_failed_engine().clone();
        for name in running.placement.engines() {
            let Some(engine) = self.fleet.get_mut(name) else { continue };
            let is_serving = engine.slot.availability == EngineAvailability::Serving;
            let failed =
                running.cancelled.is_none() && is_failure(outcome) && is_serving && *name == likely_failed_engine;
            if *outcome == AttemptOutcome::Completed {
                engine.health.record_success(request);
            } else if failed {
                let ejected = engine.health.record_failure(request, now);
                self.counters.ejections += u64::from(ejected);
            } else {
                engine.health.record_inconclusive(request, now);
            }
        }
    }
}

impl Running {
    /// The engine that most likely caused the end of the attempt: the one that was processing the request.
    fn likely_failed_engine(&self) -> &EngineName {
        match &self.placement.prefill {
            Some(prefill) if !self.prefill_done => prefill,
            _ => &self.placement.decode,
        }
    }
}

impl CancelReason {
    fn when_not_run(self) -> NotRunReason {
        match self {
            CancelReason::Revoked => NotRunReason::Revoked,
            CancelReason::DeadlinePassed => NotRunReason::DeadlinePassed,
        }
    }

    fn when_may_have_run(self) -> MayHaveRun {
        match self {
            CancelReason::Revoked => MayHaveRun::CallerGone,
            CancelReason::DeadlinePassed => MayHaveRun::DeadlinePassed,
        }
    }
}

/// Whether the outcome counts as a failure of the engine.
fn is_failure(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Completed => false,
        AttemptOutcome::NotRun => true,
        AttemptOutcome::MayHaveRun(reason) => matches!(reason, MayHaveRun::AnswerCut | MayHaveRun::EngineFailed),
    }
}
