//! Gives up and cancels requests, and ends each of them exactly once.

use super::closed_requests::Closed;
use super::dispatcher::{CancelReason, Dispatcher};
use super::event::{DispatchAction, Revocation};
use super::job::Job;
use crate::policy::RequestOutcome;
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use crate::world::EngineName;

impl Dispatcher {
    /// Ends a request with its final verdict.
    pub(super) fn end(&mut self, job: &Job, verdict: Verdict, now: Timestamp) {
        let closed = match &verdict {
            Verdict::NotRun(refusal) => Closed::NeverStarted(refusal.clone()),
            Verdict::Completed | Verdict::MayHaveRun(_) => Closed::Ended,
        };
        let outcome = match &verdict {
            Verdict::Completed if job.met_contract(now) => RequestOutcome::Met,
            Verdict::Completed => RequestOutcome::Missed,
            Verdict::NotRun(_) => RequestOutcome::NotRun,
            Verdict::MayHaveRun(_) => RequestOutcome::MayHaveRun,
        };
        self.closed.insert(job.profile.id, closed, now);
        self.placement.record(&job.profile, outcome);
        self.counters.record_end(outcome);
        self.actions.push(DispatchAction::End { request: job.profile.id, verdict });
    }

    pub(super) fn refuse(&mut self, job: &Job, refusal: NotRun, now: Timestamp) {
        self.counters.refused += 1;
        self.last_given_up_at = Some(now);
        self.placement.record(&job.profile, RequestOutcome::NotRun);
        if self.has_room_for_one_more() {
            self.closed.insert(job.profile.id, Closed::NeverStarted(refusal), now);
        }
    }

    pub(super) fn shed(&mut self, request: RequestId, now: Timestamp) {
        let retry_after = self.forecast(now).time_to_empty();
        let Some(job) = self.queue.remove(request) else { return };
        self.counters.shed += 1;
        self.last_given_up_at = Some(now);
        self.give_up(&job, NotRun::retry_after(NotRunReason::DeadlineUnreachable, retry_after), now);
    }

    pub(super) fn give_up_expired(&mut self, now: Timestamp) {
        while let Some(job) = self.queue.pop_expired(now) {
            self.counters.expired += 1;
            self.last_given_up_at = Some(now);
            let refusal = if job.terms.deadline <= now {
                NotRun::new(NotRunReason::DeadlinePassed)
            } else {
                let retry_after = self.forecast(now).time_to_empty();
                NotRun::retry_after(NotRunReason::DeadlineUnreachable, retry_after)
            };
            self.give_up(&job, refusal, now);
        }
    }

    /// Gives up all waiting requests when this dispatcher has lost its pool, so that another dispatcher can run them.
    pub fn give_up_waiting(&mut self, reason: NotRunReason, now: Timestamp) {
        let waiting: Vec<RequestId> = self.queue.jobs().map(|job| job.profile.id).collect();
        for request in waiting {
            let Some(job) = self.queue.remove(request) else { continue };
            self.give_up(&job, NotRun::new(reason), now);
        }
    }

    fn give_up(&mut self, job: &Job, refusal: NotRun, now: Timestamp) {
        let verdict = job.verdict_when_given_up(refusal);
        self.end(job, verdict, now);
    }

    pub(super) fn revoke_waiting(&mut self, job: &Job, now: Timestamp) -> Revocation {
        if job.may_have_run.is_some() {
            self.end(job, Verdict::MayHaveRun(MayHaveRun::CallerGone), now);
            return Revocation::AfterStart;
        }
        let refusal = NotRun::new(NotRunReason::Revoked);
        self.closed.insert(job.profile.id, Closed::NeverStarted(refusal), now);
        self.placement.record(&job.profile, RequestOutcome::NotRun);
        self.counters.record_end(RequestOutcome::NotRun);
        Revocation::BeforeStart
    }

    pub(super) fn cancel_overdue(&mut self, now: Timestamp) {
        let overdue = self.running_by_deadline.iter().take_while(|(deadline, _)| *deadline <= now);
        let overdue: Vec<RequestId> = overdue.map(|(_, request)| *request).collect();
        for request in overdue {
            self.cancel(request, CancelReason::DeadlinePassed);
        }
    }

    pub(super) fn cancel(&mut self, request: RequestId, reason: CancelReason) {
        let Some(running) = self.running.get_mut(&request).filter(|running| running.cancelled.is_none()) else {
            return;
        };
        running.cancelled = Some(reason);
        self.running_by_deadline.remove(&(running.job.terms.deadline, request));
        let still_runs_it = |engine: &&EngineName| !running.generating || **engine == running.placement.decode;
        for engine in running.placement.engines().filter(still_runs_it) {
            self.actions.push(DispatchAction::Cancel { request, engine: engine.clone() });
        }
    }
}
