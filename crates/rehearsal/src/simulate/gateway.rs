//! Gateways: they take a request through dispatchers to its verdict, as `havengate_node::traffic::Gateway` does.
//!
//! A node has threads where this has events. One thing is left out: a request that no dispatcher took is not offered
//! again after the pool has changed hands, since pools keep their owners here.

use fastrand::Rng;
use havengate_core::dispatch::{RetryBudget, RetryBudgetConfig};
use havengate_core::gateway::{
    AttemptNumber, GatewayAction, GatewayConfig, GatewayEvent, GatewayRequest, PoolLoad, PoolOption, PoolPicker, Target,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::world::ZoneName;

use super::event::{Event, GatewayIndex, PoolIndex, Submission};
use super::plan::SimulationPlan;
use super::world::World;

/// The gateway on one machine.
pub(super) struct GatewaySite {
    pub(super) zone: ZoneName,
    pub(super) member: Member,
    picker: PoolPicker,
    budget: RetryBudget,
}

/// The gateways of the deployment.
pub(super) fn gateway_sites(plan: &SimulationPlan, random: &mut Rng) -> Vec<GatewaySite> {
    let sites = plan.deployment.machines.iter().map(|machine| GatewaySite {
        zone: machine.zone.clone(),
        member: Member { address: machine.peers_address, incarnation: Incarnation(1) },
        picker: PoolPicker::new(GatewayConfig::default(), random.u64(..)),
        budget: RetryBudget::new(RetryBudgetConfig::default()),
    });
    sites.collect()
}

/// A request without a verdict.
pub(super) struct OpenRequest {
    pub(super) client: usize,
    gateway: GatewayIndex,
    profile: RequestProfile,
    answer_tokens: u32,
    repeatable: bool,
    /// Present from its arrival at the gateway on.
    machine: Option<GatewayRequest>,
    deadline: Timestamp,
    timer: Option<Timestamp>,
}

impl OpenRequest {
    pub(super) fn new(
        client: usize,
        gateway: GatewayIndex,
        profile: RequestProfile,
        answer_tokens: u32,
        repeatable: bool,
    ) -> Self {
        let deadline = Timestamp::ZERO;
        OpenRequest { client, gateway, profile, answer_tokens, repeatable, machine: None, deadline, timer: None }
    }
}

impl World<'_> {
    /// Lets the gateway do what is due for a request.
    pub(super) fn work_on_request(&mut self, request: RequestId) {
        let now = self.queue.now();
        let Some(mut open) = self.open.remove(&request) else { return };
        let mut machine = match open.machine.take() {
            Some(machine) => machine,
            None => self.begin(&mut open),
        };
        let actions = machine.poll(&mut self.gateways[open.gateway.0].budget, now);
        let next = machine.next_poll();
        open.machine = Some(machine);
        for action in actions {
            if !self.carry_out(action, &open) {
                return;
            }
        }
        if let Some(at) = next.filter(|at| open.timer.is_none_or(|timer| timer <= now || *at < timer)) {
            open.timer = Some(at);
            self.queue.at(at, Event::GatewayTimer(request));
        }
        self.open.insert(request, open);
    }

    /// Something has come about a request; the pool's load comes with it when the dispatcher is on another node.
    pub(super) fn gateway_event(&mut self, request: RequestId, event: GatewayEvent, load: Option<PoolLoad>) {
        let now = self.queue.now();
        let Some(open) = self.open.get_mut(&request) else { return };
        if let Some(load) = load
            && let Some(pool) = self.pools.iter().find(|pool| pool.pool.id.model == open.profile.model)
        {
            self.gateways[open.gateway.0].picker.observe(&pool.pool.id, load, now);
        }
        if let Some(machine) = &mut open.machine {
            machine.step(event, now);
        }
        self.work_on_request(request);
    }

    fn begin(&mut self, open: &mut OpenRequest) -> GatewayRequest {
        let now = self.queue.now();
        open.deadline = now + open.profile.time_left;
        let targets = self.rank(open);
        GatewayRequest::new(GatewayConfig::default(), &open.profile, open.repeatable, targets, now)
    }

    fn rank(&mut self, open: &OpenRequest) -> Vec<Target> {
        let zone = self.gateways[open.gateway.0].zone.clone();
        let serving = self.pools.iter().filter(|pool| pool.pool.id.model == open.profile.model);
        let options: Vec<PoolOption> = serving
            .map(|pool| PoolOption {
                pool: pool.pool.id.clone(),
                latency: pool.pool.zones.iter().map(|other| self.latency(&zone, other)).min().unwrap_or_default(),
                engines: u16::try_from(pool.pool.engines.len()).unwrap_or(u16::MAX),
                performance: pool.limits.performance,
                dispatchers: vec![pool.owner],
            })
            .collect();
        self.gateways[open.gateway.0].picker.rank(&open.profile, &options, self.queue.now())
    }

    /// Carries out an action; `false` when the request has ended.
    fn carry_out(&mut self, action: GatewayAction, open: &OpenRequest) -> bool {
        let now = self.queue.now();
        let at_client = now + self.plan.deployment.client_latency;
        match action {
            GatewayAction::Forward { attempt, target, resume_from, time_left } => {
                self.forward(open, attempt, &target, resume_from, time_left);
            }
            GatewayAction::Revoke { attempt, peer } => self.send_revocation(open, attempt, peer),
            GatewayAction::Deliver(piece) => self.clients[open.client].receive(&piece, at_client),
            GatewayAction::Finish(verdict) => {
                self.clients[open.client].verdicts.push(verdict);
                return false;
            }
        }
        true
    }

    fn forward(
        &mut self,
        open: &OpenRequest,
        attempt: AttemptNumber,
        target: &Target,
        resume_from: u32,
        time_left: std::time::Duration,
    ) {
        let Some(place) = self.pools.iter().position(|pool| pool.pool.id == target.pool) else { return };
        let latency = self.latency(&self.gateways[open.gateway.0].zone, &self.pools[place].zone);
        let submission = Submission {
            pool: PoolIndex(place),
            gateway: open.gateway,
            attempt,
            profile: RequestProfile { time_left, ..open.profile.clone() },
            answer_tokens: open.answer_tokens,
            resume_from,
        };
        self.queue.after(latency, Event::Submit(Box::new(submission)));
    }

    fn send_revocation(&mut self, open: &OpenRequest, attempt: AttemptNumber, peer: Member) {
        let request = open.profile.id;
        let serves = |pool: &super::pool::PoolSite| pool.owner == peer && pool.pool.id.model == open.profile.model;
        let Some(place) = self.pools.iter().position(serves) else { return };
        let latency = self.latency(&self.gateways[open.gateway.0].zone, &self.pools[place].zone);
        let revocation = Event::Revoke { pool: PoolIndex(place), request, attempt, gateway: open.gateway };
        self.queue.after(latency, revocation);
    }
}
