//! Which requests the system takes, and to which services they go: the part of the configuration that the relay of
//! opaque requests goes by.

mod configuration;
mod route;
mod split;
mod table;
mod tenant;

pub use configuration::{
    CallerLimits, ConfigurationNumber, EngineTraits, FleetLimits, Price, ServiceDescription, TrafficConfiguration,
};
pub use route::{RequestKind, Route, WeightedService};
pub use split::SplitTurns;
pub use table::RouteTable;
pub use tenant::{KeyDigest, KeyTable, NotAdmitted, PresentedKey, TenantAccess};
