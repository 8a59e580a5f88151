//! What is simulated.

use havengate_core::configuration::{Configuration, PolicyChoice, TrialArm};
use havengate_core::policy::{PoolDemand, RoleCounts, RolePolicy};
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineRole, Pool};

use super::error::SimulationError;
use crate::deployment::Deployment;
use crate::experiment::Experiment;

/// A deployment, an experiment on it, and what is varied.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// The deployment.
    pub deployment: Deployment,
    /// What callers ask for and what fails.
    pub experiment: Experiment,
    /// Decides arrivals, lengths and all other chance.
    pub seed: u64,
    /// Where the roles of engines come from; `None` takes the experiment's policy, or else the deployment's.
    pub roles: Option<RoleSource>,
    /// The placement policy for all requests; `None` takes the experiment's arms, or else the deployment's.
    pub placement: Option<PolicyChoice>,
    /// The roles at the start in the largest pool; `None` takes the configuration's.
    pub first_roles: Option<RoleCounts>,
    /// Tokens in one piece of an answer. Real engines put out each token; more make a simulation faster, and dispatchers
    /// know a little later how far answers have come.
    pub piece_tokens: u32,
}

/// [`SimulationPlan::piece_tokens`] unless another number is asked for.
pub const PIECE_TOKENS: u32 = 8;

/// Where the roles of engines come from.
#[derive(Clone, Debug)]
pub enum RoleSource {
    /// A role policy, which sees the demand of each pool.
    Policy(PolicyChoice),
    /// A schedule for the largest pool, made by someone who knows the experiment; the other pools keep their roles.
    Schedule(RoleSchedule),
}

/// Roles by time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoleSchedule {
    /// The entries, in the order of time.
    pub entries: Vec<ScheduledRoles>,
}

/// Roles that are wanted from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRoles {
    /// From when on, counted from the start of the experiment.
    pub from: Timestamp,
    /// The roles.
    pub roles: RoleCounts,
}

impl RolePolicy for RoleSchedule {
    fn desired(&mut self, demand: &PoolDemand, now: Timestamp) -> RoleCounts {
        let current = self.entries.iter().rev().find(|entry| entry.from <= now);
        current.map_or(demand.roles, |entry| entry.roles)
    }
}

impl SimulationPlan {
    /// A plan that varies nothing.
    pub fn new(deployment: Deployment, experiment: Experiment, seed: u64) -> Self {
        SimulationPlan {
            deployment,
            experiment,
            seed,
            roles: None,
            placement: None,
            first_roles: None,
            piece_tokens: PIECE_TOKENS,
        }
    }

    /// The name of what gives the roles, for reports.
    pub fn role_policy_name(&self) -> String {
        match &self.roles {
            Some(RoleSource::Schedule(_)) => "schedule".to_owned(),
            Some(RoleSource::Policy(choice)) => choice.name.to_string(),
            None => self.configured_policy().map_or_else(|| "static".to_owned(), |choice| choice.name.to_string()),
        }
    }

    /// The name of the placement policy, or of the arms, for reports.
    pub fn placement_name(&self) -> String {
        let arms: Vec<String> = self.arms().iter().map(|arm| arm.policy.name.to_string()).collect();
        if arms.is_empty() { "cost".to_owned() } else { arms.join("+") }
    }

    /// The role policy of the experiment, or else the deployment's.
    pub(super) fn configured_policy(&self) -> Option<&PolicyChoice> {
        self.experiment.role_policy.as_ref().or(self.deployment.configuration.role_policy.as_ref())
    }

    /// The configuration in force during the simulation.
    pub(super) fn configuration(&self) -> Result<Configuration, SimulationError> {
        let mut configuration = self.deployment.configuration.clone();
        configuration.arms = self.arms();
        if let Some(roles) = self.first_roles {
            let pool = largest_pool(&configuration).ok_or(SimulationError::NoEngines)?;
            set_roles(&mut configuration, &pool, roles)?;
        }
        Ok(configuration)
    }

    fn arms(&self) -> Vec<TrialArm> {
        match &self.placement {
            Some(policy) => vec![TrialArm { name: policy.name.to_string(), share: 1, policy: policy.clone() }],
            None if !self.experiment.arms.is_empty() => self.experiment.arms.clone(),
            None => self.deployment.configuration.arms.clone(),
        }
    }
}

/// The pool with the most engines; of two alike the first by identity.
pub fn largest_pool(configuration: &Configuration) -> Option<Pool> {
    let pools = configuration.pools();
    let size = pools.iter().map(|pool| pool.engines.len()).max()?;
    pools.into_iter().find(|pool| pool.engines.len() == size)
}

fn set_roles(configuration: &mut Configuration, pool: &Pool, roles: RoleCounts) -> Result<(), SimulationError> {
    let engines = u16::try_from(pool.engines.len()).unwrap_or(u16::MAX);
    if roles.total() != engines {
        return Err(SimulationError::WrongSplit { given: roles.total(), engines });
    }
    let in_turn = std::iter::repeat_n(EngineRole::Prefill, roles.prefill.into())
        .chain(std::iter::repeat_n(EngineRole::Decode, roles.decode.into()))
        .chain(std::iter::repeat_n(EngineRole::Mixed, roles.mixed.into()));
    for (name, role) in pool.engines.iter().zip(in_turn) {
        if let Some(engine) = configuration.engines.iter_mut().find(|engine| engine.name == *name) {
            engine.role = role;
        }
    }
    Ok(())
}
