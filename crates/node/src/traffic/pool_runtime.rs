//! Runs the dispatcher of one pool: a thread that polls it, and a thread for each attempt that it starts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use havengate_core::dispatch::{
    AttemptOutcome, DispatchAction, Dispatcher, EngineEvent, EngineSlot, Placement, ReportedLoad, Revocation,
};
use havengate_core::gateway::PoolLoad;
use havengate_core::request::{AnswerPiece, RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, NotRunReason, Verdict};
use havengate_core::world::{Address, EngineName};

use super::answer::AnswerEvent;
use super::attempt::{AttemptPlan, PieceSink, run_attempt};
use super::engine_watch::watch_engine;
use crate::clock::Clock;
use crate::engines::EngineApi;
use crate::engines::dialect::GenerateRequest;

/// The longest time between two polls, which limits the effect of a wrong next poll time.
const DISPATCHER_POLL_INTERVAL_MAXIMUM: Duration = Duration::from_millis(100);

/// Stack size of an attempt's thread. The stack holds a line buffer and HTTP state, without recursion; a node runs
/// hundreds of these threads.
const ATTEMPT_STACK_BYTES: usize = 256 * 1024;

/// A request as it is submitted to the dispatching node.
pub struct SubmittedRequest {
    /// The request's profile.
    pub profile: RequestProfile,
    /// The prompt's text.
    pub prompt: String,
    /// Tokens of the answer that the caller already has.
    pub resume_from: u32,
    /// Channel that receives the answer.
    pub answer: Sender<AnswerEvent>,
}

/// An engine of the pool, with its address.
#[derive(Clone, Debug)]
pub struct EngineTarget {
    /// The engine as the dispatcher sees it.
    pub slot: EngineSlot,
    /// Address of the engine's API.
    pub address: Address,
}

/// The dispatcher of one pool, with its threads.
pub struct PoolRuntime {
    state: Mutex<PoolState>,
    wake: Sender<()>,
    engines: Arc<dyn EngineApi>,
    clock: Clock,
}

struct PoolState {
    dispatcher: Dispatcher,
    requests: BTreeMap<RequestId, ActiveRequest>,
    addresses: BTreeMap<EngineName, Address>,
    may_place_until: Option<Timestamp>,
    owner: bool,
    reports: BTreeMap<EngineName, ReportedWork>,
}

/// The load of an engine as it last reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedWork {
    /// Requests that run or wait on the engine, from all senders.
    pub requests: u32,
    /// The time that the report describes.
    pub at: Timestamp,
}

struct ActiveRequest {
    model: String,
    prompt: String,
    max_output_tokens: u32,
    priority: u8,
    resume_from: u32,
    answer: Sender<AnswerEvent>,
}

impl PoolRuntime {
    /// Starts the pool's thread; it ends when the runtime is dropped.
    pub fn start(dispatcher: Dispatcher, engines: Arc<dyn EngineApi>, clock: Clock) -> Arc<Self> {
        let (wake, woken) = bounded(1);
        let state = PoolState {
            dispatcher,
            requests: BTreeMap::new(),
            addresses: BTreeMap::new(),
            may_place_until: None,
            owner: false,
            reports: BTreeMap::new(),
        };
        let runtime = Arc::new(PoolRuntime { state: Mutex::new(state), wake, engines, clock });
        let weak = Arc::downgrade(&runtime);
        thread::spawn(move || {
            while let Some(runtime) = weak.upgrade() {
                let wait = runtime.poll();
                drop(runtime);
                wait_for_wake(&woken, wait);
            }
        });
        runtime
    }

    /// Submits a request. Its answer and its verdict are sent to [`SubmittedRequest::answer`].
    ///
    /// # Errors
    /// When the request is refused; it has not run and will not run.
    pub fn submit(&self, request: SubmittedRequest) -> Result<(), NotRun> {
        let mut state = self.lock();
        let id = request.profile.id;
        let active = ActiveRequest {
            model: request.profile.model.to_string(),
            prompt: request.prompt,
            max_output_tokens: request.profile.max_output_tokens,
            priority: request.profile.priority,
            resume_from: request.resume_from,
            answer: request.answer,
        };
        state.dispatcher.submit(request.profile, self.clock.now())?;
        state.requests.insert(id, active);
        drop(state);
        self.wake();
        Ok(())
    }

    /// Revokes a request.
    pub fn revoke(&self, request: RequestId) -> Revocation {
        let mut state = self.lock();
        let revocation = state.dispatcher.revoke(request, self.clock.now());
        if revocation == Revocation::BeforeStart {
            state.requests.remove(&request);
        }
        drop(state);
        self.wake();
        revocation
    }

    /// Replaces the engines of the pool. After `may_place_until` no request is placed until the next call: a process
    /// that resumes after a pause must not act on stale state.
    pub fn set_engines(self: &Arc<Self>, engines: Vec<EngineTarget>, may_place_until: Option<Timestamp>) {
        let mut state = self.lock();
        let addresses = engines.iter().map(|engine| (engine.slot.name.clone(), engine.address)).collect();
        let previous = std::mem::replace(&mut state.addresses, addresses);
        let new = state.addresses.keys().filter(|engine| !previous.contains_key(*engine));
        for engine in new {
            watch_engine(Arc::downgrade(self), engine.clone());
        }
        state.dispatcher.set_engines(engines.into_iter().map(|engine| engine.slot).collect());
        state.may_place_until = may_place_until;
        state.owner = true;
        drop(state);
        self.wake();
    }

    /// Returns all waiting requests to their gateways: this node no longer owns the pool. Running requests continue.
    pub fn release(&self) {
        let mut state = self.lock();
        state.owner = false;
        state.dispatcher.give_up_waiting(NotRunReason::NotOwner, self.clock.now());
        drop(state);
        self.wake();
    }

    /// Whether this node owns the pool.
    pub fn is_owner(&self) -> bool {
        self.lock().owner
    }

    /// Returns the address of an engine of the pool.
    pub fn address(&self, engine: &EngineName) -> Option<Address> {
        self.lock().addresses.get(engine).copied()
    }

    /// The adapter to engines.
    pub fn engines(&self) -> &dyn EngineApi {
        &*self.engines
    }

    /// Records an engine's load report.
    pub fn record_load(&self, engine: &EngineName, load: ReportedLoad) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.reports.insert(engine.clone(), ReportedWork { requests: load.requests, at: now - load.age });
        state.dispatcher.step(EngineEvent::Load { engine: engine.clone(), load }, now);
    }

    /// Returns the load that an engine last reported.
    pub fn reported_work(&self, engine: &EngineName) -> ReportedWork {
        self.lock().reports.get(engine).copied().unwrap_or_default()
    }

    /// Applies an engine event to the dispatcher.
    pub fn engine_event(&self, event: EngineEvent) {
        self.lock().dispatcher.step(event, self.clock.now());
    }

    /// Gives control access to read or change the dispatcher.
    pub fn with_dispatcher<Result>(&self, action: impl FnOnce(&mut Dispatcher, Timestamp) -> Result) -> Result {
        action(&mut self.lock().dispatcher, self.clock.now())
    }

    /// Returns the pool's load.
    pub fn load(&self) -> PoolLoad {
        self.lock().dispatcher.load()
    }

    /// Number of requests that wait or run.
    pub fn open_requests(&self) -> usize {
        self.lock().requests.len()
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake.try_send(());
    }

    /// Carries out the dispatcher's actions and returns the time to wait until the next poll.
    fn poll(self: &Arc<Self>) -> Duration {
        let mut state = self.lock();
        let now = self.clock.now();
        if state.may_place_until.is_some_and(|until| now >= until) {
            state.dispatcher.give_up_waiting(NotRunReason::NodeSuspended, now);
        }
        let actions = state.dispatcher.poll(now);
        for action in actions {
            self.carry_out(&mut state, action);
        }
        let next = state.dispatcher.next_poll();
        next.map_or(DISPATCHER_POLL_INTERVAL_MAXIMUM, |next| next.since(now).min(DISPATCHER_POLL_INTERVAL_MAXIMUM))
    }

    fn carry_out(self: &Arc<Self>, state: &mut PoolState, action: DispatchAction) {
        match action {
            DispatchAction::Start { request, placement, resume_from, .. } => {
                self.start_attempt(state, request, &placement, resume_from);
            }
            DispatchAction::End { request, verdict } => end_request(state, request, verdict),
            DispatchAction::Cancel { request, engine } => self.cancel(state, request, &engine),
        }
    }

    fn start_attempt(
        self: &Arc<Self>,
        state: &mut PoolState,
        request: RequestId,
        placement: &Placement,
        resume_from: u32,
    ) {
        let Some(plan) = plan_attempt(state, request, placement, resume_from) else {
            let outcome = AttemptOutcome::NotRun;
            state.dispatcher.step(EngineEvent::Ended { request, outcome }, self.clock.now());
            self.wake();
            return;
        };
        let runtime = Arc::clone(self);
        let body = move || runtime.attempt(plan);
        let spawned = thread::Builder::new().stack_size(ATTEMPT_STACK_BYTES).spawn(body);
        if spawned.is_err() {
            let outcome = AttemptOutcome::NotRun;
            state.dispatcher.step(EngineEvent::Ended { request, outcome }, self.clock.now());
            self.wake();
        }
    }

    fn attempt(self: Arc<Self>, plan: AttemptPlan) {
        let request = plan.request;
        let mut sink = DispatcherSink { runtime: &self, started: false };
        let outcome = run_attempt(&self.engines, plan, &mut sink);
        self.lock().dispatcher.step(EngineEvent::Ended { request, outcome }, self.clock.now());
        self.wake();
    }

    fn cancel(self: &Arc<Self>, state: &PoolState, request: RequestId, engine: &EngineName) {
        let Some(address) = state.addresses.get(engine).copied() else { return };
        let engines = Arc::clone(&self.engines);
        thread::spawn(move || engines.cancel(address, request));
    }
}

struct DispatcherSink<'a> {
    runtime: &'a PoolRuntime,
    started: bool,
}

impl PieceSink for DispatcherSink<'_> {
    fn prefill_done(&mut self, request: RequestId) {
        let now = self.runtime.clock.now();
        self.runtime.lock().dispatcher.step(EngineEvent::PrefillDone { request }, now);
        self.runtime.wake();
    }

    fn piece(&mut self, piece: AnswerPiece) -> bool {
        let mut state = self.runtime.lock();
        let now = self.runtime.clock.now();
        let request = piece.request;
        if !self.started {
            self.started = true;
            state.dispatcher.step(EngineEvent::FirstToken { request }, now);
        }
        state.dispatcher.step(EngineEvent::Progress { request, tokens: piece.tokens }, now);
        let Some(answer) = state.requests.get(&request).map(|active| active.answer.clone()) else { return false };
        drop(state);
        answer.send(AnswerEvent::Piece(piece)).is_ok()
    }
}

fn plan_attempt(state: &PoolState, request: RequestId, placement: &Placement, resume_from: u32) -> Option<AttemptPlan> {
    let active = state.requests.get(&request)?;
    let prefill = match &placement.prefill {
        Some(engine) => Some(*state.addresses.get(engine)?),
        None => None,
    };
    let body = GenerateRequest {
        request: request.to_string(),
        model: active.model.clone(),
        prompt: active.prompt.clone(),
        max_tokens: active.max_output_tokens,
        priority: active.priority,
        resume_from: active.resume_from + resume_from,
        import: None,
    };
    Some(AttemptPlan { request, body, prefill, decode: *state.addresses.get(&placement.decode)? })
}

fn end_request(state: &mut PoolState, request: RequestId, verdict: Verdict) {
    if let Some(active) = state.requests.remove(&request) {
        // The receiver is dropped when the caller has hung up; the verdict is then discarded.
        let _ = active.answer.try_send(AnswerEvent::End(verdict));
    }
}

fn wait_for_wake(woken: &Receiver<()>, wait: Duration) {
    // The dispatcher is polled again in both cases, wake-up and timeout.
    let _ = woken.recv_timeout(wait);
}
