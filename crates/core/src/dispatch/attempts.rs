//! What happens to a request while an attempt runs, and when the attempt ends.

use std::time::Duration;

use super::dispatcher::{CancelReason, Dispatcher, Running};
use super::event::{AttemptOutcome, EngineAvailability};
use super::job::Job;
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use crate::world::EngineName;

/// When a caller should come back after engines have refused its request.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_secs(1);

impl Dispatcher {
    pub(super) fn prompt_read(&mut self, request: RequestId, now: Timestamp) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.prompt_read = true;
        let reader = running.placement.engines().next();
        if let Some(engine) = reader.and_then(|reader| self.fleet.get_mut(reader)) {
            engine.finish_reading(request, now);
        }
    }

    pub(super) fn first_token(&mut self, request: RequestId, now: Timestamp) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.prompt_read = true;
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

    /// Puts the request back into the queue for another engine, if limits and budget allow it.
    ///
    /// The caller has made sure that it may run again: either it did not run, or its contract says so.
    fn retry_or_end(&mut self, running: Running, now: Timestamp) {
        let failed_at = running.suspect().clone();
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
        let has_place = self.queue.len() < self.config.queue_maximum;
        let has_engine = self.fleet.has_engine_besides(&job.failed_at);
        if !(in_time && within_limits && has_place && has_engine) {
            return false;
        }
        let granted = self.retry_budget.try_withdraw();
        self.counters.retries_denied += u64::from(!granted);
        granted
    }

    fn record_health(&mut self, running: &Running, outcome: &AttemptOutcome, now: Timestamp) {
        let request = running.job.profile.id;
        let suspect = running.suspect().clone();
        for name in running.placement.engines() {
            let Some(engine) = self.fleet.get_mut(name) else { continue };
            let is_serving = engine.slot.availability == EngineAvailability::Serving;
            let failed = running.cancelled.is_none() && is_failure(outcome) && is_serving && *name == suspect;
            if *outcome == AttemptOutcome::Completed {
                engine.health.record_success(request);
            } else if failed {
                let ejected = engine.health.record_failure(request, now);
                self.counters.ejections += u64::from(ejected);
            } else {
                engine.health.record_nothing(request, now);
            }
        }
    }
}

impl Running {
    /// The engine that most likely ended the attempt: the one that was at work.
    fn suspect(&self) -> &EngineName {
        match &self.placement.prefill {
            Some(prefill) if !self.prompt_read => prefill,
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

/// Whether the outcome speaks against the engine.
fn is_failure(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Completed => false,
        AttemptOutcome::NotRun => true,
        AttemptOutcome::MayHaveRun(reason) => matches!(reason, MayHaveRun::AnswerCut | MayHaveRun::EngineFailed),
    }
}
