//! The traffic configuration of the relay, as one versioned value.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::route::Route;
use super::tenant::TenantAccess;
use crate::quota::TenantLimitTable;
use crate::world::{ServiceName, ZoneName};

/// Orders the traffic configurations: a higher one is newer. Versions may leave gaps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationNumber(pub u64);

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_maximum_bytes: u64,
    /// The largest body of a request, in bytes.
    pub body_maximum_bytes: u64,
    /// The maximum time for a head to arrive.
    pub head_time_limit: Duration,
    /// How long a connection may be idle between two requests.
    pub idle_time_limit: Duration,
}

/// Properties that all engines of a service share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct EngineTraits {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The capacity of an engine's KV cache, in tokens.
    pub cache_tokens: u64,
}

/// The price of an engine per unit of time, in thousandths of the on-demand price in a zone without its own price.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Price(pub u32);

impl Price {
    /// The price of an on-demand engine.
    pub const FULL: Price = Price(1_000);

    /// The price as a share of [`Price::FULL`].
    pub fn as_share(self) -> f64 {
        f64::from(self.0) / f64::from(Price::FULL.0)
    }
}

/// Limits on the number of a service's engines that may be ordered, and their prices.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct FleetLimits {
    /// The minimum number of engines in a zone, on-demand and preemptible together.
    pub minimum: u32,
    /// The maximum number of engines in a zone, on-demand and preemptible together.
    pub maximum: u32,
    /// The time from an order until the engine serves.
    pub boot_time: Duration,
    /// The price of a preemptible engine in a zone without its own price.
    pub preemptible_price: Price,
    /// The price of an on-demand engine by zone; engines may be ordered in these zones only.
    pub zone_prices: Vec<(ZoneName, Price)>,
}

impl FleetLimits {
    /// The zones in which engines may be ordered.
    pub fn zones(&self) -> Vec<&ZoneName> {
        self.zone_prices.iter().map(|(zone, _)| zone).collect()
    }
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct ServiceDescription {
    /// The service's name.
    pub name: ServiceName,
    /// The connections that one back end accepts from all callers together.
    pub connections_maximum: u32,
    /// Properties of its engines; `None` when its back ends are plain applications.
    pub engines: Option<EngineTraits>,
    /// Limits on the number of its engines that may be ordered; `None`: none may be ordered.
    pub fleet: Option<FleetLimits>,
}

/// All traffic settings that the operator may change.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct TrafficConfiguration {
    /// The version; a node adopts only higher versions.
    pub version: ConfigurationNumber,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceDescription>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// The tenants that may send requests; `None`: any caller may, without a key.
    pub tenants: Option<Vec<TenantAccess>>,
    /// The limits of the tenants; `None`: not known. Nodes send them to each other apart from the configuration, whose
    /// layout stays as previous releases know it.
    #[speedy(skip)]
    #[serde(skip)]
    pub tenant_limits: Option<TenantLimitTable>,
}

impl TrafficConfiguration {
    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceDescription> {
        self.services.iter().find(|service| service.name == *name)
    }
}
