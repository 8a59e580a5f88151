//! Messages between gateways and a tenant's home node.

use std::time::Duration;

use speedy::{Readable, Writable};

use crate::membership::Member;
use crate::world::TenantName;

/// A part of a tenant's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Share {
    /// Number of requests in flight.
    pub concurrent_requests: u32,
    /// Work in tokens per second.
    pub tokens_per_second: u32,
}

impl Share {
    /// Whether neither value exceeds that of `other`.
    pub fn fits_in(self, other: Share) -> bool {
        self.concurrent_requests <= other.concurrent_requests && self.tokens_per_second <= other.tokens_per_second
    }
}

/// A gateway's request for a share of a tenant's limits, for its renewal, or to return a part of it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseRequest {
    /// The tenant.
    pub tenant: TenantName,
    /// The gateway, with its current incarnation.
    pub gateway: Member,
    /// Increases with each of the gateway's requests for the tenant. The gateway accepts a grant only for the latest one.
    pub sequence: u64,
    /// The maximum that the gateway will use from now until it receives the grant for this request.
    pub holds: Share,
    /// The share that the gateway's demand calls for.
    pub wanted: Share,
    /// Refused work in tokens that is waiting for a share, in addition to the rate.
    pub wanted_tokens: u32,
}

/// The home's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LeaseGrant {
    /// The tenant.
    pub tenant: TenantName,
    /// The sequence number of the answered request.
    pub sequence: u64,
    /// The gateway's share from now on; less than it holds when other gateways need a part of it.
    pub share: Share,
    /// Work in tokens that the gateway may admit once, immediately, in addition to the rate.
    pub tokens: u32,
    /// How long the share is valid, measured from when the request was sent.
    pub valid_for: Duration,
}
