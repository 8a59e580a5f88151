//! Rate limits of tenants over all nodes.
//!
//! Each limited tenant has a home node, which keeps the tenant's token bucket. The other nodes request tokens from it
//! before they send the tenant's requests to back ends.

mod admission;
mod config;
mod demand;
mod fleet_reach;
mod grant_bucket;
mod home;
mod limit;
mod message;
mod ranking;
mod reach_samples;
mod round_trips;
mod sightings;
mod suspensions;
mod table_exchange;
mod tenant_client;
mod tenant_quotas;
mod window_peak;

pub use admission::{Admission, OutgoingQuotaMessage, Permit, QuotaContent, TenantQuotaStatus};
pub use config::QuotaConfig;
pub use fleet_reach::{FleetReach, ReachReport};
pub use limit::{LimitUnit, TenantLimit, TenantLimitTable};
pub use message::{NamedLimit, QuotaAnswer, QuotaGrant, QuotaRequest, TenantLimitNotice, TenantLimitQuery};
pub use table_exchange::{DroppedPart, LimitTableAssembly, split_into_notices};
pub use tenant_quotas::TenantQuotas;
