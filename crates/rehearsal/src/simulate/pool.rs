//! Pools: the dispatcher of each, on the node that owns it.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::PoolControl;
use havengate_core::configuration::Configuration;
use havengate_core::control::ControlConfig;
use havengate_core::dispatch::{DispatchAction, DispatchConfig, Dispatcher, Revocation};
use havengate_core::gateway::{AttemptNumber, GatewayEvent};
use havengate_core::membership::{Incarnation, Member, rank_members};
use havengate_core::policy::{PoolLimits, RoleCounts, TrialSplitter};
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::Verdict;
use havengate_core::world::{EngineName, Pool, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::Attempt;
use super::control::new_control;
use super::error::SimulationError;
use super::event::{EngineCall, Event, GatewayIndex, PoolIndex, Submission};
use super::plan::{SimulationPlan, largest_pool};
use super::world::World;

/// A pool on its owner.
pub(super) struct PoolSite {
    pub(super) pool: Pool,
    pub(super) owner: Member,
    /// The owner's zone.
    pub(super) zone: ZoneName,
    pub(super) dispatcher: Dispatcher,
    pub(super) control: PoolControl,
    pub(super) control_config: ControlConfig,
    pub(super) limits: PoolLimits,
    pub(super) requests: BTreeMap<RequestId, ActiveRequest>,
    pub(super) attempts: BTreeMap<RequestId, Attempt>,
    pub(super) reports: BTreeMap<EngineName, ReportedWork>,
    timer: Option<Timestamp>,
}

/// A request that the dispatcher has.
pub(super) struct ActiveRequest {
    pub(super) gateway: GatewayIndex,
    pub(super) gateway_attempt: AttemptNumber,
    pub(super) profile: RequestProfile,
    pub(super) answer_tokens: u32,
    pub(super) resume_from: u32,
}

/// The work on an engine as the engine last reported it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedWork {
    pub(super) requests: u32,
    pub(super) at: Timestamp,
}

/// The pools of the deployment.
pub(super) fn pool_sites(
    plan: &SimulationPlan,
    configuration: &Configuration,
) -> Result<Vec<PoolSite>, SimulationError> {
    let largest = largest_pool(configuration).ok_or(SimulationError::NoEngines)?;
    let pools = configuration.pools().into_iter();
    pools.map(|pool| pool_site(plan, configuration, pool, &largest)).collect()
}

fn pool_site(
    plan: &SimulationPlan,
    configuration: &Configuration,
    pool: Pool,
    largest: &Pool,
) -> Result<PoolSite, SimulationError> {
    let machines = plan.deployment.machines.iter().filter(|machine| pool.zones.contains(&machine.zone));
    let members = machines.map(|machine| Member { address: machine.peers_address, incarnation: Incarnation(1) });
    let ranking = rank_members(pool.id.to_string().as_bytes(), members);
    let owner = *ranking.first().ok_or(SimulationError::NoEngines)?;
    let owns = |machine: &&crate::deployment::DeploymentMachine| machine.peers_address == owner.address;
    let zone = plan.deployment.machines.iter().find(owns).map(|machine| machine.zone.clone()).unwrap_or_default();
    let placement = TrialSplitter::new(&configuration.arms, xxh3_64(pool.id.to_string().as_bytes()) ^ plan.seed)?;
    let mut dispatcher = Dispatcher::new(DispatchConfig::default(), Box::new(placement));
    dispatcher.set_contracts(configuration.contracts.clone());
    let control_config = ControlConfig::default();
    let control = new_control(plan, configuration, &pool, largest, owner, &control_config)?;
    Ok(PoolSite {
        limits: limits(configuration, &pool),
        pool,
        owner,
        zone,
        dispatcher,
        control,
        control_config,
        requests: BTreeMap::new(),
        attempts: BTreeMap::new(),
        reports: BTreeMap::new(),
        timer: None,
    })
}

/// What a role policy is told of the pool's limits; as on a node, a pool never keeps all its engines for one floor.
pub(super) fn limits(configuration: &Configuration, pool: &Pool) -> PoolLimits {
    let model = configuration.models.iter().find(|model| model.name == pool.id.model);
    let most = u16::try_from(pool.engines.len().saturating_sub(1)).unwrap_or(u16::MAX);
    PoolLimits {
        roles: RoleCounts::default(),
        prefill_floor: model.map_or(0, |model| model.prefill_floor.min(most)),
        decode_floor: model.map_or(0, |model| model.decode_floor.min(most)),
        performance: model.map(|model| model.performance).unwrap_or_default(),
    }
}

impl World<'_> {
    /// A request has reached the dispatcher.
    pub(super) fn submit(&mut self, submission: Submission) {
        let now = self.queue.now();
        let Submission { pool, gateway, attempt, profile, answer_tokens, resume_from } = submission;
        let request = profile.id;
        let site = &mut self.pools[pool.0];
        match site.dispatcher.submit(profile.clone(), now) {
            Ok(()) => {
                let active = ActiveRequest { gateway, gateway_attempt: attempt, profile, answer_tokens, resume_from };
                site.requests.insert(request, active);
            }
            Err(refusal) => {
                let event = GatewayEvent::Ended { attempt, verdict: Verdict::NotRun(refusal) };
                self.tell_gateway(pool, gateway, request, event);
            }
        }
        self.poll_pool(pool);
    }

    /// A revocation has reached the dispatcher.
    pub(super) fn revoke(
        &mut self,
        pool: PoolIndex,
        request: RequestId,
        attempt: AttemptNumber,
        gateway: GatewayIndex,
    ) {
        let now = self.queue.now();
        let site = &mut self.pools[pool.0];
        let revocation = site.dispatcher.revoke(request, now);
        if revocation == Revocation::BeforeStart {
            site.requests.remove(&request);
        }
        let event = GatewayEvent::Revoked { attempt, from: site.owner, revocation };
        self.tell_gateway(pool, gateway, request, event);
        self.poll_pool(pool);
    }

    pub(super) fn pool_timer(&mut self, pool: PoolIndex) {
        if self.pools[pool.0].timer.is_some_and(|at| at <= self.queue.now()) {
            self.pools[pool.0].timer = None;
            self.poll_pool(pool);
        }
    }

    /// Carries out what the dispatcher wants, and makes sure that it is polled again in time.
    pub(super) fn poll_pool(&mut self, pool: PoolIndex) {
        let now = self.queue.now();
        for action in self.pools[pool.0].dispatcher.poll(now) {
            match action {
                DispatchAction::Start { request, placement, resume_from, .. } => {
                    self.start_attempt(pool, request, placement, resume_from);
                }
                DispatchAction::End { request, verdict } => self.end_request(pool, request, verdict),
                DispatchAction::Cancel { request, engine } => {
                    self.call_engine(pool, &engine, EngineCall::Cancel(request));
                }
            }
        }
        let site = &mut self.pools[pool.0];
        if let Some(at) = site.dispatcher.next_poll().filter(|at| site.timer.is_none_or(|timer| *at < timer)) {
            site.timer = Some(at);
            self.queue.at(at, Event::PoolTimer(pool));
        }
    }

    fn end_request(&mut self, pool: PoolIndex, request: RequestId, verdict: Verdict) {
        if let Some(active) = self.pools[pool.0].requests.remove(&request) {
            let event = GatewayEvent::Ended { attempt: active.gateway_attempt, verdict };
            self.tell_gateway(pool, active.gateway, request, event);
        }
    }

    /// Sends an event to a gateway. The end of a request brings the pool's load, when it comes from another node.
    pub(super) fn tell_gateway(
        &mut self,
        pool: PoolIndex,
        gateway: GatewayIndex,
        request: RequestId,
        event: GatewayEvent,
    ) {
        let site = &self.pools[pool.0];
        let remote = self.gateways[gateway.0].member != site.owner;
        let ends = matches!(event, GatewayEvent::Ended { .. });
        let load = (remote && ends).then(|| site.dispatcher.load());
        let latency: Duration = self.latency(&site.zone, &self.gateways[gateway.0].zone);
        self.queue.after(latency, Event::ToGateway { request, event, load });
    }
}
