//! Which back end began a stream.

use std::fmt;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

use super::service_tag::ServiceTag;
use super::version_knowledge::VersionKey;
use crate::world::TenantName;

/// Identifies a stream by the request that brought its first event: a hash of that request's id and of its tenant, so that
/// no tenant can name another one's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct StreamKey(u64);

impl StreamKey {
    /// The stream of the request `id` of `tenant`; `None` for anonymous callers.
    pub fn new(tenant: Option<&TenantName>, id: &[u8]) -> Self {
        let tenant = tenant.map_or(&[][..], |tenant| tenant.as_str().as_bytes());
        let mut hash = Xxh3::new();
        // With its length, no tenant's name can be continued by an id.
        hash.update(&(tenant.len() as u64).to_le_bytes());
        hash.update(tenant);
        hash.update(id);
        StreamKey(hash.digest())
    }

    /// The key as a number, for ranking nodes.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceTag,
    /// The software version that began it, or the back end if the version was not known then.
    pub version: VersionKey,
}
