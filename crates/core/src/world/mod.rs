//! The data model of a deployment: regions, zones, machines, links, engines, models, tenants and contracts.

mod address;
mod back_end_id;
mod contract;
mod engine;
mod names;
mod pool;
mod topology;
mod zone;

pub use address::Address;
pub use back_end_id::{BackEndId, StartMoment};
pub use contract::{Contract, Tenant, TenantLimits};
pub use engine::{Engine, EnginePerformance, EngineRole, Model, ModelVersion};
pub use names::{
    AdapterName, BackEndName, ContractName, EngineName, ModelName, NodeName, PolicyName, RegionName, RouteName,
    ServiceName, TenantName, ZoneName,
};
pub use pool::{Pool, PoolId, PoolLayout, group_into_pools};
pub use topology::{Distance, Topology};
pub use zone::{Link, Machine, Zone};
