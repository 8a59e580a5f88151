//! The dispatcher of one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::admission::{Admission, Forecast};
use super::closed_requests::{Closed, ClosedRequests};
use super::config::DispatchConfig;
use super::counters::DispatchCounters;
use super::event::{DispatchAction, EngineEvent, EngineSlot, Placement, Revocation};
use super::fair_queue::FairQueue;
use super::fleet::Fleet;
use super::job::{Job, Terms};
use super::retry_budget::RetryBudget;
use crate::gateway::PoolLoad;
use crate::policy::{
    ArmOutcomes, DecayingRate, DemandTracker, PlacementPolicy, PoolBacklog, PoolDemand, PoolLimits, RequestOutcome,
};
use crate::request::{RequestId, RequestProfile};
use crate::time::Timestamp;
use crate::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use crate::world::{Contract, ContractName, EngineName};

/// Requests of each flow that are tried when the one before them finds no room.
const TRIED_PER_FLOW: usize = 4;
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
    running_by_deadline: BTreeSet<(Timestamp, RequestId)>,
    closed: ClosedRequests,
    pub(super) retry_budget: RetryBudget,
    pub(super) demand: DemandTracker,
    pub(super) completions: DecayingRate,
    pub(super) counters: DispatchCounters,
    pub(super) actions: Vec<DispatchAction>,
    polled_at: Timestamp,
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
            closed: ClosedRequests::new(config.closed_requests_maximum, config.closed_requests_retention),
            retry_budget: RetryBudget::new(config.retry_budget),
            demand: DemandTracker::default(),
            completions: DecayingRate::new(COMPLETION_WINDOW),
            counters: DispatchCounters::default(),
            actions: Vec::new(),
            polled_at: Timestamp::ZERO,
            config,
        }
    }

    /// Replaces the engines of the pool. Requests that run on an engine that is gone go on until they end.
    pub fn set_engines(&mut self, engines: Vec<EngineSlot>) {
        self.fleet.set_slots(engines, &self.config);
    }

    /// Replaces the classes of service, for requests that arrive from now on. A request of an unknown contract is
    /// promised its own time left, and isn't repeatable.
    pub fn set_contracts(&mut self, contracts: Vec<Contract>) {
        self.contracts = contracts.into_iter().map(|contract| (contract.name.clone(), contract)).collect();
    }

    /// Replaces the policy that places requests from now on.
    pub fn set_placement(&mut self, placement: Box<dyn PlacementPolicy>) {
        self.placement = placement;
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
        match event {
            EngineEvent::PromptRead { request } => self.prompt_read(request, now),
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
        self.place_waiting(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Dispatcher::poll`] has to be called again even if nothing happens; always after the last poll.
    pub fn next_poll(&self) -> Option<Timestamp> {
        let room = if self.queue.is_empty() { None } else { self.fleet.next_room_after(self.polled_at) };
        let overdue = self.running_by_deadline.first().map(|(deadline, _)| *deadline);
        [room, overdue, self.queue.next_expiry()].into_iter().flatten().min()
    }

    /// When a waiting job can no longer be started in time.
    pub(super) fn expires(&self, job: &Job) -> Timestamp {
        let reserve = job.first_token_within().mul_f64(self.config.deadline_reserve);
        job.due() - reserve - job.read_time
    }

    /// Ends a request for good.
    pub(super) fn end(&mut self, job: &Job, verdict: Verdict, now: Timestamp) {
        let closed = match &verdict {
            Verdict::NotRun(refusal) => Closed::NeverStarted(refusal.clone()),
            Verdict::Completed | Verdict::MayHaveRun(_) => Closed::Ended,
        };
        let outcome = match &verdict {
            Verdict::Completed if job.met_contract(now) => RequestOutcome::Met,
            Verdict::Completed => RequestOutcome::Missed,
            Verdict::NotRun(_) => RequestOutcome::NotRun,
            Verdict::MayHaveRun(_) => RequestOutcome::MayHaveRun,
        };
        self.closed.insert(job.profile.id, closed, now);
        self.placement.record(&job.profile, outcome);
        self.counters.record_end(outcome);
        self.actions.push(DispatchAction::End { request: job.profile.id, verdict });
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

    fn has_room_for_one_more(&self) -> bool {
        self.closed.has_room_for(self.running.len() + self.queue.len())
    }

    fn new_job(&mut self, profile: RequestProfile, now: Timestamp) -> Job {
        let contract = self.contracts.get(&profile.contract);
        let terms = Terms::new(&profile, contract, now);
        let read = self.fleet.shortest_reading(&profile);
        self.demand.record_arrival(&profile, read.tokens, contract, now);
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

    fn forecast(&self, now: Timestamp) -> Forecast<'_> {
        Forecast {
            fleet: &self.fleet,
            queue: &self.queue,
            config: &self.config,
            completions_per_second: self.completions.per_second(now),
            now,
        }
    }

    fn refuse(&mut self, job: &Job, refusal: NotRun, now: Timestamp) {
        self.counters.refused += 1;
        self.placement.record(&job.profile, RequestOutcome::NotRun);
        if self.has_room_for_one_more() {
            self.closed.insert(job.profile.id, Closed::NeverStarted(refusal), now);
        }
    }

    fn shed(&mut self, request: RequestId, now: Timestamp) {
        let retry_after = self.forecast(now).time_to_empty();
        let Some(job) = self.queue.remove(request) else { return };
        self.counters.shed += 1;
        self.give_up(&job, NotRun::retry_after(NotRunReason::DeadlineUnreachable, retry_after), now);
    }

    fn give_up_expired(&mut self, now: Timestamp) {
        while let Some(job) = self.queue.pop_expired(now) {
            self.counters.expired += 1;
            let refusal = if job.terms.deadline <= now {
                NotRun::new(NotRunReason::DeadlinePassed)
            } else {
                let retry_after = self.forecast(now).time_to_empty();
                NotRun::retry_after(NotRunReason::DeadlineUnreachable, retry_after)
            };
            self.give_up(&job, refusal, now);
        }
    }

    /// Gives up all waiting requests, for another dispatcher to take: this one has lost its pool.
    pub fn give_up_waiting(&mut self, reason: NotRunReason, now: Timestamp) {
        let waiting: Vec<RequestId> = self.queue.jobs().map(|job| job.profile.id).collect();
        for request in waiting {
            let Some(job) = self.queue.remove(request) else { continue };
            self.give_up(&job, NotRun::new(reason), now);
        }
    }

    fn give_up(&mut self, job: &Job, refusal: NotRun, now: Timestamp) {
        let verdict = job.verdict_when_given_up(refusal);
        self.end(job, verdict, now);
    }

    fn revoke_waiting(&mut self, job: &Job, now: Timestamp) -> Revocation {
        if job.may_have_run.is_some() {
            self.end(job, Verdict::MayHaveRun(MayHaveRun::CallerGone), now);
            return Revocation::AfterStart;
        }
        let refusal = NotRun::new(NotRunReason::Revoked);
        self.closed.insert(job.profile.id, Closed::NeverStarted(refusal), now);
        self.placement.record(&job.profile, RequestOutcome::NotRun);
        self.counters.record_end(RequestOutcome::NotRun);
        Revocation::BeforeStart
    }

    fn cancel_overdue(&mut self, now: Timestamp) {
        let overdue = self.running_by_deadline.iter().take_while(|(deadline, _)| *deadline <= now);
        let overdue: Vec<RequestId> = overdue.map(|(_, request)| *request).collect();
        for request in overdue {
            self.cancel(request, CancelReason::DeadlinePassed);
        }
    }

    fn cancel(&mut self, request: RequestId, reason: CancelReason) {
        let Some(running) = self.running.get_mut(&request).filter(|running| running.cancelled.is_none()) else {
            return;
        };
        running.cancelled = Some(reason);
        self.running_by_deadline.remove(&(running.job.terms.deadline, request));
        let still_has_it = |engine: &&EngineName| !running.generating || **engine == running.placement.decode;
        for engine in running.placement.engines().filter(still_has_it) {
            self.actions.push(DispatchAction::Cancel { request, engine: engine.clone() });
        }
    }

    fn place_waiting(&mut self, now: Timestamp) {
        let mut without_room = BTreeSet::new();
        while let Some((request, placement)) = self.next_placement(&mut without_room, now) {
            self.start(request, placement, now);
        }
    }

    /// The next request in the order of the queue that an engine has room for. A start only takes room away, so one
    /// that finds none isn't tried again.
    fn next_placement(
        &mut self,
        without_room: &mut BTreeSet<RequestId>,
        now: Timestamp,
    ) -> Option<(RequestId, Placement)> {
        for request in self.queue.order(TRIED_PER_FLOW) {
            if without_room.contains(&request) {
                continue;
            }
            let job = self.queue.get(request)?;
            if let Some(placement) = self.fleet.choose(job, &self.config, self.placement.as_mut(), now) {
                return Some((request, placement));
            }
            without_room.insert(request);
        }
        None
    }

    fn start(&mut self, request: RequestId, placement: Placement, now: Timestamp) {
        let Some(mut job) = self.queue.start(request) else { return };
        job.attempts += 1;
        if job.attempts == 1 {
            self.retry_budget.record_first_attempt();
        }
        self.counters.started += 1;
        self.fleet.start(&job, &placement, now);
        self.running_by_deadline.insert((job.terms.deadline, request));
        let (attempt, resume_from) = (job.attempts, job.delivered);
        let running =
            Running { job, placement: placement.clone(), prompt_read: false, generating: false, cancelled: None };
        self.running.insert(request, running);
        self.actions.push(DispatchAction::Start { request, placement, attempt, resume_from });
    }
}
