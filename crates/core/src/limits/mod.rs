//! Tenants' limits, enforced over all gateways together without a message for each request.
//!
//! Each tenant has a home node, the highest-ranked node for its name. The home's [`LimitAllocator`] leases shares of the
//! limits to gateways by demand; a gateway's [`TenantLimiter`] admits requests within its shares. The home counts a share
//! for longer than the gateway may use it, so the shares in use never add up to more than the limit.
//! `docs/adr/0007-tenant-limits.md` states the bound and its cost.

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
