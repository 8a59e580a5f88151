//! The dispatcher of one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::admission::{Admission, Forecast};
use super::closed_requests::{Closed, ClosedRequests};
use super::config::DispatchConfig;
use super::counters::DispatchCounters;
use super::event::{DispatchAction, EngineEvent, EngineSlot, Placement, Revocation};
use super::fair_queue::{FairQueue, Precedence};
use super::fleet::{Fleet, PlacementLimits};
use super::job::{Job, Terms};
use super::retry_budget::RetryBudget;
use crate::gateway::PoolLoad;
use crate::policy::{ArmOutcomes, DecayingRate, DemandTracker, PlacementPolicy, PoolBacklog, PoolDemand, PoolLimits};
use crate::request::{RequestId, RequestProfile};
use crate::time::Timestamp;
use crate::verdict::{NotRun, NotRunReason};
use crate::world::{Contract, ContractName, EngineName};

/// How long requests are ordered by priority after the pool had to give one up.
const OVERLOAD_HOLD_TIME: Duration = Duration::from_secs(5);
/// The approximate averaging time of the rate of short prompts.
const SHORT_PROMPT_WINDOW: Duration = Duration::from_secs(20);
/// The approximate averaging time of the rate of completions.
const COMPLETION_WINDOW: Duration = Duration::from_secs(5);

/// Places the requests of one pool.
///
/// Each request that [`Dispatcher::submit`] accepts ends exactly once: with [`DispatchAction::End`], or with the answer
/// [`Revocation::BeforeStart`]. A request that ends as not run has not been started and is never started, even if its
/// message arrives again.
pub struct Dispatcher {
    pub(super) config: DispatchConfig,
    pub(super) placement: Box<dyn PlacementPolicy>,
    contracts: BTreeMap<ContractName, Contract>,
    pub(super) fleet: Fleet,
    pub(super) queue: FairQueue,
    pub(super) running: BTreeMap<RequestId, Running>,
    pub(super) running_by_deadline: BTreeSet<(Timestamp, RequestId)>,
    pub(super) limits: PlacementLimits,
    /// The rate of prompt tokens to prefill in arriving short requests.
    pub(super) short_prompt_tokens: DecayingRate,
    pub(super) closed: ClosedRequests,
    pub(super) retry_budget: RetryBudget,
    pub(super) demand: DemandTracker,
    pub(super) completions: DecayingRate,
    pub(super) counters: DispatchCounters,
    pub(super) actions: Vec<DispatchAction>,
    polled_at: Timestamp,
    /// When placement of waiting requests is next tried; `None` if nothing has changed and no request waits.
    pub(super) retry_placement_at: Option<Timestamp>,
    /// When a request was last refused, shed or given up for lack of capacity.
    pub(super) last_given_up_at: Option<Timestamp>,
}

/// A request that has been placed.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) job: Job,
    pub(super) placement: Placement,
    /// Whether the prefill of its prompt is done in this attempt.
    pub(super) prefill_done: bool,
    /// Whether its first token has arrived in this attempt.
    pub(super) generating: bool,
    /// Set once the request is being cancelled.
    pub(super) cancelled: Option<CancelReason>,
}

/// Why a running request is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CancelReason {
    Revoked,
    DeadlinePassed,
}

impl Dispatcher {
    /// Creates a dispatcher without engines.
    pub fn new(config: DispatchConfig, placement: Box<dyn PlacementPolicy>) -> Self {
        Dispatcher {
            placement,
            contracts: BTreeMap::new(),
            fleet: Fleet::default(),
            queue: FairQueue::new(config.stretch, config.patience),
            running: BTreeMap::new(),
            running_by_deadline: BTreeSet::new(),
            limits: PlacementLimits::default(),
            short_prompt_tokens: DecayingRate::new(SHORT_PROMPT_WINDOW),
            closed: ClosedRequests::new(config.closed_requests_maximum, config.closed_requests_retention),
            retry_budget: RetryBudget::new(config.retry_budget),
            demand: DemandTracker::default(),
            completions: DecayingRate::new(COMPLETION_WINDOW),
            counters: DispatchCounters::default(),
            actions: Vec::new(),
            polled_at: Timestamp::ZERO,
            retry_placement_at: None,
            last_given_up_at: None,
            config,
        }
    }

    /// Replaces the engines of the pool. Requests that run on a removed engine continue until they end.
    pub fn set_engines(&mut self, engines: Vec<EngineSlot>) {
        self.fleet.set_slots(engines, &self.config);
        self.retry_placement_at = Some(Timestamp::ZERO);
    }

    /// Replaces the contracts, for requests that arrive from now on. A request with an unknown contract has only its
    /// own remaining time as the deadline, and isn't repeatable.
    pub fn set_contracts(&mut self, contracts: Vec<Contract>) {
        self.contracts = contracts.into_iter().map(|contract| (contract.name.clone(), contract)).collect();
    }

    /// Replaces the policy that places requests from now on.
    pub fn set_placement(&mut self, placement: Box<dyn PlacementPolicy>) {
        self.placement = placement;
        self.retry_placement_at = Some(Timestamp::ZERO);
    }

    /// Puts a request into the queue. A repeat of a request that waits, runs or has run is accepted and ignored.
    ///
    /// # Errors
    /// When the request is refused; it has not run and never runs.
    pub fn submit(&mut self, profile: RequestProfile, now: Timestamp) -> Result<(), NotRun> {
        self.closed.remove_expired(now);
        let request = profile.id;
        match self.closed.get(request) {
            Some(Closed::NeverStarted(refusal)) => return Err(refusal.clone()),
            Some(Closed::Ended) => return Ok(()),
            None if self.is_open(request) => return Ok(()),
            None => self.counters.submitted += 1,
        }
        let job = self.new_job(profile, now);
        match self.admit(&job, now) {
            Ok(()) => {
                let expires = self.expires(&job);
                self.queue.push(job, expires);
                self.retry_placement_at = Some(now);
                Ok(())
            }
            Err(refusal) => {
                self.refuse(&job, refusal.clone(), now);
                Err(refusal)
            }
        }
    }

    /// Applies an engine event.
    pub fn step(&mut self, event: EngineEvent, now: Timestamp) {
        if !matches!(event, EngineEvent::Progress { .. }) {
            self.retry_placement_at = Some(now);
        }
        match event {
            EngineEvent::PrefillDone { request } => self.prefill_done(request, now),
            EngineEvent::FirstToken { request } => self.first_token(request, now),
            EngineEvent::Progress { request, tokens } => self.progress(request, tokens),
            EngineEvent::Ended { request, outcome } => self.attempt_ended(request, outcome, now),
            EngineEvent::Load { engine, load } => {
                if let Some(engine) = self.fleet.get_mut(&engine) {
                    engine.record_report(&load, now);
                }
            }
            EngineEvent::CacheStored { engine, blocks } => {
                if let Some(engine) = self.fleet.get_mut(&engine) {
                    engine.prefixes.insert(&blocks);
                }
            }
            EngineEvent::CacheRemoved { engine, blocks } => {
                if let Some(engine) = self.fleet.get_mut(&engine) {
                    blocks.iter().for_each(|&block| engine.prefixes.remove(block));
                }
            }
            EngineEvent::CacheGap { engine } => {
                if let Some(engine) = self.fleet.get_mut(&engine) {
                    engine.prefixes.clear();
                }
            }
        }
    }

    /// Revokes a request. No `End` follows the answer `BeforeStart`, which itself ends the request.
    pub fn revoke(&mut self, request: RequestId, now: Timestamp) -> Revocation {
        self.closed.remove_expired(now);
        if self.running.contains_key(&request) {
            self.cancel(request, CancelReason::Revoked);
            return Revocation::AfterStart;
        }
        if let Some(job) = self.queue.remove(request) {
            return self.revoke_waiting(&job, now);
        }
        match self.closed.get(request) {
            Some(Closed::NeverStarted(_)) => Revocation::BeforeStart,
            Some(Closed::Ended) => Revocation::AfterStart,
            None if self.has_room_for_one_more() => {
                self.closed.insert(request, Closed::NeverStarted(NotRun::new(NotRunReason::Revoked)), now);
                Revocation::BeforeStart
            }
            None => Revocation::Unknown,
        }
    }

    /// The number of requests that are placed on `engine` and have not ended. A request no longer counts on its prefill
    /// engine once its first token has arrived.
    pub fn in_flight(&self, engine: &EngineName) -> usize {
        self.fleet.get(engine).map_or(0, |engine| engine.in_flight())
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The load of the pool, as gateways use it.
    pub fn load(&self) -> PoolLoad {
        let without_prefill = self.running.values().filter(|running| !running.prefill_done).map(|running| &running.job);
        let waiting_prefill: u64 =
            self.queue.jobs().chain(without_prefill).map(|job| u64::from(job.profile.prompt_tokens)).sum();
        PoolLoad {
            waiting_prefill_tokens: u32::try_from(waiting_prefill).unwrap_or(u32::MAX),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            serving_engines: self.fleet.serving_engines(),
        }
    }

    /// Counts of the dispatcher's work since it was created.
    pub fn counters(&self) -> &DispatchCounters {
        &self.counters
    }

    /// Outcomes by arm, if the placement policy is a trial.
    pub fn arm_outcomes(&self) -> Vec<ArmOutcomes> {
        self.placement.arm_outcomes()
    }

    /// The demand on the pool, for a role policy.
    pub fn demand(&self, limits: &PoolLimits, now: Timestamp) -> PoolDemand {
        let jobs = self.queue.jobs().chain(self.running.values().map(|running| &running.job));
        let without_prefill = self.running.values().filter(|running| !running.prefill_done).map(|running| &running.job);
        let without_prefill = self.queue.jobs().chain(without_prefill);
        let backlog = PoolBacklog {
            prefill_tokens: without_prefill.map(|job| u64::from(job.profile.prompt_tokens)).sum(),
            decode_tokens_allowed: jobs.map(|job| u64::from(job.output_tokens_left())).sum(),
        };
        self.demand.demand(limits, backlog, now)
    }

    /// Returns the actions to carry out now, in order.
    pub fn poll(&mut self, now: Timestamp) -> Vec<DispatchAction> {
        self.polled_at = now;
        self.closed.remove_expired(now);
        self.give_up_expired(now);
        self.cancel_overdue(now);
        if self.retry_placement_at.is_some_and(|at| at <= now) {
            self.place_waiting(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// When [`Dispatcher::poll`] has to be called again even without an event; always later than the last poll.
    pub fn next_poll(&self) -> Option<Timestamp> {
        let retry = self.retry_placement_at.filter(|at| *at > self.polled_at);
        let overdue = self.running_by_deadline.first().map(|(deadline, _)| *deadline);
        [retry, overdue, self.queue.next_expiry()].into_iter().flatten().min()
    }

    /// When it becomes too late to start a waiting job.
    pub(super) fn expires(&self, job: &Job) -> Timestamp {
        let reserve = job.first_token_within().mul_f64(self.config.deadline_reserve);
        job.due() - reserve - job.prefill_time
    }

    pub(super) fn stop_running(&mut self, request: RequestId, now: Timestamp) -> Option<Running> {
        let running = self.running.remove(&request)?;
        self.running_by_deadline.remove(&(running.job.terms.deadline, request));
        self.fleet.end(request, &running.placement, now);
        Some(running)
    }

    fn is_open(&self, request: RequestId) -> bool {
        self.running.contains_key(&request) || self.queue.contains(request)
    }

    pub(super) fn has_room_for_one_more(&self) -> bool {
        self.closed.has_room_for(self.running.len() + self.queue.len())
    }

    fn new_job(&mut self, profile: RequestProfile, now: Timestamp) -> Job {
        let contract = self.contracts.get(&profile.contract);
        let terms = Terms::new(&profile, contract, now);
        let prefill = self.fleet.least_prefill(&profile);
        self.demand.record_arrival(&profile, prefill.tokens, contract, now);
        if prefill.tokens <= self.config.piece_tokens {
            self.short_prompt_tokens.add(f64::from(prefill.tokens), now);
        }
        let generation = self.fleet.generation_time(&profile).mul_f64(self.demand.output_share());
        Job::new(profile, terms, prefill.time, prefill.time + generation, now)
    }

    fn admit(&mut self, job: &Job, now: Timestamp) -> Result<(), NotRun> {
        if !self.has_room_for_one_more() {
            let retry_after = self.config.closed_requests_retention;
            return Err(NotRun::retry_after(NotRunReason::QueueFull, retry_after));
        }
        loop {
            match self.forecast(now).admit(job) {
                Admission::Admitted => return Ok(()),
                Admission::Refused(refusal) => return Err(refusal),
                Admission::AfterShedding(request) => self.shed(request, now),
            }
        }
    }

    pub(super) fn forecast(&self, now: Timestamp) -> Forecast<'_> {
        Forecast {
            fleet: &self.fleet,
            queue: &self.queue,
            config: &self.config,
            completions_per_second: self.completions.per_second(now),
            precedence: self.precedence(now),
            now,
        }
    }

    /// Orders by shares while the pool meets its demand, and by priority for [`OVERLOAD_HOLD_TIME`] after it gave up a
    /// request.
    pub(super) fn precedence(&self, now: Timestamp) -> Precedence {
        let is_overloaded = |last_given_up_at: Timestamp| now.since(last_given_up_at) < OVERLOAD_HOLD_TIME;
        if self.last_given_up_at.is_some_and(is_overloaded) { Precedence::Priority } else { Precedence::Shares }
    }
}
