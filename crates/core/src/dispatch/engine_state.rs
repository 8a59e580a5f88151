//! What a dispatcher knows of one engine: what it has placed there, and what that leaves room for.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::config::DispatchConfig;
use super::event::{EngineAvailability, EngineSlot, ReportedLoad};
use super::health::EngineHealth;
use super::job::Job;
use super::load_correction::{ForeignLoad, LoadCorrection, OwnLoad};
use super::prefill_backlog::PrefillBacklog;
use super::prefix_index::PrefixIndex;
use crate::policy::{EngineView, Stage};
use crate::request::RequestId;
use crate::time::Timestamp;
use crate::world::EngineRole;

/// The clock of an engine's report may be off by this much besides the link.
const REPORT_UNCERTAINTY: Duration = Duration::from_millis(50);

/// The part of a request that runs on one engine.
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
    /// How long the stream may still stand still before it breaks its contract's token interval; `None` when that has
    /// happened, so that there is nothing left to protect.
    fn slack(&self, step_time: Duration, output_counted_on: f64, now: Timestamp) -> Option<Duration> {
        let tokens_left = self.max_output_tokens.saturating_sub(self.generated);
        let to_come = (f64::from(tokens_left) * output_counted_on) as u32;
        let allowed = self.token_interval.saturating_mul((self.generated + to_come).max(1));
        let taken = self.generating_since.map_or(Duration::ZERO, |since| now.since(since));
        allowed.checked_sub(taken.saturating_add(step_time.saturating_mul(to_come)))
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
    /// The interference slack at a time; asked for once for each waiting request, and costly.
    known_slack: Cell<Option<(Timestamp, Duration)>>,
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
            known_slack: Cell::new(None),
        }
    }

    /// Takes over what control says of the engine. An engine that can't serve loses its cache.
    pub(super) fn set_slot(&mut self, slot: EngineSlot) {
        if slot.availability == EngineAvailability::Unavailable {
            self.prefixes.forget_all();
        }
        self.slot = slot;
    }

    pub(super) fn in_flight(&self) -> usize {
        self.tasks.len()
    }

    /// Whether it counts as capacity for `stage`: it takes new work, has the role and isn't ejected.
    pub(super) fn is_capacity(&self, stage: Stage) -> bool {
        self.slot.availability == EngineAvailability::Serving
            && serves(self.slot.role, stage)
            && self.health.is_admitted()
    }

    /// Whether it may be given this part of the request now.
    pub(super) fn takes(&self, job: &Job, stage: Stage, now: Timestamp) -> bool {
        self.slot.availability == EngineAvailability::Serving
            && serves(self.slot.role, stage)
            && self.health.admits(job.terms.repeatable, now)
            && !job.failed_at.contains(&self.slot.name)
            && self.has_batch_room(job, stage, now)
            && self.has_memory_room(job, stage, now)
            && (stage == Stage::Decode || self.wait(now) <= self.wait_maximum())
            && (stage == Stage::Decode || self.read_time(job) <= self.interference_slack(now))
    }

    /// Whether it could be given any prompt at all now: cheaper to tell than whether it takes a certain request.
    pub(super) fn may_read(&self, now: Timestamp) -> bool {
        self.slot.availability == EngineAvailability::Serving
            && self.slot.role.serves_prefill()
            && self.health.admits(true, now)
            && self.free_places(now) > 0
            && self.wait(now) <= self.wait_maximum()
    }

    /// Whether it would be given a request that needs nearly nothing: what it refuses then is refused for its size.
    pub(super) fn takes_small_work(&self, stage: Stage, now: Timestamp) -> bool {
        let has_time = stage == Stage::Decode || self.wait(now) <= self.wait_maximum();
        self.is_capacity(stage) && self.free_places(now) > 0 && has_time
    }

    /// Whether it reads a prompt of more than `tokens`, so that a short one placed there would wait behind it.
    pub(super) fn reads_longer_than(&self, tokens: u32) -> bool {
        self.backlog.has_longer_than(tokens)
    }

    /// Requests that could still be added to the batch.
    pub(super) fn free_places(&self, now: Timestamp) -> u32 {
        let used = self.requests().saturating_add(self.foreign(now).requests);
        self.slot.performance.batch_maximum.saturating_sub(used)
    }

    /// Predicted time until it starts to read a prompt that is placed on it now.
    pub(super) fn wait(&self, now: Timestamp) -> Duration {
        self.backlog.wait(now)
    }

    /// When its wait falls so far that it is given another prompt.
    pub(super) fn next_room(&self) -> Option<Timestamp> {
        let reads = self.is_capacity(Stage::Prefill) && !self.backlog.is_empty();
        reads.then(|| self.backlog.falls_to(self.wait_maximum()))
    }

    /// Prompt tokens read a second, next to the generation that goes on there.
    pub(super) fn read_rate(&self, piece_tokens: u32) -> f64 {
        let rate = self.slot.performance.prefill_tokens_per_second / self.backlog.pace();
        let piece = f64::from(piece_tokens) / rate;
        let decoding = self.decoding();
        if decoding == 0 {
            return rate;
        }
        let step = self.slot.performance.step_time_of(decoding).as_secs_f64();
        rate * piece / (piece + step)
    }

    pub(super) fn view(&self, job: &Job, now: Timestamp) -> EngineView {
        let foreign = self.foreign(now);
        let cached = self.prefixes.cached_tokens(&job.profile.blocks).min(job.profile.prompt_tokens);
        EngineView {
            name: self.slot.name.clone(),
            role: self.slot.role,
            running: self.requests().saturating_add(foreign.requests),
            decoding: self.decoding(),
            waiting_prefill_tokens: self.backlog.tokens(now),
            prefill_wait: self.wait(now),
            interference_slack: self.interference_slack(now),
            reserved_kv_tokens: self.kv_tokens.saturating_add(foreign.kv_tokens),
            cached_prefix_tokens: cached,
            link_latency: self.slot.link_latency,
            performance: self.slot.performance,
        }
    }

    pub(super) fn start(&mut self, job: &Job, stage: Stage, now: Timestamp) {
        self.known_slack.set(None);
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
            let read_time = self.slot.performance.read_time(uncached_tokens);
            self.backlog.push(job.profile.id, uncached_tokens, read_time, now);
            self.prefixes.insert(&job.profile.blocks);
        }
        self.tasks.insert(job.profile.id, task);
        self.record_own(now);
    }

    /// Notes that the prompt of a request has been read here.
    pub(super) fn finish_reading(&mut self, request: RequestId, now: Timestamp) {
        self.known_slack.set(None);
        self.backlog.finish(request, now);
    }

    pub(super) fn first_token(&mut self, request: RequestId, now: Timestamp) {
        self.known_slack.set(None);
        self.backlog.finish(request, now);
        if let Some(task) = self.tasks.get_mut(&request) {
            task.generating_since = Some(now);
        }
    }

    pub(super) fn progress(&mut self, request: RequestId, tokens: u32) {
        self.known_slack.set(None);
        if let Some(task) = self.tasks.get_mut(&request) {
            task.generated = task.generated.saturating_add(tokens);
        }
    }

    /// Removes a request from the engine's load.
    pub(super) fn end(&mut self, request: RequestId, now: Timestamp) {
        self.known_slack.set(None);
        let Some(task) = self.tasks.remove(&request) else { return };
        self.kv_tokens = self.kv_tokens.saturating_sub(task.kv_tokens);
        self.backlog.drop_request(request, now);
        self.record_own(now);
    }

    /// Corrects the own knowledge by a late report: work of others, and prompts that are read faster or slower than
    /// predicted.
    pub(super) fn record_report(&mut self, report: &ReportedLoad, now: Timestamp) {
        self.known_slack.set(None);
        let uncertainty = REPORT_UNCERTAINTY + self.slot.link_latency;
        self.correction.record_report(report, uncertainty, now);
        let arrived_later = |task: &&Task| task.placed_at + self.slot.link_latency > now - report.age;
        let later: u32 = self.tasks.values().filter(arrived_later).map(|task| task.uncached_tokens).sum();
        let unread = report.waiting_prefill_tokens.saturating_add(later);
        self.backlog.correct(self.slot.performance.read_time(unread), report.age, now);
    }

    fn has_batch_room(&self, job: &Job, stage: Stage, now: Timestamp) -> bool {
        if self.free_places(now) == 0 {
            return false;
        }
        let generating = self.tasks.values().filter(|task| task.stage != Stage::Prefill);
        let shortest = generating.clone().map(|task| task.token_interval).min();
        let (Some(shortest), true) = (shortest, stage != Stage::Prefill) else { return true };
        let requests = u32::try_from(generating.count()).unwrap_or(u32::MAX).saturating_add(1);
        self.slot.performance.step_time_of(requests) <= shortest.min(job.terms.token_interval)
    }

    fn has_memory_room(&self, job: &Job, stage: Stage, now: Timestamp) -> bool {
        let used = self.kv_tokens.saturating_add(self.foreign(now).kv_tokens);
        used.saturating_add(kv_tokens(job, stage)) <= self.slot.performance.kv_capacity_tokens
    }

    fn wait_maximum(&self) -> Duration {
        self.slot.performance.read_time(self.backlog_maximum)
    }

    /// How long another prompt may take to read before it breaks the token interval of a stream that runs here, or
    /// will run once its prompt has been read. Prompts that wait already hold up the streams before them.
    fn interference_slack(&self, now: Timestamp) -> Duration {
        match self.known_slack.get() {
            Some((at, slack)) if at == now => slack,
            _ => {
                let slack = self.predict_interference_slack(now);
                self.known_slack.set(Some((now, slack)));
                slack
            }
        }
    }

    fn predict_interference_slack(&self, now: Timestamp) -> Duration {
        let step_time = self.slot.performance.step_time_of(self.decoding() + 1);
        let slack_left = |(request, task): (&RequestId, &Task)| {
            let held_up = self.backlog.read_after(*request).unwrap_or_else(|| self.wait(now));
            Some(task.slack(step_time, self.output_counted_on, now)?.saturating_sub(held_up))
        };
        let streams = self.tasks.iter().filter(|(_, task)| task.stage != Stage::Prefill);
        streams.filter_map(slack_left).min().unwrap_or(Duration::MAX)
    }

    fn read_time(&self, job: &Job) -> Duration {
        let cached = self.prefixes.cached_tokens(&job.profile.blocks);
        self.slot.performance.read_time(job.profile.prompt_tokens.saturating_sub(cached))
    }

    fn requests(&self) -> u32 {
        u32::try_from(self.tasks.len()).unwrap_or(u32::MAX)
    }

    fn decoding(&self) -> u32 {
        let decoding = self.tasks.values().filter(|task| task.generating_since.is_some()).count();
        u32::try_from(decoding).unwrap_or(u32::MAX)
    }

    fn foreign(&self, now: Timestamp) -> ForeignLoad {
        self.correction.foreign(self.report_lifetime, now)
    }

    fn record_own(&mut self, now: Timestamp) {
        let own = OwnLoad { requests: self.requests(), kv_tokens: self.kv_tokens };
        self.correction.record_own(own, now);
    }
}

/// Whether an engine of this role takes this part of a request.
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
