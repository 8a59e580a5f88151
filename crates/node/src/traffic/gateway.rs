//! The gateway: takes a caller's request through the dispatchers of its model to the final verdict.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use havengate_core::claims::{ClaimOutcome, RecordedOutcome};
use havengate_core::control::link_latency;
use havengate_core::dispatch::{RetryBudget, RetryBudgetConfig, Revocation};
use havengate_core::gateway::{
    AttemptNumber, GatewayAction, GatewayConfig, GatewayEvent, GatewayRequest, PoolLoad, PoolOption, PoolPicker, Target,
};
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_core::world::{PoolId, ZoneName};

use super::hop::{Hop, HopEvent, HopRequest, Hops};
use crate::admission::{Admission, ClaimedKey, RecordingSink};
use crate::callers::{AnswerSink, CallerDirectory, CallerRequest, Readiness, RequestHandler};
use crate::clock::Clock;
use crate::control::{ControlSnapshot, PoolRoute, SharedSnapshot};
use crate::http_server::HangUp;
use crate::metrics::{Metrics, OutcomeLabel};

/// How often a request that waits for a hand-over looks for a new owner.
const CHECK_EVERY: Duration = Duration::from_millis(20);

/// How long a stream waits for its next event before it looks whether its caller has hung up. A hang-up wakes the wait
/// for a dispatcher on this node at once; over a connection it is noticed after this time. Each look wakes a thread, and
/// a node has hundreds of streams whose tokens come 56 ms apart, so it is longer than that.
const EVENT_WAIT: Duration = Duration::from_millis(100);

/// How long a request that no dispatcher took waits for the pool to change hands. It covers the time in which a dead
/// owner is noticed; longer waits would only keep the caller from an answer.
const HAND_OVER_PATIENCE: Duration = Duration::from_secs(5);

/// When a caller is told to come back if no dispatcher took the request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The first dispatcher that a request is sent to; those after it are retries.
const FIRST_ATTEMPT: AttemptNumber = AttemptNumber(1);

/// What a gateway works with.
pub struct GatewayParts {
    /// Control's state.
    pub snapshot: SharedSnapshot,
    /// The ways to dispatchers.
    pub hops: Hops,
    /// Claims of keys and permits of tenants.
    pub admission: Arc<Admission>,
    /// The zone of this node.
    pub zone: ZoneName,
    /// Makes random choices repeatable.
    pub seed: u64,
    /// The node's clock.
    pub clock: Clock,
    /// Where retries and revocations are counted.
    pub metrics: Arc<Metrics>,
}

/// Serves callers' requests.
pub struct Gateway {
    snapshot: SharedSnapshot,
    hops: Hops,
    admission: Arc<Admission>,
    zone: ZoneName,
    clock: Clock,
    metrics: Arc<Metrics>,
    config: GatewayConfig,
    picker: Mutex<PoolPicker>,
    budget: Mutex<RetryBudget>,
}

/// A request on its way through the gateway.
struct Passage<'a> {
    request: CallerRequest,
    deadline: Timestamp,
    answer: &'a mut dyn AnswerSink,
    hang_up: &'a HangUp,
}

/// The hop that is open, and where it leads.
struct OpenHop {
    hop: Hop,
    pool: PoolId,
}

impl Gateway {
    /// A gateway.
    pub fn new(parts: GatewayParts) -> Self {
        let config = GatewayConfig::default();
        Gateway {
            snapshot: parts.snapshot,
            hops: parts.hops,
            admission: parts.admission,
            zone: parts.zone,
            clock: parts.clock,
            metrics: parts.metrics,
            picker: Mutex::new(PoolPicker::new(config.clone(), parts.seed)),
            config,
            budget: Mutex::new(RetryBudget::new(RetryBudgetConfig::default())),
        }
    }

    /// Takes the request to its verdict; one with a key only after its key was claimed.
    fn pass_once(&self, request: CallerRequest, answer: &mut RecordingSink<'_>, hang_up: &HangUp) -> Verdict {
        let deadline = self.clock.now() + request.profile.time_left;
        let id = request.profile.id;
        let Some(key) = request.profile.key.clone() else {
            return self.pass(&mut Passage { request, deadline, answer, hang_up });
        };
        let claim = self.admission.claim(key, id, deadline, hang_up);
        self.count_claim(&claim);
        match claim {
            Ok(claimed) => {
                let verdict = self.pass(&mut Passage { request, deadline, answer, hang_up });
                self.admission.record(claimed, answer.outcome(verdict.clone()));
                verdict
            }
            Err(ClaimOutcome::Repeated(earlier)) => replay(earlier, id, answer),
            Err(ClaimOutcome::Refused(refusal)) => Verdict::NotRun(refusal),
            // A claim that was won is no error.
            Err(ClaimOutcome::Won) => Verdict::NotRun(NotRun::new(NotRunReason::KeyUnclaimable)),
        }
    }

    fn count_claim(&self, claim: &Result<ClaimedKey, ClaimOutcome>) {
        let outcome =
            claim.as_ref().map_or_else(OutcomeLabel::of_claim, |_| OutcomeLabel::of_claim(&ClaimOutcome::Won));
        self.metrics.claims.get_or_create(&outcome).inc();
    }

    /// Takes the request to its verdict. While its pool changes hands, it is offered to each new owner.
    fn pass(&self, passage: &mut Passage<'_>) -> Verdict {
        let patience = self.patience(passage);
        loop {
            let snapshot = self.snapshot.load_full();
            if let Some(reason) = snapshot.refuses(self.clock.now()) {
                return Verdict::NotRun(NotRun::retry_after(reason, RETRY_AFTER));
            }
            let targets = self.rank(&snapshot, &passage.request.profile);
            let verdict = self.try_targets(&snapshot, targets, passage);
            let Verdict::NotRun(refusal) = &verdict else { return verdict };
            let may_change_hands = changes_hands(refusal.reason);
            if !may_change_hands || !self.await_new_owners(&snapshot, passage, patience) {
                return verdict;
            }
            self.metrics.gateway_retries.inc();
        }
    }

    /// Until when the request may wait for its pool to change hands: never beyond its contract's time to the first
    /// token, since later it is of no use and its caller must be told to come back.
    fn patience(&self, passage: &Passage<'_>) -> Timestamp {
        let snapshot = self.snapshot.load();
        let contract = snapshot.directory.contract(&passage.request.profile.contract);
        let first_token_within = contract.map_or(HAND_OVER_PATIENCE, |contract| contract.first_token_within);
        (self.clock.now() + HAND_OVER_PATIENCE.min(first_token_within)).min(passage.deadline)
    }

    fn rank(&self, snapshot: &ControlSnapshot, profile: &RequestProfile) -> Vec<Target> {
        let routes = snapshot.routes_of(&profile.model);
        let options: Vec<PoolOption> = routes.map(|route| self.option(snapshot, route)).collect();
        let mut picker = self.picker.lock().unwrap_or_else(PoisonError::into_inner);
        picker.rank(profile, &options, self.clock.now())
    }

    fn option(&self, snapshot: &ControlSnapshot, route: &PoolRoute) -> PoolOption {
        let configuration = &snapshot.configuration;
        let latency = |zone: &ZoneName| link_latency(configuration, &self.zone, zone);
        let model = configuration.models.iter().find(|model| model.name == route.pool.id.model);
        PoolOption {
            pool: route.pool.id.clone(),
            latency: route.pool.zones.iter().map(latency).min().unwrap_or_default(),
            engines: u16::try_from(route.pool.engines.len()).unwrap_or(u16::MAX),
            performance: model.map(|model| model.performance).unwrap_or_default(),
            dispatchers: route.owners.clone(),
        }
    }

    fn try_targets(&self, snapshot: &ControlSnapshot, targets: Vec<Target>, passage: &mut Passage<'_>) -> Verdict {
        let contract = &passage.request.profile.contract;
        let repeatable = snapshot.directory.contract(contract).is_some_and(|contract| contract.repeatable);
        let profile = self.profile_now(passage);
        let now = self.clock.now();
        let mut machine = GatewayRequest::new(self.config.clone(), &profile, repeatable, targets, now);
        let mut open = None;
        loop {
            for action in self.poll(&mut machine) {
                if let Some(verdict) = self.carry_out(action, &mut machine, &mut open, snapshot, passage) {
                    return verdict;
                }
            }
            self.wait_for_event(&mut machine, &mut open, passage);
        }
    }

    fn poll(&self, machine: &mut GatewayRequest) -> Vec<GatewayAction> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        machine.poll(&mut budget, self.clock.now())
    }

    /// Carries out an action; the verdict when the request has ended.
    fn carry_out(
        &self,
        action: GatewayAction,
        machine: &mut GatewayRequest,
        open: &mut Option<OpenHop>,
        snapshot: &ControlSnapshot,
        passage: &mut Passage<'_>,
    ) -> Option<Verdict> {
        match action {
            GatewayAction::Forward { attempt, target, resume_from, time_left } => {
                *open = None;
                if attempt > FIRST_ATTEMPT {
                    self.metrics.gateway_retries.inc();
                }
                let profile = RequestProfile { time_left, ..passage.request.profile.clone() };
                let request = HopRequest { profile, prompt: passage.request.prompt.clone(), resume_from };
                match self.hops.open(attempt, &target, snapshot.me, request) {
                    Ok(hop) => *open = Some(OpenHop { hop, pool: target.pool }),
                    Err(event) => machine.step(event, self.clock.now()),
                }
                None
            }
            GatewayAction::Revoke { attempt, peer } => {
                let request = passage.request.profile.id;
                let event = self.hops.revoke(attempt, peer, snapshot.me, request);
                self.metrics.revocations.get_or_create(&OutcomeLabel::of_revocation(found(&event))).inc();
                *open = None;
                machine.step(event, self.clock.now());
                None
            }
            GatewayAction::Deliver(piece) => {
                if passage.answer.piece(piece).is_err() {
                    machine.step(GatewayEvent::CallerGone, self.clock.now());
                }
                None
            }
            GatewayAction::Finish(verdict) => Some(verdict),
        }
    }

    fn wait_for_event(&self, machine: &mut GatewayRequest, open: &mut Option<OpenHop>, passage: &Passage<'_>) {
        if passage.hang_up.is_set() {
            return machine.step(GatewayEvent::CallerGone, self.clock.now());
        }
        let Some(mut current) = open.take() else { return };
        let wait = self.wait_until_poll(machine);
        match current.hop.receive(wait, passage.hang_up) {
            HopEvent::Silent => *open = Some(current),
            HopEvent::Event(event, load) => {
                self.observe(&current.pool, load);
                let ended = matches!(event, GatewayEvent::Ended { .. } | GatewayEvent::Lost { .. });
                let reusable = matches!(event, GatewayEvent::Ended { .. });
                machine.step(event, self.clock.now());
                if !ended {
                    *open = Some(current);
                } else if reusable {
                    self.hops.close(current.hop);
                }
            }
        }
    }

    /// How long the machine can wait for an event: until its deadline at most.
    fn wait_until_poll(&self, machine: &GatewayRequest) -> Duration {
        let next = machine.next_poll().map(|next| next.since(self.clock.now()));
        next.map_or(EVENT_WAIT, |next| next.min(EVENT_WAIT))
    }

    fn observe(&self, pool: &PoolId, load: Option<PoolLoad>) {
        if let Some(load) = load {
            let mut picker = self.picker.lock().unwrap_or_else(PoisonError::into_inner);
            picker.observe(pool, load, self.clock.now());
        }
    }

    /// Waits until a pool of the model has other owners than in `snapshot`; `false` when none has in time.
    fn await_new_owners(&self, snapshot: &ControlSnapshot, passage: &Passage<'_>, until: Timestamp) -> bool {
        let model = &passage.request.profile.model;
        let owners = |snapshot: &ControlSnapshot| -> Vec<_> {
            snapshot.routes_of(model).map(|route| route.owners.first().copied()).collect()
        };
        let tried = owners(snapshot);
        while self.clock.now() < until && !passage.hang_up.is_set() {
            if owners(&self.snapshot.load()) != tried {
                return true;
            }
            thread::sleep(CHECK_EVERY);
        }
        false
    }

    fn profile_now(&self, passage: &Passage<'_>) -> RequestProfile {
        let time_left = passage.deadline.since(self.clock.now());
        RequestProfile { time_left, ..passage.request.profile.clone() }
    }
}

/// Gives the outcome of the earlier request with the same key.
fn replay(earlier: RecordedOutcome, request: RequestId, answer: &mut dyn AnswerSink) -> Verdict {
    answer.replayed();
    match (earlier.verdict, earlier.answer) {
        (Verdict::Completed, Some(recorded)) => {
            // A caller that has hung up does not get the answer; the verdict stays true.
            let _ = answer.piece(recorded.into_piece(request));
            Verdict::Completed
        }
        // The request has run, but its answer was too long to be kept.
        _ => Verdict::MayHaveRun(MayHaveRun::KeyUsed),
    }
}

/// What a revocation found; `None` when its answer is lost.
fn found(event: &GatewayEvent) -> Option<Revocation> {
    match event {
        GatewayEvent::Revoked { revocation, .. } => Some(*revocation),
        _ => None,
    }
}

/// Whether a refusal may come from a pool that is changing hands.
fn changes_hands(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::DispatcherUnreachable
            | NotRunReason::NodeLeaving
            | NotRunReason::NodeSuspended
            | NotRunReason::NotOwner
    )
}

impl RequestHandler for Gateway {
    fn submit(&self, request: CallerRequest, answer: &mut dyn AnswerSink, hang_up: &HangUp) -> Verdict {
        let tenant = request.profile.tenant.clone();
        let work = request.profile.prompt_tokens.saturating_add(request.profile.max_output_tokens);
        let permit = match self.admission.admit(&tenant, work, hang_up) {
            Ok(permit) => permit,
            Err(refusal) => return Verdict::NotRun(refusal),
        };
        let prompt_tokens = request.profile.prompt_tokens;
        let mut recording = RecordingSink::new(answer, self.admission.answer_bytes_maximum());
        let verdict = self.pass_once(request, &mut recording, hang_up);
        let used = match verdict {
            Verdict::NotRun(_) => 0,
            Verdict::Completed | Verdict::MayHaveRun(_) => prompt_tokens.saturating_add(recording.tokens()),
        };
        self.admission.release(permit, used);
        verdict
    }

    fn directory(&self) -> Arc<CallerDirectory> {
        Arc::clone(&self.snapshot.load().directory)
    }

    fn readiness(&self) -> Readiness {
        self.snapshot.load().readiness
    }
}
