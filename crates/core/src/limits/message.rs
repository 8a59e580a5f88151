//! Messages between gateways and the home of a tenant.

use std::time::Duration;

use speedy::{Readable, Writable};

use crate::membership::Member;
use crate::world::TenantName;

/// A part of a tenant's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Share {
    /// Requests in flight.
    pub concurrent_requests: u32,
    /// Work in tokens a second.
    pub tokens_per_second: u32,
}

impl Share {
    /// Whether neither part exceeds that of `other`.
    pub fn fits_in(self, other: Share) -> bool {
        self.concurrent_requests <= other.concurrent_requests && self.tokens_per_second <= other.tokens_per_second
    }
}

/// A gateway asks for a share of a tenant's limits, or renews it, or gives a part of it back.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// The gateway in its present life.
    pub gateway: Member,
    /// Counts the gateway's requests for the tenant. The gateway takes a grant only for its latest request.
    pub sequence: u64,
    /// The most that the gateway will use from now on until it gets the grant for this request.
    pub holds: Share,
    /// What it could use.
    pub wanted: Share,
    /// Work in tokens that waits for a share, beyond the rate.
    pub wanted_tokens: u32,
}

/// The home's answer.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseGrant {
    /// The tenant.
    pub tenant: TenantName,
    /// The request that is answered.
    pub sequence: u64,
    /// The gateway's share from now on; less than it holds when others need a part of it.
    pub share: Share,
    /// Work in tokens that the gateway may admit at once, once.
    pub tokens: u32,
    /// How long the share lasts, from when the request was sent.
    pub valid_for: Duration,
}
