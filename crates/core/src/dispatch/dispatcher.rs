//! The dispatcher of one pool.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::policy::{EngineView, PlacementPolicy, Stage};
use crate::request::{BlockHash, RequestId, RequestProfile};
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use crate::world::{EngineName, EnginePerformance, EngineRole};

/// Limits of a dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// The most requests that wait; more are refused, since a longer queue only turns into missed deadlines.
    pub queue_maximum: usize,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        DispatchConfig { queue_maximum: 1_000 }
    }
}

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineAvailability {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new, before a role change, a load or its leaving.
    Draining,
    /// It can't serve: it is changing its role, loading, or lost.
    Unavailable,
}

/// An engine of the pool, as control hands it to the dispatcher.
#[derive(Clone, Debug)]
pub struct EngineSlot {
    /// The engine.
    pub name: EngineName,
    /// Its role.
    pub role: EngineRole,
    /// Whether it takes new work.
    pub availability: EngineAvailability,
    /// One-way latency from the dispatcher.
    pub link_latency: Duration,
    /// What the engine can do.
    pub performance: EnginePerformance,
}

/// The engines that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine that reads the prompt, when it is another than `decode`; the KV cache then moves by handle.
    pub prefill: Option<EngineName>,
    /// The engine that generates the answer.
    pub decode: EngineName,
}

/// How one attempt at a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Completed,
    /// The engine refused the request, or it was never sent.
    NotRun,
    /// The request was sent and its answer is cut or lost.
    MayHaveRun(MayHaveRun),
}

/// What an engine did.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The prompt has been read and the first token was generated.
    FirstToken {
        /// The request.
        request: RequestId,
    },
    /// Tokens were generated.
    Progress {
        /// The request.
        request: RequestId,
        /// Tokens since the last event of the request.
        tokens: u32,
    },
    /// The attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The engine reports that it has cached these prefixes.
    CacheStored {
        /// The engine.
        engine: EngineName,
        /// Prefixes, by the hash of their last block.
        blocks: Vec<BlockHash>,
    },
    /// The engine reports that it has dropped these prefixes.
    CacheRemoved {
        /// The engine.
        engine: EngineName,
        /// Prefixes, by the hash of their last block.
        blocks: Vec<BlockHash>,
    },
    /// Cache events of the engine were lost: what is believed to be cached there is no longer known.
    CacheGap {
        /// The engine.
        engine: EngineName,
    },
}

/// What the caller of the dispatcher must do.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Run the request on the engines of the placement.
    Start {
        /// The request.
        request: RequestId,
        /// Where it runs.
        placement: Placement,
    },
    /// Tell the gateway how the request ended; the dispatcher has forgotten it.
    End {
        /// The request.
        request: RequestId,
        /// Its final verdict.
        verdict: Verdict,
    },
    /// Cancel the request at its engine; an [`EngineEvent::Ended`] still has to follow.
    Cancel {
        /// The request.
        request: RequestId,
        /// The engine that runs it.
        engine: EngineName,
    },
}

/// The answer to a revocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Revocation {
    /// The request has not started and never will, even if it arrives later.
    BeforeStart,
    /// The request had started; it is being cancelled and may have run.
    AfterStart,
}

/// Places the requests of one pool.
pub struct Dispatcher {
    config: DispatchConfig,
    placement: Box<dyn PlacementPolicy>,
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
            actions.push(DispatchAction::Start { request, placement });
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
            waiting_prefill_tokens: 0,
            reserved_kv_tokens,
            cached_prefix_tokens: 0,
            link_latency: slot.link_latency,
            performance: slot.performance,
        })
    }
}
