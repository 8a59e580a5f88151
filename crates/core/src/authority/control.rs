//! What a node runs for each pool that it is ranked for: authority, role policy and role changes together.

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

/// Limits of the control of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolControlConfig {
    /// Limits of the authority.
    pub authority: AuthorityConfig,
    /// Limits of role changes and loads.
    pub changes: RoleChangeConfig,
    /// Wait between two decisions of the role policy; demand is averaged over seconds, so more often shows nothing new.
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
    /// Checks the limits.
    ///
    /// # Errors
    /// When a limit of a part is wrong, or the interval of decisions is zero.
    pub fn validate(&self) -> Result<(), AuthorityError> {
        self.authority.validate()?;
        self.changes.validate()?;
        if self.decision_interval.is_zero() {
            return Err(AuthorityError::ZeroDuration("decision_interval"));
        }
        Ok(())
    }
}

/// What a node tells the control of a pool about its work.
#[derive(Clone, Debug)]
pub struct PoolObservation {
    /// The demand; the roles in it are filled in by the control.
    pub demand: PoolDemand,
    /// The work on each engine.
    pub activity: PoolActivity,
}

/// Controls one pool.
///
/// The caller feeds it inputs and ticks (several a second), carries out the actions at once, and hands each engine's
/// availability to the dispatcher before the next observation.
pub struct PoolControl {
    config: PoolControlConfig,
    authority: PoolAuthority,
    changer: RoleChanger,
    specifications: Vec<EngineSpecification>,
    policy: Option<Box<dyn RolePolicy>>,
    shadows: Vec<ShadowRolePolicy>,
    observation: Option<PoolObservation>,
    /// The acting policy's last decision under the present authority.
    decided: Option<TargetRoles>,
    next_decision: Timestamp,
}

impl PoolControl {
    /// A control without engines, in the part of a follower.
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
            decided: None,
            next_decision: now,
        }
    }

    /// Replaces the engines, what configuration wants them to be, and the floors. While a policy acts, it decides the
    /// roles and configuration the rest.
    pub fn set_engines(&mut self, specifications: Vec<EngineSpecification>, floors: RoleFloors, now: Timestamp) {
        let engines = specifications.iter().map(|wanted| wanted.engine.clone()).collect();
        self.specifications = specifications;
        self.changer.set_floors(floors);
        self.set_targets();
        self.step(AuthorityInput::Engines(engines), now);
    }

    /// Replaces the acting policy; without one, configuration gives the roles.
    pub fn set_policy(&mut self, policy: Option<Box<dyn RolePolicy>>) {
        self.policy = policy;
        self.decided = None;
        self.set_targets();
    }

    /// Replaces the policies that only report what they would have done.
    pub fn set_shadows(&mut self, shadows: Vec<ShadowRolePolicy>) {
        self.shadows = shadows;
    }

    /// This process begins a new life as `me`: it is a follower, and owns no term of the former life.
    pub fn rejoin(&mut self, me: Member, now: Timestamp) {
        self.authority.rejoin(me, now);
        self.pass_events(now);
        self.changer.rejoin(now);
        self.decided = None;
    }

    /// Takes in what has happened.
    pub fn step(&mut self, input: AuthorityInput, now: Timestamp) {
        self.authority.step(input.clone(), now);
        self.pass_events(now);
        match input {
            AuthorityInput::EngineReply { engine, reply } => self.changer.engine_reply(&engine, reply, now),
            AuthorityInput::EngineReport { engine, report } => self.changer.engine_report(&engine, report, now),
            _ => {}
        }
    }

    /// Takes in the work on the pool as it is now.
    pub fn observe(&mut self, observation: PoolObservation) {
        self.observation = Some(observation);
    }

    /// Lets time pass; to be called several times a second.
    pub fn tick(&mut self, now: Timestamp) {
        self.authority.tick(now);
        self.pass_events(now);
        self.decide(now);
        let activity = self.observation.as_ref().map(|observation| observation.activity.clone()).unwrap_or_default();
        self.changer.tick(self.authority.order_term(), &activity, now);
    }

    /// What to do now, in order.
    pub fn take_ready(&mut self) -> Vec<AuthorityAction> {
        let mut actions = self.authority.take_ready();
        actions.extend(self.changer.take_ready());
        actions
    }

    /// The changes of engines completed since the last call.
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

    /// What the changes have cost.
    pub fn counters(&self) -> ChangeCounters {
        self.changer.counters()
    }

    /// What the policies in shadow would have done.
    pub fn shadow_reports(&self) -> Vec<ShadowReport> {
        self.shadows.iter().map(|shadow| shadow.report().clone()).collect()
    }

    fn pass_events(&mut self, now: Timestamp) {
        for event in self.authority.take_events() {
            self.changer.authority_event(event, now);
        }
    }

    fn decide(&mut self, now: Timestamp) {
        if self.authority.order_term().is_none() {
            self.decided = None;
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
            self.decided = Some(TargetRoles::choose(&candidates, wanted));
        }
        self.set_targets();
    }

    /// Roles come from the policy's decision; before the first one, engines keep the roles that they have.
    fn set_targets(&mut self) {
        let mut specifications = self.specifications.clone();
        for wanted in specifications.iter_mut().filter(|_| self.policy.is_some()) {
            let decided = self.decided.as_ref().and_then(|decided| decided.roles.get(&wanted.engine).copied());
            let kept = || self.changer.reported_role(&wanted.engine);
            wanted.target.role = decided.or_else(kept).unwrap_or(wanted.target.role);
        }
        self.changer.set_targets(&specifications);
    }
}
