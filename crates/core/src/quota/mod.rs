//! Rate limits of tenants over all nodes.
//!
//! Each limited tenant has a home node, which keeps the tenant's token bucket. The other nodes request tokens from it
//! before they send the tenant's requests to back ends.

mod fleet_reach;
mod limit;
mod message;
mod sightings;
mod table_exchange;
mod window_peak;

pub use fleet_reach::FleetReach;
pub use limit::{LimitUnit, TenantLimit, TenantLimitTable};
pub use message::{NamedLimit, QuotaAnswer, QuotaGrant, QuotaRequest, TenantLimitNotice, TenantLimitQuery};
pub use table_exchange::{DroppedPart, LimitTableAssembly, split_into_notices};
