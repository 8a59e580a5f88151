//! The dispatcher of one pool.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::config::DispatchConfig;
use super::event::{
    AttemptOutcome, DispatchAction, EngineAvailability, EngineEvent, EngineSlot, Placement, Revocation,
};
use crate::policy::{EngineView, PlacementPolicy, Stage};
use crate::request::{RequestId, RequestProfile};
use crate::time::Timestamp;
use crate::verdict::{NotRun, NotRunReason, Verdict};
use crate::world::{Contract, ContractName, EngineName, EngineRole};

/// Places the requests of one pool.
pub struct Dispatcher {
    config: DispatchConfig,
    placement: Box<dyn PlacementPolicy>,
    contracts: BTreeMap<ContractName, Contract>,
    engines: BTreeMap<EngineName, EngineSlot>,
    waiting: VecDeque<Waiting>,
    running: BTreeMap<RequestId, Running>,
    ended: Vec<DispatchAction>,
}

struct Waiting {
    profile: RequestProfile,
    deadline: Timestamp,
}

struct Running {
    profile: RequestProfile,
    placement: Placement,
}

impl Dispatcher {
    /// A dispatcher without engines.
    pub fn new(config: DispatchConfig, placement: Box<dyn PlacementPolicy>) -> Self {
        Dispatcher {
            config,
            placement,
            contracts: BTreeMap::new(),
            engines: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            ended: Vec::new(),
        }
    }

    /// Replaces the engines of the pool. Requests that run on an engine that is gone go on until they end.
    pub fn set_engines(&mut self, engines: Vec<EngineSlot>) {
        self.engines = engines.into_iter().map(|engine| (engine.name.clone(), engine)).collect();
    }

    /// Replaces the classes of service. A request of an unknown contract is treated by [`DispatchConfig`]'s default.
    pub fn set_contracts(&mut self, contracts: Vec<Contract>) {
        self.contracts = contracts.into_iter().map(|contract| (contract.name.clone(), contract)).collect();
    }

    /// Takes a request into the queue.
    ///
    /// # Errors
    /// When the request is refused; it has not run and will not.
    pub fn submit(&mut self, profile: RequestProfile, now: Timestamp) -> Result<(), NotRun> {
        if self.waiting.len() >= self.config.queue_maximum {
            return Err(NotRun::retry_after(NotRunReason::QueueFull, Duration::from_secs(1)));
        }
        let deadline = now + profile.time_left;
        self.waiting.push_back(Waiting { profile, deadline });
        Ok(())
    }

    /// Takes in what an engine did.
    pub fn step(&mut self, event: EngineEvent, _now: Timestamp) {
        let EngineEvent::Ended { request, outcome } = event else { return };
        if self.running.remove(&request).is_none() {
            return;
        }
        let verdict = match outcome {
            AttemptOutcome::Completed => Verdict::Completed,
            AttemptOutcome::NotRun => Verdict::NotRun(NotRun::new(NotRunReason::NoEngine)),
            AttemptOutcome::MayHaveRun(reason) => Verdict::MayHaveRun(reason),
        };
        self.ended.push(DispatchAction::End { request, verdict });
    }

    /// Withdraws a request.
    pub fn revoke(&mut self, request: RequestId, _now: Timestamp) -> Revocation {
        if let Some(running) = self.running.get(&request) {
            let engine = running.placement.decode.clone();
            self.ended.push(DispatchAction::Cancel { request, engine });
            return Revocation::AfterStart;
        }
        self.waiting.retain(|waiting| waiting.profile.id != request);
        Revocation::BeforeStart
    }

    /// Requests that have been placed on `engine` and have not ended.
    pub fn in_flight(&self, engine: &EngineName) -> usize {
        let on_engine = |running: &&Running| {
            running.placement.decode == *engine || running.placement.prefill.as_ref() == Some(engine)
        };
        self.running.values().filter(on_engine).count()
    }

    /// What to do now, in order.
    pub fn poll(&mut self, now: Timestamp) -> Vec<DispatchAction> {
        let mut actions = std::mem::take(&mut self.ended);
        self.expire(now, &mut actions);
        while let Some(placement) = self.place_first(now) {
            let Some(waiting) = self.waiting.pop_front() else { break };
            let request = waiting.profile.id;
            self.running.insert(request, Running { profile: waiting.profile, placement: placement.clone() });
            actions.push(DispatchAction::Start { request, placement, attempt: 1, resume_from: 0 });
        }
        actions
    }

    /// When [`Dispatcher::poll`] has to be called again even if nothing happens.
    pub fn next_poll(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|waiting| waiting.deadline).min()
    }

    fn expire(&mut self, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        self.waiting.retain(|waiting| {
            let expired = waiting.deadline <= now;
            if expired {
                let verdict = Verdict::NotRun(NotRun::new(NotRunReason::DeadlinePassed));
                actions.push(DispatchAction::End { request: waiting.profile.id, verdict });
            }
            !expired
        });
    }

    fn place_first(&mut self, now: Timestamp) -> Option<Placement> {
        let candidates: Vec<EngineView> = self.engines.values().filter_map(|slot| self.view(slot)).collect();
        let waiting = self.waiting.front()?;
        let chosen = self.placement.choose(&waiting.profile, Stage::Whole, &candidates, now)?;
        Some(Placement { prefill: None, decode: candidates[chosen].name.clone() })
    }

    fn view(&self, slot: &EngineSlot) -> Option<EngineView> {
        let running = u32::try_from(self.in_flight(&slot.name)).unwrap_or(u32::MAX);
        let has_room = running < slot.performance.batch_maximum;
        let takes_work = slot.availability == EngineAvailability::Serving && slot.role == EngineRole::Mixed;
        let reserved = self.running.values().filter(|running| running.placement.decode == slot.name);
        let reserved_kv_tokens =
            reserved.map(|running| running.profile.prompt_tokens + running.profile.max_output_tokens).sum();
        (has_room && takes_work).then(|| EngineView {
            name: slot.name.clone(),
            role: slot.role,
            running,
            decoding: running,
            waiting_prefill_tokens: 0,
            prefill_wait: std::time::Duration::ZERO,
            interference_slack: std::time::Duration::MAX,
            reserved_kv_tokens,
            cached_prefix_tokens: 0,
            link_latency: slot.link_latency,
            performance: slot.performance,
        })
    }
}
