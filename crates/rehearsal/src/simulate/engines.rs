//! Engines: the model of each, and what its dispatcher and its control ask of it.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::authority::OrderReply;
use havengate_core::configuration::Configuration;
use havengate_core::dispatch::{EngineEvent, ReportedLoad};
use havengate_core::request::{AnswerPiece, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::world::{Engine, EngineName, ZoneName};
use havengate_node::engines::dialect::{CacheEvents, LoadReport};

use super::attempt::{AttemptToken, AttemptUpdate, KvExport};
use super::error::SimulationError;
use super::event::{ControlReply, EngineCall, EngineIndex, Event, PoolIndex};
use super::plan::SimulationPlan;
use super::pool::ReportedWork;
use super::world::World;
use crate::engine::model::{EngineModel, EngineModelConfig, EngineOutput, GenerateWork, OutputEvent};

/// Time between two questions to an engine, as on a node.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// How long control waits for an engine that does not answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// One engine.
pub(super) struct EngineSite {
    pub(super) name: EngineName,
    pub(super) zone: ZoneName,
    pub(super) pool: PoolIndex,
    pub(super) model: EngineModel,
    /// What it waits for or runs, and for whom.
    pub(super) work: BTreeMap<RequestId, (PoolIndex, AttemptToken)>,
    /// Work that it has taken, for the checker.
    pub(super) taken: Vec<TakenWork>,
    /// Calls that wait while the engine is paused; `None` while it is not.
    pub(super) held: Option<Vec<EngineCall>>,
    cache_events_seen: u64,
    timer: Option<Timestamp>,
}

/// Work that an engine has taken into its queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakenWork {
    pub(super) at: Timestamp,
}

/// The engines of the deployment.
pub(super) fn engine_sites(
    plan: &SimulationPlan,
    configuration: &Configuration,
    random: &mut Rng,
) -> Result<Vec<EngineSite>, SimulationError> {
    let pools = configuration.pools();
    let pool_of = |engine: &Engine| pools.iter().position(|pool| pool.engines.contains(&engine.name));
    let engines = configuration.engines.iter().filter_map(|engine| Some((engine, PoolIndex(pool_of(engine)?))));
    engines.map(|(engine, pool)| engine_site(plan, configuration, engine, pool, random.u64(..))).collect()
}

fn engine_site(
    plan: &SimulationPlan,
    configuration: &Configuration,
    engine: &Engine,
    pool: PoolIndex,
    seed: u64,
) -> Result<EngineSite, SimulationError> {
    let model = configuration.models.iter().find(|model| model.name == engine.model);
    let (version, performance) = model.map(|model| (model.version, model.performance)).unwrap_or_default();
    let options = &plan.deployment.engines;
    let config = EngineModelConfig {
        piece_tokens: plan.piece_tokens,
        load_time: options.model_load,
        load_lag: options.load_report_lag,
        cache_event_lag: options.cache_event_delay,
        cache_event_loss: options.cache_event_loss,
        seed,
        ..EngineModelConfig::for_engine(engine, version, performance)
    };
    let wrong = |error| SimulationError::Engine { model: engine.model.clone(), error };
    Ok(EngineSite {
        name: engine.name.clone(),
        zone: engine.zone.clone(),
        pool,
        model: EngineModel::new(config, Timestamp::ZERO).map_err(wrong)?,
        work: BTreeMap::new(),
        taken: Vec::new(),
        held: None,
        cache_events_seen: 0,
        timer: None,
    })
}

impl World<'_> {
    /// A call has reached an engine.
    pub(super) fn engine_call(&mut self, engine: EngineIndex, call: EngineCall) {
        if self.engines[engine.0].held.is_some() {
            return self.hold_call(engine, call);
        }
        let now = self.queue.now();
        match call {
            EngineCall::Run { pool, token, work, import } => self.run_work(engine, pool, token, *work, import),
            EngineCall::Cancel(request) => {
                self.engines[engine.0].model.cancel(request, now);
            }
            EngineCall::RaiseFence { pool, term } => {
                let reply = self.engines[engine.0].model.raise_fence(term, now);
                self.reply_to_control(engine, pool, ControlReply::Fence(reply));
            }
            EngineCall::Order { pool, order } => {
                let reply = self.engines[engine.0].model.order(&order, now);
                self.reply_to_control(engine, pool, ControlReply::Order(reply));
            }
            EngineCall::Query { pool } => {
                self.hand_out(engine);
                let report = self.engines[engine.0].model.report().cloned();
                let reply = report.map_or(OrderReply::Unknown, OrderReply::Accepted);
                self.reply_to_control(engine, pool, ControlReply::Order(reply));
            }
        }
        self.hand_out(engine);
    }

    /// A paused engine takes calls in later; control gives up waiting, and its call is lost.
    fn hold_call(&mut self, engine: EngineIndex, call: EngineCall) {
        let (pool, reply) = match call {
            EngineCall::RaiseFence { pool, .. } => (pool, ControlReply::Fence(OrderReply::Unknown)),
            EngineCall::Order { pool, .. } | EngineCall::Query { pool } => {
                (pool, ControlReply::Order(OrderReply::Unknown))
            }
            call => {
                self.engines[engine.0].held.get_or_insert_default().push(call);
                return;
            }
        };
        self.queue.after(CONTROL_TIMEOUT, Event::ControlReply { pool, engine, reply });
    }

    fn run_work(
        &mut self,
        engine: EngineIndex,
        pool: PoolIndex,
        token: AttemptToken,
        mut work: GenerateWork,
        import: Option<KvExport>,
    ) {
        let now = self.queue.now();
        let request = work.request;
        let imported = match import {
            Some(export) => self.claim(export, now),
            None => None,
        };
        work.import = imported;
        let lost = import.is_some() && imported.is_none();
        let site = &mut self.engines[engine.0];
        if lost || site.model.submit(work, now).is_err() {
            return self.tell_dispatcher(engine, pool, request, token, AttemptUpdate::Refused);
        }
        site.work.insert(request, (pool, token));
        site.taken.push(TakenWork { at: now });
    }

    /// Fetches a KV cache from the engine that holds it, if that is still the same process.
    fn claim(&mut self, export: KvExport, now: Timestamp) -> Option<crate::engine::model::ImportedKv> {
        let holder = &mut self.engines[export.engine.0];
        let alive = holder.model.report().is_some_and(|report| report.incarnation == export.incarnation);
        if !alive || holder.held.is_some() {
            return None;
        }
        let kv = holder.model.claim_export(export.kv.id, now)?;
        self.hand_out(export.engine);
        Some(crate::engine::model::ImportedKv { tokens: kv.tokens })
    }

    pub(super) fn engine_timer(&mut self, engine: EngineIndex) {
        let site = &mut self.engines[engine.0];
        if site.timer.is_some_and(|at| at <= self.queue.now()) {
            site.timer = None;
            self.hand_out(engine);
        }
    }

    /// Passes on what the engine has produced, and makes sure that it is looked at again in time.
    pub(super) fn hand_out(&mut self, engine: EngineIndex) {
        let now = self.queue.now();
        if self.engines[engine.0].held.is_some() {
            return;
        }
        for output in self.engines[engine.0].model.advance(now) {
            self.output(engine, output);
        }
        let site = &mut self.engines[engine.0];
        if let Some(at) = site.model.next_event().filter(|at| site.timer.is_none_or(|timer| *at < timer)) {
            site.timer = Some(at);
            self.queue.at(at, Event::EngineTimer(engine));
        }
    }

    fn output(&mut self, engine: EngineIndex, output: EngineOutput) {
        let request = output.request;
        let site = &mut self.engines[engine.0];
        let Some(&(pool, token)) = site.work.get(&request) else { return };
        if output.event.is_last() {
            site.work.remove(&request);
        }
        let incarnation = site.model.report().map_or(0, |report| report.incarnation);
        let update = match output.event {
            OutputEvent::Started => return,
            OutputEvent::Refused(_) => AttemptUpdate::Refused,
            OutputEvent::PrefillDone(kv) => AttemptUpdate::PromptRead(KvExport { engine, incarnation, kv }),
            OutputEvent::Cancelled | OutputEvent::Cut => AttemptUpdate::Lost,
            OutputEvent::Tokens { first_token, tokens, finish } => {
                AttemptUpdate::Piece(AnswerPiece { request, first_token, tokens, text: String::new(), finish })
            }
        };
        self.tell_dispatcher(engine, pool, request, token, update);
    }

    pub(super) fn tell_dispatcher(
        &mut self,
        engine: EngineIndex,
        pool: PoolIndex,
        request: RequestId,
        token: AttemptToken,
        update: AttemptUpdate,
    ) {
        let latency = self.latency(&self.engines[engine.0].zone, &self.pools[pool.0].zone);
        self.queue.after(latency, Event::AttemptUpdate { pool, request, token, update });
    }

    fn reply_to_control(&mut self, engine: EngineIndex, pool: PoolIndex, reply: ControlReply) {
        let latency = self.latency(&self.engines[engine.0].zone, &self.pools[pool.0].zone);
        self.queue.after(latency, Event::ControlReply { pool, engine, reply });
    }

    /// Asks an engine for its load and cache events. The answer comes later by what a fault adds to the lag.
    pub(super) fn watch_engine(&mut self, engine: EngineIndex) {
        self.queue.after(ASK_EVERY, Event::WatchEngine(engine));
        let now = self.queue.now();
        let extra = self.faults.load_lag.saturating_sub(self.plan.deployment.engines.load_report_lag);
        let site = &mut self.engines[engine.0];
        if site.model.report().is_none() || site.held.is_some() {
            return;
        }
        let load = reported(&site.model.load(now), extra);
        let cache = site.model.cache_events(site.cache_events_seen, now);
        let pool = site.pool;
        self.hand_out(engine);
        let latency = self.latency(&self.engines[engine.0].zone, &self.pools[pool.0].zone);
        self.queue.after(latency + extra, Event::EngineSeen { engine, load, cache });
    }

    /// What an engine says of itself has reached the dispatcher.
    pub(super) fn engine_seen(&mut self, engine: EngineIndex, load: ReportedLoad, cache: CacheEvents) {
        let now = self.queue.now();
        let site = &mut self.engines[engine.0];
        let (name, pool) = (site.name.clone(), site.pool);
        let after = std::mem::replace(&mut site.cache_events_seen, cache.next);
        let dispatcher = &mut self.pools[pool.0].dispatcher;
        let mut step = |event| dispatcher.step(event, now);
        step(EngineEvent::Load { engine: name.clone(), load });
        let mut expected = after + 1;
        if cache.next < after {
            step(EngineEvent::CacheGap { engine: name.clone() });
            expected = 1;
        }
        for event in cache.events {
            if event.sequence > expected {
                step(EngineEvent::CacheGap { engine: name.clone() });
            }
            expected = event.sequence + 1;
            step(EngineEvent::CacheStored { engine: name.clone(), blocks: event.stored });
            step(EngineEvent::CacheRemoved { engine: name.clone(), blocks: event.removed });
        }
        let work = ReportedWork { requests: load.requests, at: now - load.age };
        self.pools[pool.0].reports.insert(name, work);
        self.poll_pool(pool);
    }
}

fn reported(report: &LoadReport, extra: Duration) -> ReportedLoad {
    ReportedLoad {
        age: Duration::from_millis(report.age_ms) + extra,
        requests: report.running.saturating_add(report.waiting),
        waiting_prefill_tokens: report.waiting_prefill_tokens,
        used_kv_tokens: report.used_kv_tokens,
    }
}
