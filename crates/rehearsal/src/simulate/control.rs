//! The control of each pool: the real authority, role policy and role changes, with the stand-in's store behind it.

use havengate_core::authority::{
    AuthorityAction, AuthorityInput, EngineActivity, EngineSpecification, EngineTarget, PoolActivity, PoolControl,
    PoolObservation, RoleFloors,
};
use havengate_core::configuration::Configuration;
use havengate_core::control::ControlConfig;
use havengate_core::dispatch::{EngineAvailability, EngineSlot};
use havengate_core::membership::Member;
use havengate_core::policy::{RolePolicy, role_policy};
use havengate_core::store::{StoreReply, StoreRequest};
use havengate_core::time::Timestamp;
use havengate_core::world::{Engine, EngineName, Pool};

use super::error::SimulationError;
use super::event::{ControlReply, EngineCall, EngineIndex, Event, PoolIndex};
use super::plan::{RoleSource, SimulationPlan};
use super::pool::limits;
use super::world::World;
use crate::platform::model::PlatformEvent;

/// The control of a pool on its owner, which no other node contends with.
pub(super) fn new_control(
    plan: &SimulationPlan,
    configuration: &Configuration,
    pool: &Pool,
    largest: &Pool,
    owner: Member,
    config: &ControlConfig,
) -> Result<PoolControl, SimulationError> {
    let now = Timestamp::ZERO;
    let limits = limits(configuration, pool);
    let floors = RoleFloors { prefill: limits.prefill_floor, decode: limits.decode_floor };
    let mut control = PoolControl::new(config.pool.clone(), pool.id.clone(), owner, now);
    control.set_engines(specifications(configuration, pool), floors, now);
    control.set_policy(policy(plan, pool, largest)?);
    control.step(AuthorityInput::OwnerRanking(vec![owner]), now);
    Ok(control)
}

fn policy(plan: &SimulationPlan, pool: &Pool, largest: &Pool) -> Result<Option<Box<dyn RolePolicy>>, SimulationError> {
    let choice = match &plan.roles {
        Some(RoleSource::Schedule(schedule)) if pool.id == largest.id => return Ok(Some(Box::new(schedule.clone()))),
        Some(RoleSource::Schedule(_)) => None,
        Some(RoleSource::Policy(choice)) => Some(choice),
        None => plan.configured_policy(),
    };
    Ok(choice.map(role_policy).transpose()?)
}

fn specifications(configuration: &Configuration, pool: &Pool) -> Vec<EngineSpecification> {
    let version = |engine: &Engine| {
        let model = configuration.models.iter().find(|model| model.name == engine.model);
        model.map(|model| model.version).unwrap_or_default()
    };
    let engines = configuration.engines.iter().filter(|engine| pool.engines.contains(&engine.name));
    engines
        .map(|engine| EngineSpecification {
            engine: engine.name.clone(),
            target: EngineTarget {
                role: engine.role,
                model: engine.model.clone(),
                version: version(engine),
                adapter: engine.adapter.clone(),
            },
        })
        .collect()
}

impl World<'_> {
    /// Hands engines to the dispatcher and its work to control, in this order, as the publisher of a node does.
    pub(super) fn pool_tick(&mut self, pool: PoolIndex) {
        let now = self.queue.now();
        self.queue.after(self.pools[pool.0].control_config.pool_tick_interval, Event::PoolTick(pool));
        let slots = self.slots(pool, now);
        let site = &mut self.pools[pool.0];
        site.dispatcher.set_engines(slots);
        let observation = self.observe(pool, now);
        let site = &mut self.pools[pool.0];
        site.control.observe(observation);
        site.control.tick(now);
        self.carry_out_control(pool);
        self.poll_pool(pool);
    }

    pub(super) fn control_reply(&mut self, pool: PoolIndex, engine: EngineIndex, reply: ControlReply) {
        let engine = self.engines[engine.0].name.clone();
        let input = match reply {
            ControlReply::Fence(reply) => AuthorityInput::FenceReply { engine, reply },
            ControlReply::Order(reply) => AuthorityInput::EngineReply { engine, reply },
        };
        self.pools[pool.0].control.step(input, self.queue.now());
        self.carry_out_control(pool);
    }

    /// A call has reached the store. One whose reply is lost counts as unknown after the node's deadline.
    pub(super) fn store_call(&mut self, pool: PoolIndex, request: StoreRequest) {
        let now = self.queue.now();
        let reply = match self.platform.submit(request, now) {
            Ok(call) => {
                let outputs = self.platform.advance(now);
                outputs.into_iter().find_map(|output| match output.event {
                    PlatformEvent::Reply(reply) if output.call == call => Some(reply),
                    _ => None,
                })
            }
            Err(_) => Some(StoreReply::Unknown),
        };
        let call_latency = self.plan.deployment.platform.call_latency;
        match reply {
            Some(reply) => self.queue.after(call_latency / 2, Event::StoreReply { pool, reply }),
            None => {
                let timeout = self.plan.deployment.deadlines.platform;
                self.queue.after(timeout, Event::StoreReply { pool, reply: StoreReply::Unknown });
            }
        }
    }

    pub(super) fn store_reply(&mut self, pool: PoolIndex, reply: StoreReply) {
        self.pools[pool.0].control.step(AuthorityInput::StoreReply(reply), self.queue.now());
        self.carry_out_control(pool);
    }

    fn carry_out_control(&mut self, pool: PoolIndex) {
        let call_latency = self.plan.deployment.platform.call_latency;
        for action in self.pools[pool.0].control.take_ready() {
            match action {
                AuthorityAction::Store(request) => {
                    self.queue.after(call_latency / 2, Event::StoreCall { pool, request });
                }
                AuthorityAction::RaiseFence { engine, term } => {
                    self.call_engine(pool, &engine, EngineCall::RaiseFence { pool, term });
                }
                AuthorityAction::SendOrder { engine, order, .. } => {
                    self.call_engine(pool, &engine, EngineCall::Order { pool, order });
                }
                AuthorityAction::QueryEngine { engine } => {
                    self.call_engine(pool, &engine, EngineCall::Query { pool });
                }
                // Pools have one owner here, so there are no peers to tell.
                AuthorityAction::SendPeer { .. } => {}
            }
        }
    }

    fn slots(&self, pool: PoolIndex, now: Timestamp) -> Vec<EngineSlot> {
        let site = &self.pools[pool.0];
        let statuses = site.control.engine_states(now);
        let slot = |name: &EngineName| {
            let engine = self.configuration.engine(name)?;
            let reported = statuses.iter().find(|status| status.engine == *name).and_then(|status| status.role);
            Some(EngineSlot {
                name: name.clone(),
                role: reported.unwrap_or(engine.role),
                availability: self.availability(pool, name, now),
                link_latency: self.latency(&site.zone, &engine.zone),
                performance: site.limits.performance,
            })
        };
        site.pool.engines.iter().filter_map(slot).collect()
    }

    fn availability(&self, pool: PoolIndex, engine: &EngineName, now: Timestamp) -> EngineAvailability {
        self.pools[pool.0].control.availability(engine, now)
    }

    fn observe(&self, pool: PoolIndex, now: Timestamp) -> PoolObservation {
        let site = &self.pools[pool.0];
        let activity = |engine: &EngineName| {
            let reported = site.reports.get(engine).copied().unwrap_or_default();
            EngineActivity {
                in_flight: u32::try_from(site.dispatcher.in_flight(engine)).unwrap_or(u32::MAX),
                reported: reported.requests,
                reported_at: reported.at,
            }
        };
        let engines = site.pool.engines.iter().map(|engine| (engine.clone(), activity(engine))).collect();
        PoolObservation { demand: site.dispatcher.demand(&site.limits, now), activity: PoolActivity { engines } }
    }
}
