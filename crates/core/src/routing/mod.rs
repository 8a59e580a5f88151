//! The traffic configuration of the relay: which requests are accepted, and which services they are routed to.

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
