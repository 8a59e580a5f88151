//! The engines of a pool, and the choice of those that take a request.

use std::collections::BTreeMap;
use std::time::Duration;

use super::config::DispatchConfig;
use super::engine_state::EngineState;
use super::event::{EngineAvailability, EngineSlot, Placement};
use super::job::Job;
use crate::policy::{EngineView, PlacementPolicy, Stage};
use crate::request::{RequestId, RequestProfile};
use crate::time::Timestamp;
use crate::world::{EngineName, EngineRole};

/// What has to be read of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Reading {
    pub(super) time: Duration,
    pub(super) tokens: u32,
}

/// The engines of a pool.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    engines: BTreeMap<EngineName, EngineState>,
}

impl Fleet {
    /// Replaces the engines. One that is gone is kept without new work until its requests have ended.
    pub(super) fn set_slots(&mut self, slots: Vec<EngineSlot>, config: &DispatchConfig) {
        for engine in self.engines.values_mut() {
            let gone = EngineSlot { availability: EngineAvailability::Unavailable, ..engine.slot.clone() };
            if !slots.iter().any(|slot| slot.name == gone.name) {
                engine.set_slot(gone);
            }
        }
        self.engines.retain(|name, engine| engine.in_flight() > 0 || slots.iter().any(|slot| slot.name == *name));
        for slot in slots {
            match self.engines.get_mut(&slot.name) {
                Some(engine) => engine.set_slot(slot),
                None => {
                    self.engines.insert(slot.name.clone(), EngineState::new(slot, config));
                }
            }
        }
    }

    pub(super) fn get(&self, engine: &EngineName) -> Option<&EngineState> {
        self.engines.get(engine)
    }

    pub(super) fn get_mut(&mut self, engine: &EngineName) -> Option<&mut EngineState> {
        self.engines.get_mut(engine)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Engines that take new work.
    pub(super) fn serving_engines(&self) -> u16 {
        let serving = self.engines.values().filter(|engine| engine.slot.availability == EngineAvailability::Serving);
        u16::try_from(serving.count()).unwrap_or(u16::MAX)
    }

    /// Whether an engine that generates is left for a request that these have failed.
    pub(super) fn has_engine_besides(&self, failed_at: &[EngineName]) -> bool {
        self.capacity(Stage::Decode).any(|engine| !failed_at.contains(&engine.slot.name))
    }

    /// Whether any engine could be given a prompt now; without one, nothing can be started.
    pub(super) fn may_read(&self, now: Timestamp) -> bool {
        self.engines.values().any(|engine| engine.may_read(now))
    }

    /// Whether any engine could ever hold the request's KV cache.
    pub(super) fn could_hold(&self, job: &Job) -> bool {
        self.engines.values().any(|engine| job.kv_tokens() <= engine.slot.performance.kv_capacity_tokens)
    }

    /// The engines that count as capacity for a stage.
    pub(super) fn capacity(&self, stage: Stage) -> impl Iterator<Item = &EngineState> {
        self.engines.values().filter(move |engine| engine.is_capacity(stage))
    }

    /// The least that has to be read of the prompt, on the engine that is believed to have most of it cached.
    pub(super) fn shortest_reading(&self, profile: &RequestProfile) -> Reading {
        let reading = |engine: &EngineState| {
            let cached = engine.prefixes.cached_tokens(&profile.blocks);
            let tokens = profile.prompt_tokens.saturating_sub(cached);
            Reading { time: engine.slot.performance.read_time(tokens), tokens }
        };
        let unknown = Reading { time: Duration::ZERO, tokens: profile.prompt_tokens };
        self.engines.values().map(reading).min().unwrap_or(unknown)
    }

    /// Engine time to generate the whole answer, as a share of a full batch.
    pub(super) fn generation_time(&self, profile: &RequestProfile) -> Duration {
        let time = |engine: &EngineState| engine.slot.performance.generation_time(profile.max_output_tokens);
        self.engines.values().map(time).min().unwrap_or_default()
    }

    /// When something that is only predicted, not reported, makes room: a backlog falls or a probe is due.
    pub(super) fn next_room_after(&self, now: Timestamp) -> Option<Timestamp> {
        let times = |engine: &EngineState| engine.health.probe_times().into_iter().flatten().chain(engine.next_room());
        self.engines.values().flat_map(times).filter(|at| *at > now).min()
    }

    /// Chooses where the job runs, if an engine has room for it and is predicted to meet its deadline.
    pub(super) fn choose(
        &self,
        job: &Job,
        config: &DispatchConfig,
        policy: &mut dyn PlacementPolicy,
        limits: &PlacementLimits,
        now: Timestamp,
    ) -> Option<Placement> {
        let due = job.due() - job.first_token_within().mul_f64(config.deadline_reserve);
        let piece_tokens = config.piece_tokens;
        let is_long = self.shortest_reading(&job.profile).tokens > piece_tokens;
        let search = Search { fleet: self, job, is_long, limits, piece_tokens, due, now };
        if is_long {
            return search.split(policy).or_else(|| search.whole(policy));
        }
        if search.split_is_faster() {
            return search.split(policy).or_else(|| search.whole(policy));
        }
        search.whole(policy).or_else(|| search.split(policy))
    }

    /// The engine to reserve for a job that is too large for what room there is, so that smaller ones don't take every
    /// bit of room before there is enough of it. The engine with the fewest requests is empty soonest.
    pub(super) fn engine_to_reserve(&self, job: &Job, now: Timestamp) -> Option<EngineName> {
        let stage = if self.capacity(Stage::Whole).next().is_some() { Stage::Whole } else { Stage::Decode };
        let refused_for_size =
            |engine: &&EngineState| engine.takes_small_work(stage, now) && !job.failed_at.contains(&engine.slot.name);
        let could_hold = |engine: &&EngineState| job.kv_tokens() <= engine.slot.performance.kv_capacity_tokens;
        let engines = self.engines.values().filter(refused_for_size).filter(could_hold);
        engines.min_by_key(|engine| engine.in_flight()).map(|engine| engine.slot.name.clone())
    }

    /// Notes that a request starts.
    pub(super) fn start(&mut self, job: &Job, placement: &Placement, now: Timestamp) {
        let generation = if placement.prefill.is_some() { Stage::Decode } else { Stage::Whole };
        if let Some(engine) = placement.prefill.as_ref().and_then(|prefill| self.engines.get_mut(prefill)) {
            engine.start(job, Stage::Prefill, now);
        }
        if let Some(engine) = self.engines.get_mut(&placement.decode) {
            engine.start(job, generation, now);
        }
    }

    /// Notes that the prompt has been read and its KV cache has been moved: the prefill engine is done with it.
    pub(super) fn first_token(&mut self, request: RequestId, placement: &Placement, now: Timestamp) {
        if let Some(engine) = placement.prefill.as_ref().and_then(|prefill| self.engines.get_mut(prefill)) {
            engine.finish_reading(request, now);
            engine.end(request, now);
        }
        if let Some(engine) = self.engines.get_mut(&placement.decode) {
            engine.first_token(request, now);
        }
    }

    /// Notes that a request runs nowhere any longer.
    pub(super) fn end(&mut self, request: RequestId, placement: &Placement, now: Timestamp) {
        for name in placement.engines() {
            if let Some(engine) = self.engines.get_mut(name) {
                engine.end(request, now);
            }
        }
    }

    fn serving(&self, role: EngineRole) -> bool {
        let serves =
            |engine: &EngineState| engine.slot.role == role && engine.slot.availability == EngineAvailability::Serving;
        self.engines.values().any(serves)
    }
}

/// An engine that is kept free of other work until a request that needs much room has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) request: RequestId,
    pub(super) engine: EngineName,
}

/// What a placement has to leave room for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PlacementLimits {
    /// The engine that is kept for one request.
    pub(super) reservation: Option<Reservation>,
    /// Engines that must stay free of long prompts, so that short ones needn't wait behind them.
    pub(super) readers_for_short: usize,
}

/// The search for a placement of one job.
struct Search<'a> {
    fleet: &'a Fleet,
    job: &'a Job,
    /// Whether reading the prompt takes more than one piece, wherever it is read.
    is_long: bool,
    limits: &'a PlacementLimits,
    piece_tokens: u32,
    /// When the first token has to come, less the reserve.
    due: Timestamp,
    now: Timestamp,
}

impl Search<'_> {
    fn whole(&self, policy: &mut dyn PlacementPolicy) -> Option<Placement> {
        let candidates = self.candidates(Stage::Whole);
        let chosen = policy.choose(&self.job.profile, Stage::Whole, &candidates, self.now)?;
        Some(Placement { prefill: None, decode: candidates.get(chosen)?.name.clone() })
    }

    fn split(&self, policy: &mut dyn PlacementPolicy) -> Option<Placement> {
        let readers = self.readers();
        let mut generators = self.candidates(Stage::Decode);
        if readers.is_empty() || generators.is_empty() {
            return None;
        }
        let reader = readers.get(policy.choose(&self.job.profile, Stage::Prefill, &readers, self.now)?)?;
        generators.retain(|generator| generator.name != reader.name);
        let generator = policy.choose(&self.job.profile, Stage::Decode, &generators, self.now)?;
        let decode = generators.get(generator)?.name.clone();
        Some(Placement { prefill: Some(reader.name.clone()), decode })
    }

    /// Engines that could read the prompt for another one: prefill engines, or mixed ones when only they can feed the
    /// decode engines.
    fn readers(&self) -> Vec<EngineView> {
        let has_prefill_engine = self.fleet.serving(EngineRole::Prefill);
        if !has_prefill_engine && !self.fleet.serving(EngineRole::Decode) {
            return Vec::new();
        }
        let mut readers = self.candidates(Stage::Prefill);
        readers.retain(|reader| !has_prefill_engine || reader.role == EngineRole::Prefill);
        readers
    }

    /// Whether the first token is predicted to come sooner with the prompt read elsewhere than on any one engine.
    fn split_is_faster(&self) -> bool {
        let Some(split) = self.soonest(&self.readers(), Stage::Prefill) else { return false };
        let Some(whole) = self.soonest(&self.candidates(Stage::Whole), Stage::Whole) else { return true };
        split + self.transfer_time() < whole
    }

    fn soonest(&self, views: &[EngineView], stage: Stage) -> Option<Duration> {
        views.iter().map(|view| view.time_to_first_token(&self.job.profile, stage)).min()
    }

    fn transfer_time(&self) -> Duration {
        let transfer = |engine: &EngineState| engine.slot.performance.transfer_time(self.job.profile.prompt_tokens);
        self.fleet.engines.values().map(transfer).max().unwrap_or_default()
    }

    /// Whether enough engines stay free of long prompts when one more engine gets one. A pool with a single reader has
    /// no choice.
    fn leaves_readers_for_short(&self) -> bool {
        let readers = self.fleet.capacity(Stage::Prefill).count();
        let reads_long = |engine: &&EngineState| engine.reads_longer_than(self.piece_tokens);
        let reading_long = self.fleet.capacity(Stage::Prefill).filter(reads_long).count();
        reading_long == 0 || reading_long + 1 + self.limits.readers_for_short <= readers
    }

    fn is_reserved_for_another(&self, engine: &EngineName) -> bool {
        self.limits
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.engine == *engine && reservation.request != self.job.profile.id)
    }

    /// The engines that have room for this stage and are predicted to meet the deadline.
    fn candidates(&self, stage: Stage) -> Vec<EngineView> {
        let has_room = self.fleet.engines.values().filter(|engine| engine.takes(self.job, stage, self.now));
        let has_room = has_room.filter(|engine| !self.is_reserved_for_another(&engine.slot.name));
        let leaves_readers = stage == Stage::Decode || !self.is_long || self.leaves_readers_for_short();
        let has_room = has_room.filter(|engine| leaves_readers || engine.reads_longer_than(self.piece_tokens));
        let mut views: Vec<EngineView> = has_room.map(|engine| engine.view(self.job, self.now)).collect();
        let transfer_time = if stage == Stage::Prefill { self.transfer_time() } else { Duration::ZERO };
        views.retain(|view| self.now + view.time_to_first_token(&self.job.profile, stage) + transfer_time <= self.due);
        views
    }
}
