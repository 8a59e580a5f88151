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

/// How long priority rules after the pool had to give up a request.
const OVERLOAD_MEMORY: Duration = Duration::from_secs(5);
/// The rate of short prompts is averaged over about this time.
const SHORT_WORK_WINDOW: Duration = Duration::from_secs(20);
/// The rate of completions is averaged over about this time.
const COMPLETION_WINDOW: Duration = Duration::from_secs(5);

/// Places the requests of one pool.
///
/// Each request that [`Dispatcher::submit`] accepts ends exactly once: with [`DispatchAction::End`], or with the answer
/// [`Revocation::BeforeStart`]. One that ends as not run has not been started and will not be, even if its message
/// arrives again.
pub struct Dispatcher {
    pub(super) config: DispatchConfig,
    pub(super) placement: Box<dyn PlacementPolicy>,
    contracts: BTreeMap<ContractName, Contract>,
    pub(super) fleet: Fleet,
    pub(super) queue: FairQueue,
    pub(super) running: BTreeMap<RequestId, Running>,
    pub(super) running_by_deadline: BTreeSet<(Timestamp, RequestId)>,
    pub(super) limits: PlacementLimits,
    /// Prompt tokens of short requests, as they arrive.
    pub(super) short_reading: DecayingRate,
    pub(super) closed: ClosedRequests,
    pub(super) retry_budget: RetryBudget,
    pub(super) demand: DemandTracker,
    pub(super) completions: DecayingRate,
    pub(super) counters: DispatchCounters,
    pub(super) actions: Vec<DispatchAction>,
    polled_at: Timestamp,
    /// When waiting requests are tried again; `None` while nothing has changed and none waits.
    pub(super) try_again_at: Option<Timestamp>,
    /// When a request was last refused, shed or given up for lack of capacity.
    pub(super) given_up_at: Option<Timestamp>,
}

/// A request that has been placed.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) job: Job,
    pub(super) placement: Placement,
    /// Whether its prompt has been read in this attempt.
    pub(super) prompt_read: bool,
    /// Whether its first token has come in this attempt.
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
    /// A dispatcher without engines.
    pub fn new(config: DispatchConfig, placement: Box<dyn PlacementPolicy>) -> Self {
        Dispatcher {
            placement,
            contracts: BTreeMap::new(),
            fleet: Fleet::default(),
            queue: FairQueue::new(config.stretch, config.patience),
            running: BTreeMap::new(),
            running_by_deadline: BTreeSet::new(),
            limits: PlacementLimits::default(),
            short_reading: DecayingRate::new(SHORT_WORK_WINDOW),
            closed: ClosedRequests::new(config.closed_requests_maximum, config.closed_requests_retention),
            retry_budget: RetryBudget::new(config.retry_budget),
            demand: DemandTracker::default(),
            completions: DecayingRate::new(COMPLETION_WINDOW),
            counters: DispatchCounters::default(),
            actions: Vec::new(),
            polled_at: Timestamp::ZERO,
            try_again_at: None,
            given_up_at: None,
            config,
        }
    }

    /// Replaces the engines of the pool. Requests that run on an engine that is gone go on until they end.
    pub fn set_engines(&mut self, engines: Vec<EngineSlot>) {
        self.fleet.set_slots(engines, &self.config);
        self.try_again_at = Some(Timestamp::ZERO);
    }

    /// Replaces the classes of service, for requests that arrive from now on. A request of an unknown contract is
    /// promised its own time left, and isn't repeatable.
    pub fn set_contracts(&mut self, contracts: Vec<Contract>) {
        self.contracts = contracts.into_iter().map(|contract| (contract.name.clone(), contract)).collect();
    }

    /// Replaces the policy that places requests from now on.
    pub fn set_placement(&mut self, placement: Box<dyn PlacementPolicy>) {
        self.placement = placement;
        self.try_again_at = Some(Timestamp::ZERO);
    }

    /// Takes a request into the queue. A repeat of a request that waits, runs or has run is accepted and ignored.
    ///
    /// # Errors
    /// When the request is refused; it has not run and will not.
    pub fn submit(&mut self, profile: RequestProfile, now: Timestamp) -> Result<(), NotRun> {
        self.closed.forget_old(now);
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
                self.try_again_at = Some(now);
                Ok(())
            }
            Err(refusal) => {
                self.refuse(&job, refusal.clone(), now);
                Err(refusal)
            }
        }
    }

    /// Takes in what an engine did.
    pub fn step(&mut self, event: EngineEvent, now: Timestamp) {
        if !matches!(event, EngineEvent::Progress { .. }) {
            self.try_again_at = Some(now);
        }
        match event {
            EngineEvent::PrefillDone { request } => self.prompt_read(request, now),
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
                    engine.prefixes.forget_all();
                }
            }
        }
    }

    /// Withdraws a request. After `BeforeStart` no `End` follows: the answer is the end.
    pub fn revoke(&mut self, request: RequestId, now: Timestamp) -> Revocation {
        self.closed.forget_old(now);
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

    /// Requests that have been placed on `engine` and have not ended. A prefill engine is done with a request once the
    /// first token has come.
    pub fn in_flight(&self, engine: &EngineName) -> usize {
        self.fleet.get(engine).map_or(0, |engine| engine.in_flight())
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How busy the pool is, for gateways.
    pub fn load(&self) -> PoolLoad {
        let unread = self.running.values().filter(|running| !running.prompt_read).map(|running| &running.job);
        let waiting_prefill: u64 =
            self.queue.jobs().chain(unread).map(|job| u64::from(job.profile.prompt_tokens)).sum();
        PoolLoad {
            waiting_prefill_tokens: u32::try_from(waiting_prefill).unwrap_or(u32::MAX),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            serving_engines: self.fleet.serving_engines(),
        }
    }

    /// What the dispatcher has done so far.
    pub fn counters(&self) -> &DispatchCounters {
        &self.counters
    }

    /// Outcomes by arm, when the placement policy is a trial.
    pub fn arm_outcomes(&self) -> Vec<ArmOutcomes> {
        self.placement.arm_outcomes()
    }

    /// The demand on the pool, for a role policy.
    pub fn demand(&self, limits: &PoolLimits, now: Timestamp) -> PoolDemand {
        let jobs = self.queue.jobs().chain(self.running.values().map(|running| &running.job));
        let unread = self.running.values().filter(|running| !running.prompt_read).map(|running| &running.job);
        let unread = self.queue.jobs().chain(unread);
        let backlog = PoolBacklog {
            prefill_tokens: unread.map(|job| u64::from(job.profile.prompt_tokens)).sum(),
            decode_tokens_allowed: jobs.map(|job| u64::from(job.output_tokens_left())).sum(),
        };
        self.demand.demand(limits, backlog, now)
    }

    /// What to do now, in order.
    pub fn poll(&mut self, now: Timestamp) -> Vec<DispatchAction> {
        self.polled_at = now;
        self.closed.forget_old(now);
        self.give_up_expired(now);
        self.cancel_overdue(now);
        if self.try_again_at.is_some_and(|at| at <= now) {
            self.place_waiting(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// When [`Dispatcher::poll`] has to be called again even if nothing happens; always after the last poll.
    pub fn next_poll(&self) -> Option<Timestamp> {
        let room = self.try_again_at.filter(|at| *at > self.polled_at);
        let overdue = self.running_by_deadline.first().map(|(deadline, _)| *deadline);
        [room, overdue, self.queue.next_expiry()].into_iter().flatten().min()
    }

    /// When a waiting job can no longer be started in time.
    pub(super) fn expires(&self, job: &Job) -> Timestamp {
        let reserve = job.first_token_within().mul_f64(self.config.deadline_reserve);
        job.due() - reserve - job.read_time
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
        let read = self.fleet.shortest_reading(&profile);
        self.demand.record_arrival(&profile, read.tokens, contract, now);
        if read.tokens <= self.config.piece_tokens {
            self.short_reading.add(f64::from(read.tokens), now);
        }
        let generation = self.fleet.generation_time(&profile).mul_f64(self.demand.output_share());
        Job::new(profile, terms, read.time, read.time + generation, now)
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

    /// Shares while the pool meets its demand; priority for a while after it had to give up requests.
    pub(super) fn precedence(&self, now: Timestamp) -> Precedence {
        let is_overloaded = |given_up_at: Timestamp| now.since(given_up_at) < OVERLOAD_MEMORY;
        if self.given_up_at.is_some_and(is_overloaded) { Precedence::Priority } else { Precedence::Shares }
    }
}
