//! Configurations, plans and addresses for tests.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use havengate_core::configuration::{Configuration, ConfigurationVersion, VersionedConfiguration};
use havengate_core::plan::{Intent, Plan, PlannerConfig, TenantIntent, plan_configuration, plan_intent};
use havengate_core::world::{
    Address, Contract, ContractName, Engine, EngineName, EnginePerformance, EngineRole, Model, ModelName, ModelVersion,
    RegionName, Tenant, TenantLimits, TenantName, Zone, ZoneName,
};

/// The address of the node with this index.
pub fn node_address(index: usize) -> Address {
    address(10, index)
}

/// The index of the node with this address.
pub fn index_of(address: Address) -> usize {
    let IpAddr::V4(ip) = address.0.ip() else { panic!("an IPv4 address") };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 256 + usize::from(low)
}

fn address(network: u8, index: usize) -> Address {
    let ip = Ipv4Addr::new(network, 0, (index / 256) as u8, (index % 256) as u8);
    Address(SocketAddr::new(IpAddr::V4(ip), 7_000))
}

/// The name of the zone with this index.
pub fn zone_name(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index:02}"))
}

/// Zones grouped into regions of four, one model, `engines` engines, one contract and one tenant.
pub fn configuration(zones: usize, engines: usize) -> Configuration {
    let zone = |index: usize| Zone { name: zone_name(index), region: RegionName::new(format!("region-{}", index / 4)) };
    let engine = |index: usize| Engine {
        name: EngineName::new(format!("lekh-model-{index:04}")),
        address: address(11, index),
        zone: zone_name(index % zones),
        model: ModelName::from("lekh-model"),
        adapter: None,
        role: EngineRole::Mixed,
    };
    Configuration {
        zones: (0..zones).map(zone).collect(),
        models: vec![model()],
        engines: (0..engines).map(engine).collect(),
        contracts: vec![contract()],
        tenants: vec![tenant(1)],
        ..Configuration::default()
    }
}

/// The model of [`configuration`].
pub fn model() -> Model {
    Model {
        name: ModelName::from("lekh-model"),
        version: ModelVersion(1),
        prefill_floor: 1,
        decode_floor: 1,
        performance: EnginePerformance::default(),
    }
}

fn contract() -> Contract {
    Contract {
        name: ContractName::from("verdict"),
        first_token_within: Duration::from_secs(5),
        token_interval: Duration::from_millis(200),
        repeatable: true,
        weight: 1,
        priority: 1,
    }
}

fn tenant(requests: u32) -> Tenant {
    let limits = TenantLimits { concurrent_requests: requests, work_tokens_per_second: 10_000 };
    Tenant {
        name: TenantName::from("press"),
        api_key: "press-key".to_owned(),
        contract: ContractName::from("verdict"),
        limits: Some(limits),
    }
}

/// The plan for the first configuration.
pub fn first_plan(configuration: &Configuration) -> Plan {
    let empty = VersionedConfiguration { version: ConfigurationVersion(0), configuration: Arc::default() };
    plan_configuration(&PlannerConfig::default(), &empty, configuration, &BTreeMap::new()).expect("a valid plan")
}

/// A plan that changes the tenant's limit; different limits result in different plans.
pub fn limit_plan(latest: &VersionedConfiguration, requests: u32) -> Plan {
    let limits = TenantLimits { concurrent_requests: requests, work_tokens_per_second: 10_000 };
    let change = TenantIntent { name: TenantName::from("press"), api_key: None, contract: None, limits: Some(limits) };
    let intent = Intent { tenants: vec![change], ..Intent::default() };
    plan_intent(&PlannerConfig::default(), latest, &intent, &BTreeMap::new()).expect("a valid plan")
}
