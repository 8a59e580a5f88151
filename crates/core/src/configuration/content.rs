//! The content of a configuration.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::world::{
    Contract, Engine, EngineName, Link, Model, PolicyName, Pool, PoolLayout, Tenant, Zone, group_into_pools,
};

/// The number of a configuration version; a node never returns to a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

impl ConfigurationVersion {
    /// The version after this one.
    pub fn next(self) -> Self {
        ConfigurationVersion(self.0 + 1)
    }
}

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A policy by name, with its parameters.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyChoice {
    /// The policy's registered name, for example `hysteresis`.
    pub name: PolicyName,
    /// Parameters by name; each policy documents its own, their units and their defaults.
    #[serde(default)]
    pub parameters: BTreeMap<String, f64>,
}

impl PolicyChoice {
    /// The policy `name` with its default parameters.
    pub fn with_defaults(name: &str) -> Self {
        PolicyChoice { name: PolicyName::from(name), parameters: BTreeMap::new() }
    }
}

/// One placement policy of an experiment, with the share of live traffic that it places.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrialArm {
    /// The arm's name in metrics and reports.
    pub name: String,
    /// The arm's share of requests, relative to the shares of the other arms.
    pub share: u16,
    /// The policy that places the arm's requests.
    pub policy: PolicyChoice,
}

/// All settings of the deployment that operators may change.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The zones of the deployment.
    #[serde(default, rename = "zone")]
    pub zones: Vec<Zone>,
    /// Latencies between zones; a missing link means zero latency.
    #[serde(default, rename = "link")]
    pub links: Vec<Link>,
    /// The models served.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// The fixed fleet.
    #[serde(default, rename = "engine")]
    pub engines: Vec<Engine>,
    /// The classes of service.
    #[serde(default, rename = "contract")]
    pub contracts: Vec<Contract>,
    /// The tenants.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// How engines are grouped into pools.
    #[serde(default)]
    pub pools: PoolLayout,
    /// The policy that gives engines their roles; without one, engines keep the roles in `engines`.
    #[serde(default)]
    pub role_policy: Option<PolicyChoice>,
    /// Role policies that only report what they would have done.
    #[serde(default)]
    pub shadow_role_policies: Vec<PolicyChoice>,
    /// The placement policies that share live traffic; empty means `cost` for all requests.
    #[serde(default, rename = "arm")]
    pub arms: Vec<TrialArm>,
}

impl Configuration {
    /// The pools of the fleet, in the order of their identifiers.
    pub fn pools(&self) -> Vec<Pool> {
        group_into_pools(&self.zones, &self.engines, self.pools)
    }

    /// The engine called `name`.
    pub fn engine(&self, name: &EngineName) -> Option<&Engine> {
        self.engines.iter().find(|engine| &engine.name == name)
    }
}
