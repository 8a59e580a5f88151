//! The control of one pool on a node that is ranked for it: authority, role policy and role changes.

use std::time::Duration;

use super::config::{AuthorityConfig, AuthorityError, RoleChangeConfig};
use super::engine_state::CompletedChange;
use super::message::{AuthorityAction, AuthorityInput, AuthorityStatus};
use super::pool_authority::PoolAuthority;
use super::role_changer::{
    ChangeCounters, EngineSpecification, EngineStatus, OrderTiming, PoolActivity, RoleChanger, RoleFloors,
};
use super::target::TargetRoles;
use crate::dispatch::EngineAvailability;
use crate::membership::Member;
use crate::policy::{PoolDemand, RolePolicy, ShadowReport, ShadowRolePolicy};
use crate::time::Timestamp;
use crate::world::{EngineName, PoolId};

/// Configuration of the control of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolControlConfig {
    /// Limits of the authority.
    pub authority: AuthorityConfig,
    /// Limits of role changes and loads.
    pub changes: RoleChangeConfig,
    /// Wait between two decisions of the role policy. Demand is averaged over seconds, so a shorter interval adds no
    /// information.
    pub decision_interval: Duration,
}

impl Default for PoolControlConfig {
    fn default() -> Self {
        PoolControlConfig {
            authority: AuthorityConfig::default(),
            changes: RoleChangeConfig::default(),
            decision_interval: Duration::from_secs(1),
        }
    }
}

impl PoolControlConfig {
    /// Checks the configuration.
    ///
    /// # Errors
    /// When the authority or the change limits are invalid, or the decision interval is zero.
    pub fn validate(&self) -> Result<(), AuthorityError> {
        self.authority.validate()?;
        self.changes.validate()?;
        if self.decision_interval.is_zero() {
            return Err(AuthorityError::ZeroDuration("decision_interval"));
        }
        Ok(())
    }
}

/// What a node reports to the control of a pool about the current work.
#[derive(Clone, Debug)]
pub struct PoolObservation {
    /// The demand; the control fills in its roles.
    pub demand: PoolDemand,
    /// The work on each engine.
    pub activity: PoolActivity,
}

/// Controls one pool.
///
/// The caller supplies inputs and ticks (several per second), executes the actions immediately, and passes each
/// engine's availability to the dispatcher before the next observation.
pub struct PoolControl {
    config: PoolControlConfig,
    authority: PoolAuthority,
    changer: RoleChanger,
    specifications: Vec<EngineSpecification>,
    policy: Option<Box<dyn RolePolicy>>,
    shadows: Vec<ShadowRolePolicy>,
    observation: Option<PoolObservation>,
    /// The acting policy's last decision under the current authority.
    decided_roles: Option<TargetRoles>,
    next_decision: Timestamp,
}

impl PoolControl {
    /// Creates a control without engines, as a follower.
    pub fn new(config: PoolControlConfig, pool: PoolId, me: Member, now: Timestamp) -> Self {
        let AuthorityConfig { send_within, settle, .. } = config.authority;
        PoolControl {
            authority: PoolAuthority::new(config.authority.clone(), pool, me, now),
            changer: RoleChanger::new(config.changes.clone(), OrderTiming { send_within, settle }),
            config,
            specifications: Vec::new(),
            policy: None,
            shadows: Vec::new(),
            observation: None,
            decided_roles: None,
            next_decision: now,
        }
    }

    /// Replaces the engines, their configured targets, and the floors. While a policy is set, it decides the roles and
    /// the configuration decides the rest.
    pub fn set_engines(&mut self, specifications: Vec<EngineSpecification>, floors: RoleFloors, now: Timestamp) {
        let engines = specifications.iter().map(|wanted| wanted.engine.clone()).collect();
        self.specifications = specifications;
        self.changer.set_floors(floors);
        self.set_targets();
        self.step(AuthorityInput::Engines(engines), now);
    }

    /// Replaces the acting policy. Without one, the configuration decides the roles.
    pub fn set_policy(&mut self, policy: Option<Box<dyn RolePolicy>>) {
        self.policy = policy;
        self.decided_roles = None;
        self.set_targets();
    }

    /// Replaces the shadow policies, which only report what they would have done.
    pub fn set_shadows(&mut self, shadows: Vec<ShadowRolePolicy>) {
        self.shadows = shadows;
    }

    /// Starts a new incarnation of this process as `me`: a follower that owns no term of the previous incarnation.
    pub fn rejoin(&mut self, me: Member, now: Timestamp) {
        self.authority.rejoin(me, now);
        self.forward_events(now);
        self.changer.rejoin(now);
        self.decided_roles = None;
    }

    /// Applies an input.
    pub fn step(&mut self, input: AuthorityInput, now: Timestamp) {
        self.authority.step(input.clone(), now);
        self.forward_events(now);
        match input {
            AuthorityInput::EngineReply { engine, reply } => self.changer.engine_reply(&engine, reply, now),
            AuthorityInput::EngineReport { engine, report } => self.changer.engine_report(&engine, report, now),
            _ => {}
        }
    }

    /// Records the current work on the pool.
    pub fn observe(&mut self, observation: PoolObservation) {
        self.observation = Some(observation);
    }

    /// Advances the clock to `now`. Must be called several times per second.
    pub fn tick(&mut self, now: Timestamp) {
        self.authority.tick(now);
        self.forward_events(now);
        self.decide(now);
        let activity = self.observation.as_ref().map(|observation| observation.activity.clone()).unwrap_or_default();
        self.changer.tick(self.authority.order_term(), &activity, now);
    }

    /// Takes the pending actions, in order.
    pub fn take_ready(&mut self) -> Vec<AuthorityAction> {
        let mut actions = self.authority.take_ready();
        actions.extend(self.changer.take_ready());
        actions
    }

    /// Takes the engine changes completed since the last call.
    pub fn take_completed(&mut self) -> Vec<CompletedChange> {
        self.changer.take_completed()
    }

    /// Whether the dispatcher of the node that is ranked first may use the engine.
    pub fn availability(&self, engine: &EngineName, now: Timestamp) -> EngineAvailability {
        self.changer.availability(engine, self.authority.may_use_unfenced(now))
    }

    /// What this node publishes about the authority.
    pub fn status(&self) -> AuthorityStatus {
        self.authority.status()
    }

    /// The state of each engine.
    pub fn engine_states(&self, now: Timestamp) -> Vec<EngineStatus> {
        self.changer.states(now)
    }

    /// Counters of the changes and their cost.
    pub fn counters(&self) -> ChangeCounters {
        self.changer.counters()
    }

    /// What the shadow policies would have done.
    pub fn shadow_reports(&self) -> Vec<ShadowReport> {
        self.shadows.iter().map(|shadow| shadow.report().clone()).collect()
    }

    fn forward_events(&mut self, now: Timestamp) {
        for event in self.authority.take_events() {
            self.changer.authority_event(event, now);
        }
    }

    fn decide(&mut self, now: Timestamp) {
        if self.authority.order_term().is_none() {
            self.decided_roles = None;
            return;
        }
        if now < self.next_decision {
            return;
        }
        let Some(observation) = &self.observation else { return };
        self.next_decision = now + self.config.decision_interval;
        let demand = PoolDemand { roles: self.changer.role_counts(), ..observation.demand };
        for shadow in &mut self.shadows {
            shadow.observe(&demand, now);
        }
        if let Some(acting) = &mut self.policy {
            let wanted = acting.desired(&demand, now);
            let candidates = self.changer.role_candidates(&observation.activity);
            self.decided_roles = Some(TargetRoles::choose(&candidates, wanted));
        }
        self.set_targets();
    }

    /// Sets the engines' targets. With a policy, roles come from its last decision; before the first decision, engines
    /// keep their current roles.
    fn set_targets(&mut self) {
        let mut specifications = self.specifications.clone();
        for wanted in specifications.iter_mut().filter(|_| self.policy.is_some()) {
            let decided = self.decided_roles.as_ref().and_then(|decided| decided.roles.get(&wanted.engine).copied());
            let current = || self.changer.reported_role(&wanted.engine);
            wanted.target.role = decided.or_else(current).unwrap_or(wanted.target.role);
        }
        self.changer.set_targets(&specifications);
    }
}
