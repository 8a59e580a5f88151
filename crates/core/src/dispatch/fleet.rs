//! The engines of a pool, and the choice of engines for a request.

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

/// The uncached part of a prompt, which an engine has to prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PrefillWork {
    pub(super) time: Duration,
    pub(super) tokens: u32,
}

/// The engines of a pool.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    engines: BTreeMap<EngineName, EngineState>,
}

impl Fleet {
    /// Replaces the engines. A removed engine gets no new work and is kept until its requests have ended.
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

    /// The number of engines that accept new work.
    pub(super) fn serving_engines(&self) -> u16 {
        let serving = self.engines.values().filter(|engine| engine.slot.availability == EngineAvailability::Serving);
        u16::try_from(serving.count()).unwrap_or(u16::MAX)
    }

    /// Whether an engine for decoding is left for a request that has failed on the engines `failed_at`.
    pub(super) fn has_engine_besides(&self, failed_at: &[EngineName]) -> bool {
        self.capacity(Stage::Decode).any(|engine| !failed_at.contains(&engine.slot.name))
    }

    /// Whether any engine can accept a prompt now; without one, no request can be started.
    pub(super) fn can_accept_prompt(&self, now: Timestamp) -> bool {
        self.engines.values().any(|engine| engine.can_accept_prompt(now))
    }

    /// Whether the request's KV cache fits on any engine of the pool when that engine is empty.
    pub(super) fn could_hold(&self, job: &Job) -> bool {
        self.engines.values().any(|engine| job.kv_tokens() <= engine.slot.performance.kv_capacity_tokens)
    }

    /// The engines that count as capacity for a stage.
    pub(super) fn capacity(&self, stage: Stage) -> impl Iterator<Item = &EngineState> {
        self.engines.values().filter(move |engine| engine.is_capacity(stage))
    }

    /// The least prefill that the prompt needs: that on the engine estimated to have most of it cached.
    pub(super) fn least_prefill(&self, profile: &RequestProfile) -> PrefillWork {
        let prefill_work = |engine: &EngineState| {
            let cached = engine.prefixes.cached_tokens(&profile.blocks);
            let tokens = profile.prompt_tokens.saturating_sub(cached);
            PrefillWork { time: engine.slot.performance.prefill_time(tokens), tokens }
        };
        let unknown = PrefillWork { time: Duration::ZERO, tokens: profile.prompt_tokens };
        self.engines.values().map(prefill_work).min().unwrap_or(unknown)
    }

    /// Engine time to generate the complete answer, as a share of a full batch.
    pub(super) fn generation_time(&self, profile: &RequestProfile) -> Duration {
        let time = |engine: &EngineState| engine.slot.performance.generation_time(profile.max_output_tokens);
        self.engines.values().map(time).min().unwrap_or_default()
    }

    /// The next time at which an engine is predicted, without a report, to accept work: its backlog has shrunk enough
    /// or a probe is due.
    pub(super) fn next_capacity_after(&self, now: Timestamp) -> Option<Timestamp> {
        let times =
            |engine: &EngineState| engine.health.probe_times().into_iter().flatten().chain(engine.next_capacity());
        self.engines.values().flat_map(times).filter(|at| *at > now).min()
    }

    /// Chooses the engines for the job, if any have room for it and are predicted to meet its deadline.
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
        let is_long = self.least_prefill(&job.profile).tokens > piece_tokens;
        let search = PlacementSearch { fleet: self, job, is_long, limits, piece_tokens, due, now };
        if is_long {
            return search.choose_split(policy).or_else(|| search.choose_whole(policy));
        }
        if search.split_is_faster() {
            return search.choose_split(policy).or_else(|| search.choose_whole(policy));
        }
        search.choose_whole(policy).or_else(|| search.choose_split(policy))
    }

    /// The engine to reserve for a job that is too large for the free capacity, so that smaller jobs don't use up
    /// capacity as it becomes free. It is the engine with the fewest requests, which is expected to be empty first.
    pub(super) fn engine_to_reserve(&self, job: &Job, now: Timestamp) -> Option<EngineName> {
        let stage = if self.capacity(Stage::Whole).next().is_some() { Stage::Whole } else { Stage::Decode };
        let has_capacity =
            |engine: &&EngineState| engine.has_any_capacity(stage, now) && !job.failed_at.contains(&engine.slot.name);
        let could_hold = |engine: &&EngineState| job.kv_tokens() <= engine.slot.performance.kv_capacity_tokens;
        let engines = self.engines.values().filter(has_capacity).filter(could_hold);
        engines.min_by_key(|engine| engine.in_flight()).map(|engine| engine.slot.name.clone())
    }

    /// Records that a request starts.
    pub(super) fn start(&mut self, job: &Job, placement: &Placement, now: Timestamp) {
        let generation = if placement.prefill.is_some() { Stage::Decode } else { Stage::Whole };
        if let Some(engine) = placement.prefill.as_ref().and_then(|prefill| self.engines.get_mut(prefill)) {
            engine.start(job, Stage::Prefill, now);
        }
        if let Some(engine) = self.engines.get_mut(&placement.decode) {
            engine.start(job, generation, now);
        }
    }

    /// Records that prefill is done and the KV cache has moved: the request leaves its prefill engine.
    pub(super) fn first_token(&mut self, request: RequestId, placement: &Placement, now: Timestamp) {
        if let Some(engine) = placement.prefill.as_ref().and_then(|prefill| self.engines.get_mut(prefill)) {
            engine.finish_prefill(request, now);
            engine.end(request, now);
        }
        if let Some(engine) = self.engines.get_mut(&placement.decode) {
            engine.first_token(request, now);
        }
    }

    /// Records that a request no longer runs on any engine.
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

/// An engine that accepts no other work until a large request is placed on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) request: RequestId,
    pub(super) engine: EngineName,
}

/// Capacity that a placement must leave free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PlacementLimits {
    /// The engine that is reserved for one request.
    pub(super) reservation: Option<Reservation>,
    /// The number of engines that must stay free of long prompts, so that short prompts don't queue behind them.
    pub(super) engines_for_short_prompts: usize,
}

/// The search for a placement of one job.
struct PlacementSearch<'a> {
    fleet: &'a Fleet,
    job: &'a Job,
    /// Whether the prefill of the prompt takes more than one piece on every engine.
    is_long: bool,
    limits: &'a PlacementLimits,
    piece_tokens: u32,
    /// The deadline of the first token, less the reserve.
    due: Timestamp,
    now: Timestamp,
}

impl PlacementSearch<'_> {
    fn choose_whole(&self, policy: &mut dyn PlacementPolicy) -> Option<Placement> {
        let candidates = self.candidates(Stage::Whole);
        let chosen = policy.choose(&self.job.profile, Stage::Whole, &candidates, self.now)?;
        Some(Placement { prefill: None, decode: candidates.get(chosen)?.name.clone() })
    }

    fn choose_split(&self, policy: &mut dyn PlacementPolicy) -> Option<Placement> {
        let prefill_engines = self.prefill_engines();
        let mut decode_engines = self.candidates(Stage::Decode);
        if prefill_engines.is_empty() || decode_engines.is_empty() {
            return None;
        }
        let prefill_engine =
            prefill_engines.get(policy.choose(&self.job.profile, Stage::Prefill, &prefill_engines, self.now)?)?;
        decode_engines.retain(|decode_engine| decode_engine.name != prefill_engine.name);
        let decode_engine = policy.choose(&self.job.profile, Stage::Decode, &decode_engines, self.now)?;
        let decode = decode_engines.get(decode_engine)?.name.clone();
        Some(Placement { prefill: Some(prefill_engine.name.clone()), decode })
    }

    /// Engines that could prefill the prompt for another engine: prefill engines, or mixed engines if the pool has
    /// decode engines but no prefill engine.
    fn prefill_engines(&self) -> Vec<EngineView> {
        let has_prefill_engine = self.fleet.serving(EngineRole::Prefill);
        if !has_prefill_engine && !self.fleet.serving(EngineRole::Decode) {
            return Vec::new();
        }
        let mut prefill_engines = self.candidates(Stage::Prefill);
        prefill_engines.retain(|prefill_engine| !has_prefill_engine || prefill_engine.role == EngineRole::Prefill);
        prefill_engines
    }

    /// Whether the first token is predicted to arrive sooner with prefill on a separate engine than on any one engine.
    fn split_is_faster(&self) -> bool {
        let Some(split) = self.fastest_first_token(&self.prefill_engines(), Stage::Prefill) else { return false };
        let Some(whole) = self.fastest_first_token(&self.candidates(Stage::Whole), Stage::Whole) else { return true };
        split + self.transfer_time() < whole
    }

    fn fastest_first_token(&self, views: &[EngineView], stage: Stage) -> Option<Duration> {
        views.iter().map(|view| view.time_to_first_token(&self.job.profile, stage)).min()
    }

    fn transfer_time(&self) -> Duration {
        let transfer = |engine: &EngineState| engine.slot.performance.transfer_time(self.job.profile.prompt_tokens);
        self.fleet.engines.values().map(transfer).max().unwrap_or_default()
    }

    /// Whether enough engines stay free of long prompts if one more engine gets one. It holds if no engine has a long
    /// prompt, so that a pool with a single prefill engine can run one.
    fn leaves_engines_for_short_prompts(&self) -> bool {
        let prefill_engines = self.fleet.capacity(Stage::Prefill).count();
        let has_long_prompt = |engine: &&EngineState| engine.has_prompt_longer_than(self.piece_tokens);
        let with_long_prompt = self.fleet.capacity(Stage::Prefill).filter(has_long_prompt).count();
        with_long_prompt == 0 || with_long_prompt + 1 + self.limits.engines_for_short_prompts <= prefill_engines
    }

    fn is_reserved_for_another(&self, engine: &EngineName) -> bool {
        self.limits
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.engine == *engine && reservation.request != self.job.profile.id)
    }

    /// The engines that have room for `stage` and are predicted to meet the deadline.
    fn candidates(&self, stage: Stage) -> Vec<EngineView> {
        let has_room = self.fleet.engines.values().filter(|engine| engine.can_accept(self.job, stage, self.now));
        let has_room = has_room.filter(|engine| !self.is_reserved_for_another(&engine.slot.name));
        let leaves_engines = stage == Stage::Decode || !self.is_long || self.leaves_engines_for_short_prompts();
        let has_room = has_room.filter(|engine| leaves_engines || engine.has_prompt_longer_than(self.piece_tokens));
        let mut views: Vec<EngineView> = has_room.map(|engine| engine.view(self.job, self.now)).collect();
        let transfer_time = if stage == Stage::Prefill { self.transfer_time() } else { Duration::ZERO };
        views.retain(|view| self.now + view.time_to_first_token(&self.job.profile, stage) + transfer_time <= self.due);
        views
    }
}
