//! Admission of requests: tenants and their keys, which are stored only as digests.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

use super::configuration::TrafficConfiguration;
use super::route::Route;
use crate::world::TenantName;

/// The length to which a key's SHA-256 is truncated. With 16 bytes, finding a key with a given digest is infeasible, and
/// two of a million keys share a digest once in 10^26 configurations.
const DIGEST_BYTES: usize = 16;

/// The digest of a key, which nodes store, compare and send to each other in its place.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&Sha256::digest(key)[..DIGEST_BYTES]);
        KeyDigest(digest)
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes no part of the digest: readers of logs must not learn which keys are equal.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A tenant in the traffic configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct TenantAccess {
    /// The tenant.
    pub name: TenantName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, which overrides that of their route; `None`: the route's priority applies.
    pub priority: Option<u8>,
}

/// The credentials in a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    None,
    /// A key.
    Key(KeyDigest),
    /// Credentials that contain no single valid key.
    Unusable,
}

/// Why a request is not admitted. It has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum NotAdmitted {
    /// the request carries no key
    NoKey,
    /// the key belongs to no tenant
    UnknownKey,
    /// the credentials hold no readable key, or several keys
    UnusableKey,
}

impl NotAdmitted {
    /// The stable code for bodies, logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            NotAdmitted::NoKey => "no_key",
            NotAdmitted::UnknownKey => "unknown_key",
            NotAdmitted::UnusableKey => "unusable_key",
        }
    }
}

/// The tenants of one configuration by their keys.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    by_key: HashMap<KeyDigest, Arc<TenantAccess>>,
    /// The tenants with a key that an earlier tenant in the configuration has too.
    clashing: Vec<TenantName>,
}

impl KeyTable {
    /// The table of `configuration`'s tenants; `None` where the configuration has no tenants, so that no caller needs a key.
    ///
    /// A key of two tenants belongs to the first in the configuration, so that all nodes agree.
    pub fn new(configuration: &TrafficConfiguration) -> Option<Self> {
        let mut table = KeyTable::default();
        for tenant in configuration.tenants.as_ref()? {
            let tenant = Arc::new(tenant.clone());
            for key in &tenant.keys {
                let holder = table.by_key.entry(*key).or_insert_with(|| Arc::clone(&tenant));
                if holder.name != tenant.name {
                    table.clashing.push(tenant.name.clone());
                }
            }
        }
        Some(table)
    }

    /// The tenants with a key that belongs to another tenant, once for each such key.
    pub fn clashing(&self) -> &[TenantName] {
        &self.clashing
    }

    /// The tenant of a request on `route` with the key `presented`; `None`: no tenant.
    ///
    /// # Errors
    /// When the route needs a key and the request has no known key.
    pub fn admit(&self, route: &Route, presented: PresentedKey) -> Result<Option<Arc<TenantAccess>>, NotAdmitted> {
        let refusal = match presented {
            PresentedKey::Key(key) => match self.by_key.get(&key) {
                Some(tenant) => return Ok(Some(Arc::clone(tenant))),
                None => NotAdmitted::UnknownKey,
            },
            PresentedKey::None => NotAdmitted::NoKey,
            PresentedKey::Unusable => NotAdmitted::UnusableKey,
        };
        if route.is_public { Ok(None) } else { Err(refusal) }
    }
}
