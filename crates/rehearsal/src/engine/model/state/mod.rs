//! The engine model itself.

mod refusal;
mod stepping;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::{EngineArbiter, EngineReport, Order, OrderAction, OrderReply, Term};
use havengate_core::request::{BLOCK_TOKENS, RequestId};
use havengate_core::time::Timestamp;
use havengate_node::engines::dialect::{CacheEvents, LoadReport};

use super::batch::{Phase, Sequence, Step};
use super::config::{EngineConfigError, EngineModelConfig};
use super::history::{EngineHistory, OrderRecord, RunEnd};
use super::memory::{Holding, KvMemory};
use super::observation::{CacheFeed, LoadSamples};
use super::recent::RecentRequests;
use super::work::{CancelOutcome, EngineOutput, EngineRefusalCode, ExportId, ExportedKv, GenerateWork, OutputEvent};

/// What an engine does right now, exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineUsage {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens not yet read, of waiting and running requests, not counting what is cached.
    pub waiting_prefill_tokens: u32,
    /// Tokens of KV cache that requests and exports hold.
    pub held_kv_tokens: u32,
    /// Tokens of cached prefixes that nobody holds.
    pub idle_kv_tokens: u32,
}

/// Orders waiting requests: higher priority first, then by arrival.
type WaitingKey = (Reverse<u8>, u64);

/// An exported KV cache.
#[derive(Debug)]
struct Export {
    kv: ExportedKv,
    holding: Holding,
    /// When it is dropped.
    until: Timestamp,
    claimed: bool,
}

/// One engine in virtual time.
///
/// Time never goes back: each call's `now` is at least that of the call before. Every call first lets the engine work
/// up to `now`; what it produced is handed out by [`EngineModel::advance`].
#[derive(Debug)]
pub struct EngineModel {
    config: EngineModelConfig,
    arbiter: EngineArbiter,
    is_up: bool,
    life_began: Timestamp,
    change_done: Option<Timestamp>,
    memory: KvMemory,
    waiting: BTreeMap<WaitingKey, GenerateWork>,
    arrivals: u64,
    batch: Vec<Sequence>,
    step: Option<Step>,
    exports: Vec<Export>,
    next_export: u64,
    revoked: RecentRequests,
    started: RecentRequests,
    loads: LoadSamples,
    cache_feed: CacheFeed,
    outputs: Vec<EngineOutput>,
    history: EngineHistory,
}

impl EngineModel {
    /// An engine that has just started, at `now`.
    ///
    /// # Errors
    /// When the settings don't pass [`EngineModelConfig::validate`].
    pub fn new(config: EngineModelConfig, now: Timestamp) -> Result<Self, EngineConfigError> {
        config.validate()?;
        let incarnation = config.incarnation;
        let mut engine = EngineModel {
            arbiter: EngineArbiter::new(first_report(&config, incarnation)),
            is_up: true,
            life_began: now,
            change_done: None,
            memory: KvMemory::new(config.performance.kv_capacity_tokens),
            waiting: BTreeMap::new(),
            arrivals: 0,
            batch: Vec::new(),
            step: None,
            exports: Vec::new(),
            next_export: 0,
            revoked: RecentRequests::new(config.remembered_maximum),
            started: RecentRequests::new(config.remembered_maximum),
            loads: LoadSamples::new(config.load_lag),
            cache_feed: CacheFeed::new(&config, incarnation),
            outputs: Vec::new(),
            history: EngineHistory::new(config.history_maximum),
            config,
        };
        engine.sample_load(now);
        Ok(engine)
    }

    /// The settings.
    pub fn config(&self) -> &EngineModelConfig {
        &self.config
    }

    /// What has run here.
    pub fn history(&self) -> &EngineHistory {
        &self.history
    }

    /// What the engine says of its orders and its role; `None` while it is down.
    pub fn report(&self) -> Option<&EngineReport> {
        self.is_up.then(|| self.arbiter.report())
    }

    /// How long the engine's process has been alive; zero while it is down.
    pub fn alive_for(&self, now: Timestamp) -> Duration {
        if self.is_up { now.since(self.life_began) } else { Duration::ZERO }
    }

    /// What the engine does right now. A real dispatcher sees [`EngineModel::load`] instead.
    pub fn usage(&self) -> EngineUsage {
        let unread = |sequence: &Sequence| match sequence.phase {
            Phase::Reading { left, .. } => left,
            _ => 0,
        };
        EngineUsage {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_prefill_tokens: self.batch.iter().map(unread).sum::<u32>()
                + self.waiting.values().map(unread_prompt).sum::<u32>(),
            held_kv_tokens: self.memory.held_tokens(),
            idle_kv_tokens: self.memory.idle_tokens(),
        }
    }

    /// The load as it was a while ago.
    pub fn load(&mut self, now: Timestamp) -> LoadReport {
        self.work_until(now);
        // An engine at rest makes no samples of its own; without this one its last report would only grow older.
        self.sample_load(now);
        self.loads.read(now)
    }

    /// The cache events after number `after` that can be read by now. A restarted engine counts from 1 again.
    pub fn cache_events(&mut self, after: u64, now: Timestamp) -> CacheEvents {
        self.work_until(now);
        self.cache_feed.read(after, now)
    }

    /// When [`EngineModel::advance`] has something to hand out or to do.
    pub fn next_event(&self) -> Option<Timestamp> {
        if let Some(output) = self.outputs.first() {
            return Some(output.at);
        }
        self.next_internal_event()
    }

    /// Lets the engine work up to `now` and hands out what it has produced, in the order of time.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        self.work_until(now);
        std::mem::take(&mut self.outputs)
    }

    /// Tells whether the engine would take a request.
    ///
    /// # Errors
    /// As [`EngineModel::submit`].
    pub fn check(&mut self, work: &GenerateWork, now: Timestamp) -> Result<(), EngineRefusalCode> {
        self.work_until(now);
        self.refusal(work).map_or(Ok(()), Err)
    }

    /// Hands a request to the engine.
    ///
    /// # Errors
    /// When the engine refuses it: it has not run and, as far as this copy goes, will not.
    pub fn submit(&mut self, mut work: GenerateWork, now: Timestamp) -> Result<(), EngineRefusalCode> {
        self.check(&work, now)?;
        work.blocks.truncate((work.prompt_tokens / BLOCK_TOKENS) as usize);
        self.arrivals += 1;
        self.waiting.insert((Reverse(work.priority), self.arrivals), work);
        self.interrupt(now);
        self.sample_load(now);
        Ok(())
    }

    /// Cancels a request. One that the engine doesn't know will not be started if it comes later.
    pub fn cancel(&mut self, request: RequestId, now: Timestamp) -> CancelOutcome {
        self.work_until(now);
        if !self.is_up {
            return CancelOutcome::NotStarted;
        }
        self.revoked.insert(request);
        self.stop(request, now);
        if self.started.contains(request) { CancelOutcome::Started } else { CancelOutcome::NotStarted }
    }

    /// The caller has hung up: the engine stops the request as in [`EngineModel::cancel`], but would take it again.
    pub fn hang_up(&mut self, request: RequestId, now: Timestamp) {
        self.work_until(now);
        self.stop(request, now);
    }

    /// Hands over an exported KV cache, once. Its memory is freed when the transfer is done.
    pub fn claim_export(&mut self, id: ExportId, now: Timestamp) -> Option<ExportedKv> {
        self.work_until(now);
        let export = self.exports.iter_mut().find(|export| export.kv.id == id && !export.claimed)?;
        export.claimed = true;
        export.until = now + self.config.performance.transfer_time(export.kv.tokens);
        Some(export.kv)
    }

    /// Raises the fence.
    pub fn raise_fence(&mut self, term: Term, now: Timestamp) -> OrderReply {
        self.work_until(now);
        if !self.is_up {
            return OrderReply::Unknown;
        }
        self.arbiter.raise_fence(term)
    }

    /// Gives an order. An accepted one is executed at once, and cuts off what still runs: whoever gives it has to let
    /// the engine drain before.
    pub fn order(&mut self, order: &Order, now: Timestamp) -> OrderReply {
        self.work_until(now);
        if !self.is_up {
            return OrderReply::Unknown;
        }
        let replaced = self.arbiter.report().order;
        let was_executing = self.arbiter.executing().is_some();
        let reply = self.arbiter.order(order);
        if self.arbiter.executing().is_some() && !was_executing {
            let incarnation = self.arbiter.report().incarnation;
            let (id, action) = (order.id, order.action.clone());
            self.history.order(OrderRecord { at: now, incarnation, id, replaced, action });
            self.begin_change(&order.action, now);
        }
        reply
    }

    /// Announces that the engine is about to stop, or takes that back. What waits and runs goes on.
    pub fn set_leaving(&mut self, leaving: bool, now: Timestamp) {
        self.work_until(now);
        self.arbiter.set_leaving(leaving);
    }

    /// The engine's process dies: it loses all but its history.
    pub fn crash(&mut self, now: Timestamp) {
        self.work_until(now);
        self.outputs.clear();
        self.lose_work(RunEnd::Crashed, now);
        self.change_done = None;
        self.is_up = false;
    }

    /// The engine's process starts anew, with the role and the model of its settings and without a fence.
    pub fn restart(&mut self, now: Timestamp) {
        self.crash(now);
        let incarnation = self.arbiter.report().incarnation + 1;
        self.arbiter = EngineArbiter::new(first_report(&self.config, incarnation));
        self.memory = KvMemory::new(self.config.performance.kv_capacity_tokens);
        self.next_export = 0;
        self.revoked = RecentRequests::new(self.config.remembered_maximum);
        self.started = RecentRequests::new(self.config.remembered_maximum);
        self.loads = LoadSamples::new(self.config.load_lag);
        self.cache_feed = CacheFeed::new(&self.config, incarnation);
        self.is_up = true;
        self.life_began = now;
        self.sample_load(now);
    }

    fn stop(&mut self, request: RequestId, now: Timestamp) {
        self.count_done_steps(now);
        while let Some(key) = self.waiting_key(request) {
            self.waiting.remove(&key);
            self.put_out(now, request, OutputEvent::Refused(EngineRefusalCode::Revoked));
        }
        while let Some(position) = self.batch.iter().position(|sequence| sequence.work.request == request) {
            let sequence = self.batch.remove(position);
            self.put_out(now, request, OutputEvent::Cancelled);
            self.end_run(sequence, RunEnd::Cancelled, now);
            self.interrupt(now);
        }
    }

    fn waiting_key(&self, request: RequestId) -> Option<WaitingKey> {
        self.waiting.iter().find(|(_, work)| work.request == request).map(|(key, _)| *key)
    }

    fn begin_change(&mut self, action: &OrderAction, now: Timestamp) {
        for work in std::mem::take(&mut self.waiting).into_values() {
            self.put_out(now, work.request, OutputEvent::Refused(EngineRefusalCode::Changing));
        }
        let running: Vec<RequestId> = self.batch.iter().map(|sequence| sequence.work.request).collect();
        for request in running {
            self.put_out(now, request, OutputEvent::Cut);
        }
        self.lose_work(RunEnd::CutByOrder, now);
        self.report_cache_change(now);
        self.change_done = Some(now + self.change_time(action));
        self.sample_load(now);
    }

    fn change_time(&self, action: &OrderAction) -> Duration {
        match action {
            OrderAction::SetRole(_) => self.config.performance.role_change,
            OrderAction::Load { .. } => self.config.load_time,
        }
    }

    /// Drops all work and all KV memory.
    fn lose_work(&mut self, end: RunEnd, now: Timestamp) {
        self.count_done_steps(now);
        self.waiting.clear();
        for sequence in std::mem::take(&mut self.batch) {
            self.end_run(sequence, end, now);
        }
        self.exports.clear();
        self.step = None;
        self.memory.clear();
    }

    fn put_out(&mut self, at: Timestamp, request: RequestId, event: OutputEvent) {
        self.outputs.push(EngineOutput { at, request, event });
    }

    fn report_cache_change(&mut self, now: Timestamp) {
        if let Some(change) = self.memory.take_change() {
            self.cache_feed.add(now, change);
        }
    }

    fn sample_load(&mut self, now: Timestamp) {
        if !self.loads.is_due(now) {
            return;
        }
        let usage = self.usage();
        let load = LoadReport {
            age_ms: 0,
            running: usage.running,
            waiting: usage.waiting,
            waiting_prefill_tokens: usage.waiting_prefill_tokens,
            used_kv_tokens: usage.held_kv_tokens,
        };
        self.loads.add(now, load);
    }
}

fn first_report(config: &EngineModelConfig, incarnation: u64) -> EngineReport {
    EngineReport {
        fence: Term::default(),
        order: None,
        role: config.role,
        model: config.model.clone(),
        version: config.version,
        adapter: config.adapter.clone(),
        changing: false,
        leaving: false,
        incarnation,
    }
}

fn unread_prompt(work: &GenerateWork) -> u32 {
    work.context_tokens().saturating_sub(work.import.map_or(0, |import| import.tokens))
}
