//! What is compared.

use std::str::FromStr;

use havengate_core::configuration::PolicyChoice;
use havengate_core::policy::RoleCounts;

use crate::deployment::Deployment;
use crate::experiment::Experiment;
use crate::simulate::{RoleSource, SimulationPlan};

/// A deployment, an experiment on it, and seeds.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The deployment.
    pub deployment: Deployment,
    /// The experiment.
    pub experiment: Experiment,
    /// The seeds that the table is made from.
    pub seeds: SeedRange,
    /// The seeds on which the best static split and the clairvoyant planner's roles are looked for.
    pub sweep_seeds: SeedRange,
    /// The role policies and placement policies that are compared, each with each.
    pub contenders: Vec<Contender>,
    /// Whether to look for the best static split and the best clairvoyant plan.
    pub sweep: bool,
    /// Simulations that run at once.
    pub threads: usize,
}

/// Seeds from the first to the last, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// The last seed.
    pub last: u64,
}

impl SeedRange {
    /// The seeds.
    pub fn seeds(self) -> impl Iterator<Item = u64> {
        self.first..=self.last
    }
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("`{text}` is not a range of seeds such as 1..10");
        let (first, last) = text.split_once("..").ok_or_else(wrong)?;
        let range = SeedRange { first: first.parse().map_err(|_| wrong())?, last: last.parse().map_err(|_| wrong())? };
        if range.first <= range.last { Ok(range) } else { Err(wrong()) }
    }
}

/// One line of the table: what gives roles and what places requests.
#[derive(Clone, Debug)]
pub struct Contender {
    /// Its name in the table.
    pub name: String,
    /// Where the roles of engines come from.
    pub roles: RoleSource,
    /// The roles at the start in the largest pool; `None` takes the configuration's.
    pub first_roles: Option<RoleCounts>,
    /// The placement policy.
    pub placement: PolicyChoice,
}

impl Contender {
    /// A static split, with the placement policy `cost`.
    pub fn split(roles: RoleCounts) -> Self {
        Contender {
            name: format!("static {}P {}D {}M", roles.prefill, roles.decode, roles.mixed),
            roles: RoleSource::Policy(PolicyChoice::with_defaults("static")),
            first_roles: Some(roles),
            placement: PolicyChoice::with_defaults("cost"),
        }
    }
}

impl Comparison {
    /// The simulation of a contender with a seed.
    pub(super) fn simulation(&self, contender: &Contender, seed: u64) -> SimulationPlan {
        SimulationPlan {
            roles: Some(contender.roles.clone()),
            placement: Some(contender.placement.clone()),
            first_roles: contender.first_roles,
            ..SimulationPlan::new(self.deployment.clone(), self.experiment.clone(), seed)
        }
    }
}
