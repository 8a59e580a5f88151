//! The pools of the deployment on one node, and their control.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{ControlAction, ControlMessage, StoreCaller};
use crate::authority::{
    AuthorityAction, AuthorityInput, CompletedChange, EngineSpecification, EngineTarget, PoolControl,
    PoolControlConfig, RoleFloors,
};
use crate::configuration::{Configuration, PolicyChoice};
use crate::dispatch::{EngineAvailability, EngineSlot};
use crate::membership::{Member, View, rank_pool_owners};
use crate::policy::{PoolLimits, RoleCounts, ShadowRolePolicy, role_policy};
use crate::time::Timestamp;
use crate::world::{Address, Engine, EngineName, EnginePerformance, EngineRole, Model, Pool, PoolId, ZoneName};

/// The engines of a configuration by name.
pub(super) struct Fleet<'a> {
    by_name: BTreeMap<&'a EngineName, &'a Engine>,
}

impl<'a> Fleet<'a> {
    pub(super) fn new(configuration: &'a Configuration) -> Self {
        Fleet { by_name: configuration.engines.iter().map(|engine| (&engine.name, engine)).collect() }
    }

    fn engines_of(&self, pool: &Pool) -> Vec<Engine> {
        pool.engines.iter().filter_map(|name| self.by_name.get(name).copied().cloned()).collect()
    }
}

/// A pool, the nodes that may own it, and its control on this node.
pub struct LocalPool {
    /// The pool.
    pub pool: Pool,
    /// The nodes that may own it, the owner first.
    pub owners: Vec<Member>,
    /// Its control; created only on nodes in the pool's zones.
    pub control: Option<PoolControl>,
    /// The pool's engines, cached because a node inspects its pools several times a second and the fleet is too large
    /// to be searched each time.
    engines: Vec<Engine>,
    role_policy: Option<PolicyChoice>,
    shadow_policies: Vec<PolicyChoice>,
}

impl LocalPool {
    pub(super) fn new(pool: Pool) -> Self {
        LocalPool {
            pool,
            owners: Vec::new(),
            control: None,
            engines: Vec::new(),
            role_policy: None,
            shadow_policies: Vec::new(),
        }
    }

    /// Whether `member` is the owner in this node's local view.
    pub fn is_owned_by(&self, member: Member) -> bool {
        self.owners.first() == Some(&member)
    }

    /// The engines for the dispatcher of `me`. They are unavailable to a node that is not the owner.
    pub fn slots(&self, configuration: &Configuration, me: Member, zone: &ZoneName, now: Timestamp) -> Vec<EngineSlot> {
        let owner = self.is_owned_by(me);
        let roles = self.reported_roles(now);
        let performance = performance_of(configuration, &self.pool.id);
        self.engines
            .iter()
            .map(|engine| EngineSlot {
                name: engine.name.clone(),
                role: roles.get(&engine.name).copied().unwrap_or(engine.role),
                availability: self.availability(&engine.name, owner, now),
                link_latency: link_latency(configuration, zone, &engine.zone),
                performance,
            })
            .collect()
    }

    /// The pool's limits, as input for a role policy.
    pub fn limits(&self, configuration: &Configuration) -> PoolLimits {
        let floors = self.floors(model_of(configuration, &self.pool.id));
        PoolLimits {
            roles: RoleCounts::default(),
            prefill_floor: floors.prefill,
            decode_floor: floors.decode,
            performance: performance_of(configuration, &self.pool.id),
        }
    }

    /// Where an engine of the pool listens.
    pub fn address(&self, engine: &EngineName) -> Option<Address> {
        self.engines.iter().find(|known| &known.name == engine).map(|known| known.address)
    }

    /// Replaces the pool by its definition in a new configuration and keeps the other state.
    pub(super) fn with_pool(self, pool: Pool) -> Self {
        LocalPool { pool, ..self }
    }

    pub(super) fn update_owners(&mut self, view: &View, now: Timestamp) {
        self.owners = rank_pool_owners(&self.pool, view);
        if let Some(control) = &mut self.control {
            control.step(AuthorityInput::OwnerRanking(self.owners.clone()), now);
        }
    }

    /// Applies the configuration, and creates the pool's control on nodes in its zones.
    pub(super) fn configure(
        &mut self,
        configuration: &Configuration,
        fleet: &Fleet<'_>,
        config: &PoolControlConfig,
        me: Member,
        zone: &ZoneName,
        now: Timestamp,
    ) {
        self.engines = fleet.engines_of(&self.pool);
        // An existing control is kept as an unranked follower, since replies to its calls may still arrive.
        if self.control.is_none() && !self.pool.zones.contains(zone) {
            return;
        }
        let model = model_of(configuration, &self.pool.id);
        let version = model.map(|model| model.version).unwrap_or_default();
        let specifications = self.engines.iter().map(|engine| EngineSpecification {
            engine: engine.name.clone(),
            target: EngineTarget {
                role: engine.role,
                model: engine.model.clone(),
                version,
                adapter: engine.adapter.clone(),
            },
        });
        let specifications = specifications.collect();
        let floors = self.floors(model);
        let new_control = || PoolControl::new(config.clone(), self.pool.id.clone(), me, now);
        let control = self.control.get_or_insert_with(new_control);
        control.set_engines(specifications, floors, now);
        // Policies keep state, so they are recreated only when their choice changes. A configuration in force names
        // only existing policies, since it was validated.
        if self.role_policy != configuration.role_policy {
            self.role_policy.clone_from(&configuration.role_policy);
            control.set_policy(configuration.role_policy.as_ref().and_then(|choice| role_policy(choice).ok()));
        }
        if self.shadow_policies != configuration.shadow_role_policies {
            self.shadow_policies.clone_from(&configuration.shadow_role_policies);
            let shadow = |choice| ShadowRolePolicy::new(choice).ok();
            control.set_shadows(configuration.shadow_role_policies.iter().filter_map(shadow).collect());
        }
    }

    /// Starts a new incarnation of this node as `me`. The control is kept, since replies to calls of the previous
    /// incarnation may still arrive.
    pub(super) fn rejoin(&mut self, me: Member, now: Timestamp) {
        if let Some(control) = &mut self.control {
            control.rejoin(me, now);
        }
    }

    /// Takes the changes of the pool's engines that have completed since the last call.
    pub(super) fn take_completed(&mut self) -> Vec<CompletedChange> {
        self.control.as_mut().map(PoolControl::take_completed).unwrap_or_default()
    }

    /// Takes the actions that the pool's control requests, with engine addresses resolved.
    pub(super) fn take_actions(&mut self) -> Vec<ControlAction> {
        let Some(control) = &mut self.control else { return Vec::new() };
        let actions = control.take_ready();
        actions.into_iter().filter_map(|action| self.resolve_action(action)).collect()
    }

    fn resolve_action(&self, action: AuthorityAction) -> Option<ControlAction> {
        let pool = self.pool.id.clone();
        Some(match action {
            AuthorityAction::Store(request) => ControlAction::Store { caller: StoreCaller::Pool(pool), request },
            AuthorityAction::RaiseFence { engine, term } => {
                let address = self.address(&engine)?;
                ControlAction::RaiseFence { pool, engine, address, term }
            }
            AuthorityAction::SendOrder { engine, order, send_before } => {
                let address = self.address(&engine)?;
                ControlAction::SendOrder { pool, engine, address, order, send_before }
            }
            AuthorityAction::QueryEngine { engine } => {
                let address = self.address(&engine)?;
                ControlAction::QueryEngine { pool, engine, address }
            }
            AuthorityAction::SendPeer { to, message } => {
                ControlAction::SendPeer { to, message: ControlMessage::Authority { pool, message } }
            }
        })
    }

    fn availability(&self, engine: &EngineName, owner: bool, now: Timestamp) -> EngineAvailability {
        match &self.control {
            Some(control) if owner => control.availability(engine, now),
            _ => EngineAvailability::Unavailable,
        }
    }

    fn reported_roles(&self, now: Timestamp) -> BTreeMap<EngineName, EngineRole> {
        let states = self.control.as_ref().map(|control| control.engine_states(now)).unwrap_or_default();
        states.into_iter().filter_map(|status| Some((status.engine, status.role?))).collect()
    }

    /// Returns the model's floors, capped so that they never cover all engines of the pool.
    fn floors(&self, model: Option<&Model>) -> RoleFloors {
        let Some(model) = model else { return RoleFloors::default() };
        let most = u16::try_from(self.pool.engines.len().saturating_sub(1)).unwrap_or(u16::MAX);
        RoleFloors { prefill: model.prefill_floor.min(most), decode: model.decode_floor.min(most) }
    }
}

/// The configured one-way latency between two zones; zero within a zone or without a link.
pub fn link_latency(configuration: &Configuration, from: &ZoneName, to: &ZoneName) -> Duration {
    let between =
        |link: &&crate::world::Link| (&link.from == from && &link.to == to) || (&link.from == to && &link.to == from);
    configuration.links.iter().find(between).map_or(Duration::ZERO, |link| link.latency)
}

fn model_of<'a>(configuration: &'a Configuration, pool: &PoolId) -> Option<&'a Model> {
    configuration.models.iter().find(|model| model.name == pool.model)
}

fn performance_of(configuration: &Configuration, pool: &PoolId) -> EnginePerformance {
    model_of(configuration, pool).map(|model| model.performance).unwrap_or_default()
}
