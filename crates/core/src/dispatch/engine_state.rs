//! A dispatcher's state of one engine: the requests placed there and the remaining capacity.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::config::DispatchConfig;
use super::event::{EngineAvailability, EngineSlot, ReportedLoad};
use super::health::EngineHealth;
use super::job::Job;
use super::load_correction::{ExternalLoad, LoadCorrection, OwnLoad};
use super::prefill_backlog::PrefillBacklog;
use super::prefix_index::PrefixIndex;
use crate::policy::{EngineView, Stage};
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::world::EngineRole;

/// How far the time of an engine's report may be off, in addition to the link latency.
const REPORT_UNCERTAINTY: Duration = Duration::from_millis(50);

/// The stage of a request that runs on one engine.
#[derive(Clone, Debug)]
struct Task {
    stage: Stage,
    kv_tokens: u32,
    token_interval: Duration,
    max_output_tokens: u32,
    placed_at: Timestamp,
    uncached_tokens: u32,
    generating_since: Option<Timestamp>,
    generated: u32,
}

impl Task {
    /// How long the stream may still be stalled before it violates its contract's token interval; `None` if it has
    /// already violated it and needs no protection.
    fn slack(&self, step_time: Duration, output_counted_on: f64, now: Timestamp) -> Option<Duration> {
        let tokens_left = self.max_output_tokens.saturating_sub(self.generated);
        let expected_tokens = (f64::from(tokens_left) * output_counted_on) as u32;
        let allowed = self.token_interval.saturating_mul((self.generated + expected_tokens).max(1));
        let taken = self.generating_since.map_or(Duration::ZERO, |since| now.since(since));
        allowed.checked_sub(taken.saturating_add(step_time.saturating_mul(expected_tokens)))
    }
}

/// One engine of the pool.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) slot: EngineSlot,
    pub(super) health: EngineHealth,
    pub(super) prefixes: PrefixIndex,
    tasks: BTreeMap<RequestId, Task>,
    backlog: PrefillBacklog,
    kv_tokens: u32,
    correction: LoadCorrection,
    report_lifetime: Duration,
    backlog_maximum: u32,
    output_counted_on: f64,
    /// The interference slack and the time it is valid for. It is cached because it is costly and needed for each
    /// waiting request.
    cached_slack: Cell<Option<(Timestamp, Duration)>>,
}

impl EngineState {
    pub(super) fn new(slot: EngineSlot, config: &DispatchConfig) -> Self {
        EngineState {
            slot,
            health: EngineHealth::new(config.health),
            prefixes: PrefixIndex::new(config.prefix_blocks_maximum),
            tasks: BTreeMap::new(),
            backlog: PrefillBacklog::new(),
            kv_tokens: 0,
            correction: LoadCorrection::default(),
            report_lifetime: config.load_report_lifetime,
            backlog_maximum: config.prefill_backlog_tokens,
            output_counted_on: config.output_counted_on,
            cached_slack: Cell::new(None),
        }
    }

    /// Applies the engine's description from pool control. The cache of an engine that can't serve counts as lost.
    pub(super) fn set_slot(&mut self, slot: EngineSlot) {
        if slot.availability == EngineAvailability::Unavailable {
            self.prefixes.clear();
        }
        self.slot = slot;
    }

    pub(super) fn in_flight(&self) -> usize {
        self.tasks.len()
    }

    /// Whether it counts as capacity for `stage`: it accepts new work, its role serves the stage and it isn't ejected.
    pub(super) fn is_capacity(&self, stage: Stage) -> bool {
        self.slot.availability == EngineAvailability::Serving
            && serves(self.slot.role, stage)
            && self.health.is_admitted()
    }

    /// Whether it can accept this stage of the request now.
    pub(super) fn can_accept(&self, job: &Job, stage: Stage, now: Timestamp) -> bool {
        self.slot.availability == EngineAvailability::Serving
            && serves(self.slot.role, stage)
            && self.health.admits(job.terms.repeatable, now)
            && !job.failed_at.contains(&self.slot.name)
            && self.has_batch_room(job, stage, now)
            && self.has_memory_room(job, stage, now)
            && (stage == Stage::Decode || self.wait(now) <= self.wait_maximum())
            && (stage == Stage::Decode || self.prefill_time(job) <= self.interference_slack(now))
    }

    /// Whether it can accept any prompt at all now: cheaper than [`EngineState::can_accept`] for one request.
    pub(super) fn can_accept_prompt(&self, now: Timestamp) -> bool {
        self.slot.availability == EngineAvailability::Serving
            && self.slot.role.serves_prefill()
            && self.health.admits(true, now)
            && self.free_batch_slots(now) > 0
            && self.wait(now) <= self.wait_maximum()
    }

    /// Whether it can accept a minimal request, so that a request that doesn't fit is refused for its size only.
    pub(super) fn has_any_capacity(&self, stage: Stage, now: Timestamp) -> bool {
        let has_time = stage == Stage::Decode || self.wait(now) <= self.wait_maximum();
        self.is_capacity(stage) && self.free_batch_slots(now) > 0 && has_time
    }

    /// Whether a prompt of more than `tokens` is pending here, behind which a short prompt would wait.
    pub(super) fn has_prompt_longer_than(&self, tokens: u32) -> bool {
        self.backlog.has_longer_than(tokens)
    }

    /// The number of requests that can still be added to the batch.
    pub(super) fn free_batch_slots(&self, now: Timestamp) -> u32 {
        let used = self.requests().saturating_add(self.external(now).requests);
        self.slot.performance.batch_maximum.saturating_sub(used)
    }

    /// Predicted time until the prefill of a prompt that is placed on it now begins.
    pub(super) fn wait(&self, now: Timestamp) -> Duration {
        self.backlog.wait(now)
    }

    /// When its predicted wait is short enough for another prompt.
    pub(super) fn next_capacity(&self) -> Option<Timestamp> {
        let is_prefilling = self.is_capacity(Stage::Prefill) && !self.backlog.is_empty();
        is_prefilling.then(|| self.backlog.wait_falls_to(self.wait_maximum()))
    }

    /// Prefill rate in tokens per second, alongside the generation that runs there.
    pub(super) fn prefill_rate(&self, piece_tokens: u32) -> f64 {
        let rate = self.slot.performance.prefill_tokens_per_second / self.backlog.slowdown();
        let piece = f64::from(piece_tokens) / rate;
        let decoding = self.decoding();
        if decoding == 0 {
            return rate;
        }
        let step = self.slot.performance.step_time_of(decoding).as_secs_f64();
        rate * piece / (piece + step)
    }

    pub(super) fn view(&self, job: &Job, now: Timestamp) -> EngineView {
        let external = self.external(now);
        let cached = self.prefixes.cached_tokens(&job.profile.blocks).min(job.profile.prompt_tokens);
        EngineView {
            name: self.slot.name.clone(),
            role: self.slot.role,
            running: self.requests().saturating_add(external.requests),
            decoding: self.decoding(),
            waiting_prefill_tokens: self.backlog.tokens(now),
            prefill_wait: self.wait(now),
            interference_slack: self.interference_slack(now),
            reserved_kv_tokens: self.kv_tokens.saturating_add(external.kv_tokens),
            cached_prefix_tokens: cached,
            link_latency: self.slot.link_latency,
            performance: self.slot.performance,
        }
    }

    pub(super) fn start(&mut self, job: &Job, stage: Stage, now: Timestamp) {
        self.cached_slack.set(None);
        let cached = self.prefixes.cached_tokens(&job.profile.blocks);
        let uncached_tokens = if stage == Stage::Decode { 0 } else { job.profile.prompt_tokens.saturating_sub(cached) };
        let task = Task {
            stage,
            kv_tokens: kv_tokens(job, stage),
            token_interval: job.terms.token_interval,
            max_output_tokens: job.profile.max_output_tokens.saturating_sub(job.delivered),
            placed_at: now,
            uncached_tokens,
            generating_since: None,
            generated: 0,
        };
        self.health.start(job.profile.id);
        self.kv_tokens = self.kv_tokens.saturating_add(task.kv_tokens);
        if stage != Stage::Decode {
            let prefill_time = self.slot.performance.prefill_time(uncached_tokens);
            self.backlog.push(job.profile.id, uncached_tokens, prefill_time, now);
            self.prefixes.insert(&job.profile.blocks);
        }
        self.tasks.insert(job.profile.id, task);
        self.record_own(now);
    }

    /// Records that the prefill of a request is done here.
    pub(super) fn finish_prefill(&mut self, request: RequestId, now: Timestamp) {
        self.cached_slack.set(None);
        self.backlog.finish(request, now);
    }

    pub(super) fn first_token(&mut self, request: RequestId, now: Timestamp) {
        self.cached_slack.set(None);
        self.backlog.finish(request, now);
        if let Some(task) = self.tasks.get_mut(&request) {
            task.generating_since = Some(now);
        }
    }

    pub(super) fn progress(&mut self, request: RequestId, tokens: u32) {
        self.cached_slack.set(None);
        if let Some(task) = self.tasks.get_mut(&request) {
            task.generated = task.generated.saturating_add(tokens);
        }
    }

    /// Removes a request from the engine's load.
    pub(super) fn end(&mut self, request: RequestId, now: Timestamp) {
        self.cached_slack.set(None);
        let Some(task) = self.tasks.remove(&request) else { return };
        self.kv_tokens = self.kv_tokens.saturating_sub(task.kv_tokens);
        self.backlog.drop_request(request, now);
        self.record_own(now);
    }

    /// Corrects the local state by a delayed report: external load, and prefills that are faster or slower than
    /// predicted.
    pub(super) fn record_report(&mut self, report: &ReportedLoad, now: Timestamp) {
        self.cached_slack.set(None);
        let uncertainty = REPORT_UNCERTAINTY + self.slot.link_latency;
        self.correction.record_report(report, uncertainty, now);
        let arrived_after_report = |task: &&Task| task.placed_at + self.slot.link_latency > now - report.age;
        let placed_later: u32 = self.tasks.values().filter(arrived_after_report).map(|task| task.uncached_tokens).sum();
        let pending_tokens = report.waiting_prefill_tokens.saturating_add(placed_later);
        self.backlog.correct(self.slot.performance.prefill_time(pending_tokens), report.age, now);
    }

    fn has_batch_room(&self, job: &Job, stage: Stage, now: Timestamp) -> bool {
        if self.free_batch_slots(now) == 0 {
            return false;
        }
        let generating = self.tasks.values().filter(|task| task.stage != Stage::Prefill);
        let shortest = generating.clone().map(|task| task.token_interval).min();
        let (Some(shortest), true) = (shortest, stage != Stage::Prefill) else { return true };
        let requests = u32::try_from(generating.count()).unwrap_or(u32::MAX).saturating_add(1);
        self.slot.performance.step_time_of(requests) <= shortest.min(job.terms.token_interval)
    }

    fn has_memory_room(&self, job: &Job, stage: Stage, now: Timestamp) -> bool {
        let used = self.kv_tokens.saturating_add(self.external(now).kv_tokens);
        used.saturating_add(kv_tokens(job, stage)) <= self.slot.performance.kv_capacity_tokens
    }

    fn wait_maximum(&self) -> Duration {
        self.slot.performance.prefill_time(self.backlog_maximum)
    }

    /// How long the prefill of another prompt may take before it violates the token interval of a stream that runs here
    /// or will run after its prefill. The delay by prompts that are already pending is subtracted.
    fn interference_slack(&self, now: Timestamp) -> Duration {
        match self.cached_slack.get() {
            Some((at, slack)) if at == now => slack,
            _ => {
                let slack = self.predict_interference_slack(now);
                self.cached_slack.set(Some((now, slack)));
                slack
            }
        }
    }

    fn predict_interference_slack(&self, now: Timestamp) -> Duration {
        let step_time = self.slot.performance.step_time_of(self.decoding() + 1);
        let slack_left = |(request, task): (&RequestId, &Task)| {
            let delay = self.backlog.prefill_time_after(*request).unwrap_or_else(|| self.wait(now));
            Some(task.slack(step_time, self.output_counted_on, now)?.saturating_sub(delay))
        };
        let streams = self.tasks.iter().filter(|(_, task)| task.stage != Stage::Prefill);
        streams.filter_map(slack_left).min().unwrap_or(Duration::MAX)
    }

    fn prefill_time(&self, job: &Job) -> Duration {
        let cached = self.prefixes.cached_tokens(&job.profile.blocks);
        self.slot.performance.prefill_time(job.profile.prompt_tokens.saturating_sub(cached))
    }

    fn requests(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    fn decoding(&self) -> u32 {
        let decoding = self.tasks.values().filter(|task| task.generating_since.is_some()).count();
        u32::try_from(decoding).unwrap_or(u32::MAX)
    }

    fn external(&self, now: Timestamp) -> ExternalLoad {
        self.correction.external(self.report_lifetime, now)
    }

    fn record_own(&mut self, now: Timestamp) {
        let own = OwnLoad { requests: self.requests(), kv_tokens: self.kv_tokens };
        self.correction.record_own(own, now);
    }
}

/// Whether an engine of this role serves this stage of a request.
pub(super) fn serves(role: EngineRole, stage: Stage) -> bool {
    match stage {
        Stage::Prefill => role.serves_prefill(),
        Stage::Decode => role.serves_decode(),
        Stage::Whole => role == EngineRole::Mixed,
    }
}

fn kv_tokens(job: &Job, stage: Stage) -> u32 {
    match stage {
        Stage::Prefill => job.profile.prompt_tokens,
        Stage::Decode | Stage::Whole => job.kv_tokens(),
    }
}
