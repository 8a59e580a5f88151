//! The gateway: sends a caller's request to the dispatchers of its model until it has a final verdict.

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

/// How often a request that waits for a hand-over checks for a new owner.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stream waits for its next event before it checks whether its caller has hung up. A hang-up interrupts the
/// wait for a dispatcher on this node at once; over a connection it is detected after this time. Each check wakes a
/// thread, and a node has hundreds of streams with 56 ms between tokens, so the timeout is longer than that.
const EVENT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a request that no dispatcher accepted waits for a new owner of the pool. It covers the time to detect a
/// dead owner; a longer wait would only delay the caller's answer.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay that a caller is given if no dispatcher accepted the request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of a request's first attempt; later attempts are retries.
const FIRST_ATTEMPT: AttemptNumber = AttemptNumber(1);

/// Dependencies of a gateway.
pub struct GatewayParts {
    /// The current snapshot of the control state.
    pub snapshot: SharedSnapshot,
    /// Opens hops to dispatchers.
    pub hops: Hops,
    /// Claims of keys and permits of tenants.
    pub admission: Arc<Admission>,
    /// The zone of this node.
    pub zone: ZoneName,
    /// Seed of the random choices, so that they are repeatable.
    pub seed: u64,
    /// The node's clock.
    pub clock: Clock,
    /// Counts retries and revocations.
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

/// A request that the gateway is serving.
struct RequestContext<'a> {
    request: CallerRequest,
    deadline: Timestamp,
    answer: &'a mut dyn AnswerSink,
    hang_up: &'a HangUp,
}

/// An open hop and the pool that it leads to.
struct OpenHop {
    hop: Hop,
    pool: PoolId,
}

impl Gateway {
    /// Creates a gateway.
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

    /// Dispatches the request until it has a verdict; a request with a key only after the key is claimed.
    fn claim_and_dispatch(&self, request: CallerRequest, answer: &mut RecordingSink<'_>, hang_up: &HangUp) -> Verdict {
        let deadline = self.clock.now() + request.profile.time_left;
        let id = request.profile.id;
        let Some(key) = request.profile.key.clone() else {
            return self.dispatch(&mut RequestContext { request, deadline, answer, hang_up });
        };
        let claim = self.admission.claim(key, id, deadline, hang_up);
        self.count_claim(&claim);
        match claim {
            Ok(claimed) => {
                let verdict = self.dispatch(&mut RequestContext { request, deadline, answer, hang_up });
                self.admission.record(claimed, answer.outcome(verdict.clone()));
                verdict
            }
            Err(ClaimOutcome::Repeated(earlier)) => replay(earlier, id, answer),
            Err(ClaimOutcome::Refused(refusal)) => Verdict::NotRun(refusal),
            // Unreachable: a claim that was won is returned as `Ok`.
            Err(ClaimOutcome::Won) => Verdict::NotRun(NotRun::new(NotRunReason::KeyUnclaimable)),
        }
    }

    fn count_claim(&self, claim: &Result<ClaimedKey, ClaimOutcome>) {
        let outcome =
            claim.as_ref().map_or_else(OutcomeLabel::of_claim, |_| OutcomeLabel::of_claim(&ClaimOutcome::Won));
        self.metrics.claims.get_or_create(&outcome).inc();
    }

    /// Dispatches the request until it has a verdict. While its pool changes owners, it is offered to each new owner.
    fn dispatch(&self, context: &mut RequestContext<'_>) -> Verdict {
        let wait_until = self.hand_over_deadline(context);
        loop {
            let snapshot = self.snapshot.load_full();
            if let Some(reason) = snapshot.refuses(self.clock.now()) {
                return Verdict::NotRun(NotRun::retry_after(reason, RETRY_AFTER));
            }
            let targets = self.rank(&snapshot, &context.request.profile);
            let verdict = self.try_targets(&snapshot, targets, context);
            let Verdict::NotRun(refusal) = &verdict else { return verdict };
            let owner_may_change = indicates_owner_change(refusal.reason);
            if !owner_may_change || !self.await_new_owners(&snapshot, context, wait_until) {
                return verdict;
            }
            self.metrics.gateway_retries.inc();
        }
    }

    /// Until when the request may wait for a new owner of its pool. Never beyond its contract's time to the first
    /// token: an answer after that is useless, and the caller must be asked to retry instead.
    fn hand_over_deadline(&self, context: &RequestContext<'_>) -> Timestamp {
        let snapshot = self.snapshot.load();
        let contract = snapshot.directory.contract(&context.request.profile.contract);
        let first_token_within = contract.map_or(HAND_OVER_TIMEOUT, |contract| contract.first_token_within);
        (self.clock.now() + HAND_OVER_TIMEOUT.min(first_token_within)).min(context.deadline)
    }

    fn rank(&self, snapshot: &ControlSnapshot, profile: &RequestProfile) -> Vec<Target> {
        let routes = snapshot.routes_of(&profile.model);
        let options: Vec<PoolOption> = routes.map(|route| self.pool_option(snapshot, route)).collect();
        let mut picker = self.picker.lock().unwrap_or_else(PoisonError::into_inner);
        picker.rank(profile, &options, self.clock.now())
    }

    fn pool_option(&self, snapshot: &ControlSnapshot, route: &PoolRoute) -> PoolOption {
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

    fn try_targets(
        &self,
        snapshot: &ControlSnapshot,
        targets: Vec<Target>,
        context: &mut RequestContext<'_>,
    ) -> Verdict {
        let contract = &context.request.profile.contract;
        let repeatable = snapshot.directory.contract(contract).is_some_and(|contract| contract.repeatable);
        let profile = self.profile_now(context);
        let now = self.clock.now();
        let mut machine = GatewayRequest::new(self.config.clone(), &profile, repeatable, targets, now);
        let mut open = None;
        loop {
            for action in self.poll(&mut machine) {
                if let Some(verdict) = self.carry_out(action, &mut machine, &mut open, snapshot, context) {
                    return verdict;
                }
            }
            self.wait_for_event(&mut machine, &mut open, context);
        }
    }

    fn poll(&self, machine: &mut GatewayRequest) -> Vec<GatewayAction> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        machine.poll(&mut budget, self.clock.now())
    }

    /// Carries out an action; returns the verdict when the request has ended.
    fn carry_out(
        &self,
        action: GatewayAction,
        machine: &mut GatewayRequest,
        open: &mut Option<OpenHop>,
        snapshot: &ControlSnapshot,
        context: &mut RequestContext<'_>,
    ) -> Option<Verdict> {
        match action {
            GatewayAction::Forward { attempt, target, resume_from, time_left } => {
                *open = None;
                if attempt > FIRST_ATTEMPT {
                    self.metrics.gateway_retries.inc();
                }
                let profile = RequestProfile { time_left, ..context.request.profile.clone() };
                let request = HopRequest { profile, prompt: context.request.prompt.clone(), resume_from };
                match self.hops.open(attempt, &target, snapshot.me, request) {
                    Ok(hop) => *open = Some(OpenHop { hop, pool: target.pool }),
                    Err(event) => machine.step(event, self.clock.now()),
                }
                None
            }
            GatewayAction::Revoke { attempt, peer } => {
                let request = context.request.profile.id;
                let event = self.hops.revoke(attempt, peer, snapshot.me, request);
                self.metrics.revocations.get_or_create(&OutcomeLabel::of_revocation(revocation_result(&event))).inc();
                *open = None;
                machine.step(event, self.clock.now());
                None
            }
            GatewayAction::Deliver(piece) => {
                if context.answer.piece(piece).is_err() {
                    machine.step(GatewayEvent::CallerGone, self.clock.now());
                }
                None
            }
            GatewayAction::Finish(verdict) => Some(verdict),
        }
    }

    fn wait_for_event(&self, machine: &mut GatewayRequest, open: &mut Option<OpenHop>, context: &RequestContext<'_>) {
        if context.hang_up.is_set() {
            return machine.step(GatewayEvent::CallerGone, self.clock.now());
        }
        let Some(mut current) = open.take() else { return };
        let wait = self.wait_until_poll(machine);
        match current.hop.receive(wait, context.hang_up) {
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

    /// How long to wait for an event: at most until the state machine's next poll.
    fn wait_until_poll(&self, machine: &GatewayRequest) -> Duration {
        let next = machine.next_poll().map(|next| next.since(self.clock.now()));
        next.map_or(EVENT_TIMEOUT, |next| next.min(EVENT_TIMEOUT))
    }

    fn observe(&self, pool: &PoolId, load: Option<PoolLoad>) {
        if let Some(load) = load {
            let mut picker = self.picker.lock().unwrap_or_else(PoisonError::into_inner);
            picker.observe(pool, load, self.clock.now());
        }
    }

    /// Waits until a pool of the model has another owner than in `snapshot`; returns `false` if none has by `until`.
    fn await_new_owners(&self, snapshot: &ControlSnapshot, context: &RequestContext<'_>, until: Timestamp) -> bool {
        let model = &context.request.profile.model;
        let owners = |snapshot: &ControlSnapshot| -> Vec<_> {
            snapshot.routes_of(model).map(|route| route.owners.first().copied()).collect()
        };
        let tried = owners(snapshot);
        while self.clock.now() < until && !context.hang_up.is_set() {
            if owners(&self.snapshot.load()) != tried {
                return true;
            }
            thread::sleep(OWNER_CHECK_INTERVAL);
        }
        false
    }

    fn profile_now(&self, context: &RequestContext<'_>) -> RequestProfile {
        let time_left = context.deadline.since(self.clock.now());
        RequestProfile { time_left, ..context.request.profile.clone() }
    }
}

/// Replays the outcome of the earlier request with the same key.
fn replay(earlier: RecordedOutcome, request: RequestId, answer: &mut dyn AnswerSink) -> Verdict {
    answer.replayed();
    match (earlier.verdict, earlier.answer) {
        (Verdict::Completed, Some(recorded)) => {
            // A caller that has hung up does not get the answer; the verdict is still correct.
            let _ = answer.piece(recorded.into_piece(request));
            Verdict::Completed
        }
        // The request has run, but its answer was too long to be recorded.
        _ => Verdict::MayHaveRun(MayHaveRun::KeyUsed),
    }
}

/// Returns the result of a revocation; `None` when its reply is lost.
fn revocation_result(event: &GatewayEvent) -> Option<Revocation> {
    match event {
        GatewayEvent::Revoked { revocation, .. } => Some(*revocation),
        _ => None,
    }
}

/// Whether a refusal may come from a pool whose owner is changing.
fn indicates_owner_change(reason: NotRunReason) -> bool {
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
        let verdict = self.claim_and_dispatch(request, &mut recording, hang_up);
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
