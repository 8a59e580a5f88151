//! Admission: predicts the time to the first token, and chooses which requests to refuse or shed under overload.

use std::time::Duration;

use super::config::DispatchConfig;
use super::engine_state::EngineState;
use super::fair_queue::{FairQueue, Precedence};
use super::fleet::Fleet;
use super::job::Job;
use crate::policy::Stage;
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::verdict::{NotRun, NotRunReason};

/// The shortest retry delay that a refusal gives to the caller.
const RETRY_AFTER_MINIMUM: Duration = Duration::from_millis(100);
/// The retry delay of a refusal if no time can be predicted.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_secs(1);

/// The upper bound of predicted waits.
const LONGEST_PREDICTION: Duration = Duration::from_secs(3_600);

/// Whether a request is admitted to the queue.
#[derive(Debug, PartialEq)]
pub(super) enum Admission {
    /// The request is predicted to meet its deadline.
    Admitted,
    /// The request is predicted to meet its deadline if this request of lower priority, and possibly more, is shed.
    AfterShedding(RequestId),
    /// The request is refused.
    Refused(NotRun),
}

/// The inputs of a prediction.
pub(super) struct Forecast<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) queue: &'a FairQueue,
    pub(super) config: &'a DispatchConfig,
    /// Rate at which requests end; 0 if unknown.
    pub(super) completions_per_second: f64,
    pub(super) precedence: Precedence,
    pub(super) now: Timestamp,
}

impl Forecast<'_> {
    /// Decides on a request that arrives now.
    pub(super) fn admit(&self, job: &Job) -> Admission {
        if self.fleet.is_empty() {
            return refused(NotRunReason::NoEngine, RETRY_AFTER_UNKNOWN);
        }
        if !self.fleet.could_hold(job) {
            return Admission::Refused(NotRun::new(NotRunReason::InvalidRequest));
        }
        let queue_is_full = self.queue.len() >= self.config.queue_maximum;
        let competing_priority = match self.precedence {
            Precedence::Shares => 0,
            Precedence::Priority => job.profile.priority,
        };
        let lateness = self.lateness(job, competing_priority);
        if !queue_is_full && lateness.is_none() {
            return Admission::Admitted;
        }
        match self.first_to_shed_for(job) {
            Some(request) => Admission::AfterShedding(request),
            None if queue_is_full => refused(NotRunReason::QueueFull, self.time_to_empty()),
            None => refused(NotRunReason::DeadlineUnreachable, lateness.unwrap_or_default()),
        }
    }

    /// The retry delay for a request that is given up now: the time to prefill all waiting prompts.
    pub(super) fn time_to_empty(&self) -> Duration {
        self.pool_prefill_time(self.queue.prefill_time()).max(RETRY_AFTER_MINIMUM)
    }

    /// The request of lower priority to shed first; `None` if shedding all of them would not be enough.
    fn first_to_shed_for(&self, job: &Job) -> Option<RequestId> {
        if self.lateness(job, job.profile.priority).is_some() {
            return None;
        }
        self.queue.first_to_shed(job.profile.priority)
    }

    /// By how much the job is predicted to miss its deadline if only requests of at least `priority` precede it.
    fn lateness(&self, job: &Job, priority: u8) -> Option<Duration> {
        let predicted = self.time_to_first_token(job, priority);
        let reserve = job.first_token_within().mul_f64(self.config.deadline_reserve);
        let allowed = job.due().since(self.now).saturating_sub(reserve);
        (predicted > allowed).then(|| predicted.saturating_sub(allowed))
    }

    /// Predicted time to the first token if the job is put into the queue now.
    fn time_to_first_token(&self, job: &Job, priority: u8) -> Duration {
        let ahead = self.queue.work_ahead_of(job, priority);
        let engine_wait = self.fleet.capacity(Stage::Prefill).map(|engine| engine.wait(self.now)).min();
        let prefill_wait = engine_wait.unwrap_or_default() + self.pool_prefill_time(ahead.prefill_time);
        prefill_wait.max(self.wait_for_batch_slot(ahead.requests)) + job.prefill_time
    }

    /// Time for all prefill engines together to process prompts that take one idle engine `prefill_time`.
    fn pool_prefill_time(&self, prefill_time: Duration) -> Duration {
        let share_of_full_rate = |engine: &EngineState| {
            engine.prefill_rate(self.config.piece_tokens) / engine.slot.performance.prefill_tokens_per_second
        };
        let engines: f64 = self.fleet.capacity(Stage::Prefill).map(share_of_full_rate).sum();
        if engines > 0.0 { prefill_time.div_f64(engines) } else { prefill_time }
    }

    /// Time until a batch has a free slot after `requests` other requests have taken theirs.
    fn wait_for_batch_slot(&self, requests: f64) -> Duration {
        let free: u32 = self.fleet.capacity(Stage::Decode).map(|engine| engine.free_batch_slots(self.now)).sum();
        let missing = requests + 1.0 - f64::from(free);
        if missing <= 0.0 || self.completions_per_second <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((missing / self.completions_per_second).min(LONGEST_PREDICTION.as_secs_f64()))
    }
}

fn refused(reason: NotRunReason, retry_after: Duration) -> Admission {
    Admission::Refused(NotRun::retry_after(reason, retry_after.clamp(RETRY_AFTER_MINIMUM, LONGEST_PREDICTION)))
}
