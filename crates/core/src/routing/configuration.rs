//! The configuration that the relay goes by, as one value with a version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::route::Route;
use super::tenant::TenantAccess;
use crate::world::ServiceName;

/// Orders the traffic configurations: a higher one is newer. Versions may leave gaps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationNumber(pub u64);

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_maximum_bytes: u64,
    /// The largest body of a request, in bytes.
    pub body_maximum_bytes: u64,
    /// The longest that a head may take to arrive.
    pub head_time_limit: Duration,
    /// How long a connection may rest between two requests.
    pub idle_time_limit: Duration,
}

/// What the engines of a service have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct EngineTraits {
    /// The requests that an engine runs at once.
    pub slots: u32,
    /// The tokens that an engine's KV cache holds.
    pub cache_tokens: u64,
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct ServiceDescription {
    /// The service's name.
    pub name: ServiceName,
    /// The connections that one back end accepts from all callers together.
    pub connections_maximum: u32,
    /// What its engines have in common; `None` when its back ends are plain applications.
    pub engines: Option<EngineTraits>,
}

/// Everything that the operator may change about the traffic.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct TrafficConfiguration {
    /// The version; a node adopts higher ones only.
    pub version: ConfigurationNumber,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceDescription>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may ask; `None`: whoever wants to, without a key.
    pub tenants: Option<Vec<TenantAccess>>,
}

impl TrafficConfiguration {
    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceDescription> {
        self.services.iter().find(|service| service.name == *name)
    }
}
