//! The configuration that the relay goes by, as one value with a version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::route::Route;
use super::tenant::TenantAccess;
use crate::world::{ServiceName, ZoneName};

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

/// What an engine costs for a time, in thousandths of what one costs that stays, in a zone without a price of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Price(pub u32);

impl Price {
    /// The price of an engine that stays.
    pub const FULL: Price = Price(1_000);

    /// The price as a share of [`Price::FULL`].
    pub fn as_share(self) -> f64 {
        f64::from(self.0) / f64::from(Price::FULL.0)
    }
}

/// Within which limits the number of a service's engines may be ordered, and what they cost.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct FleetLimits {
    /// The fewest engines in a zone, of both kinds together.
    pub minimum: u32,
    /// The most engines in a zone, of both kinds together.
    pub maximum: u32,
    /// The time until an engine serves that was ordered.
    pub boot_time: Duration,
    /// The price of an engine that may be taken away, in a zone without a price of its own.
    pub preemptible_price: Price,
    /// The price of an engine that stays, by zone: the zones in which engines may be ordered.
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
    /// What its engines have in common; `None` when its back ends are plain applications.
    pub engines: Option<EngineTraits>,
    /// Within which limits the number of its engines may be ordered; `None`: not at all.
    pub fleet: Option<FleetLimits>,
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
