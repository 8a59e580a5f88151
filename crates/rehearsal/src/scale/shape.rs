//! How large a deployment is, and its configuration at that size.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use havengate_core::configuration::Configuration;
use havengate_core::world::{
    Address, Contract, ContractName, Engine, EngineName, EnginePerformance, EngineRole, Model, ModelName, ModelVersion,
    PoolLayout, RegionName, Tenant, TenantLimits, TenantName, Zone, ZoneName,
};

/// The port of every hollow node and engine; they differ by their IP numbers.
const PORT: u16 = 7_000;

/// Nodes and engines of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScaleShape {
    /// Nodes, spread evenly over the zones.
    pub nodes: u16,
    /// Zones, spread evenly over the regions.
    pub zones: u16,
    /// Regions.
    pub regions: u16,
    /// Engines, spread evenly over zones and models.
    pub engines: u16,
    /// Models.
    pub models: u16,
    /// Tenants.
    pub tenants: u16,
}

impl ScaleShape {
    /// A deployment of `nodes` nodes in the proportions of the design size: 330 nodes, 11 zones, 3 regions, 4,100 engines.
    pub fn in_proportion(nodes: u16) -> Self {
        let share = |whole: u32| u16::try_from((whole * u32::from(nodes)).div_ceil(330)).unwrap_or(u16::MAX);
        ScaleShape {
            nodes,
            zones: share(11),
            regions: share(3).min(3),
            engines: share(4_100),
            models: 7,
            tenants: share(210),
        }
    }

    /// The zone of a node or engine by its number.
    pub fn zone_of(&self, number: u16) -> ZoneName {
        ZoneName::new(format!("zone-{}", number % self.zones))
    }

    /// The addresses of the nodes, in the order of their numbers.
    pub fn node_addresses(&self) -> Vec<Address> {
        (0..self.nodes).map(|number| address(1, number)).collect()
    }

    /// The configuration at this size.
    pub fn configuration(&self) -> Configuration {
        Configuration {
            zones: (0..self.zones).map(|number| self.zone(number)).collect(),
            models: (0..self.models).map(model).collect(),
            engines: (0..self.engines).map(|number| self.engine(number)).collect(),
            contracts: vec![contract()],
            tenants: (0..self.tenants).map(|number| tenant(number, 0)).collect(),
            pools: PoolLayout { zone_minimum: 8, size_maximum: 16 },
            ..Configuration::default()
        }
    }

    fn zone(&self, number: u16) -> Zone {
        let region = RegionName::new(format!("region-{}", number % self.regions.max(1)));
        Zone { name: ZoneName::new(format!("zone-{number}")), region }
    }

    fn engine(&self, number: u16) -> Engine {
        Engine {
            name: EngineName::new(format!("engine-{number:04}")),
            address: address(2, number),
            zone: self.zone_of(number),
            model: ModelName::new(format!("model-{}", (number / self.zones) % self.models)),
            adapter: None,
            role: EngineRole::Mixed,
        }
    }
}

/// A tenant's description with a limit that tells `revision`, so that each revision is a change.
pub fn tenant(number: u16, revision: u32) -> Tenant {
    Tenant {
        name: TenantName::new(format!("tenant-{number:03}")),
        api_key: format!("key-{number:03}"),
        contract: ContractName::new("standard"),
        limits: Some(TenantLimits { concurrent_requests: 100 + revision, work_tokens_per_second: 100_000 }),
    }
}

fn contract() -> Contract {
    Contract {
        name: ContractName::new("standard"),
        first_token_within: Duration::from_millis(710),
        token_interval: Duration::from_millis(56),
        repeatable: true,
        weight: 1,
        priority: 4,
    }
}

fn model(number: u16) -> Model {
    Model {
        name: ModelName::new(format!("model-{number}")),
        version: ModelVersion(1),
        prefill_floor: 1,
        decode_floor: 1,
        performance: EnginePerformance::default(),
    }
}

fn address(network: u8, number: u16) -> Address {
    let [high, low] = number.to_be_bytes();
    Address(SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, network, high, low)), PORT))
}
