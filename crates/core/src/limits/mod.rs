//! Tenants' limits, kept over all gateways without a message for each request.
//!
//! Each tenant has a home node, the first in line for its name. The home's [`LimitAllocator`] leases shares of the
//! limits to gateways by demand; a gateway's [`TenantLimiter`] admits requests within its shares. A share counts at the
//! home for longer than the gateway may use it, so the shares in use never add up to more than the limit.
//! `docs/adr/0007-tenant-limits.md` states the bound and what it costs.

mod allocator;
mod config;
mod fair_share;
mod limiter;
mod message;
mod token_bucket;

pub use allocator::{LimitAllocator, Reach};
pub use config::{LimitConfig, LimitConfigError};
pub use limiter::{Permit, TenantLimiter};
pub use message::{LeaseGrant, LeaseRequest, Share};
pub(crate) use token_bucket::TokenBucket;
