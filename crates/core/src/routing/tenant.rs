//! Who may ask: tenants and their keys, of which only digests are held.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

use super::configuration::TrafficConfiguration;
use super::route::Route;
use crate::world::TenantName;

/// The bytes that are kept of a key's SHA-256. With 16 of them, no key can be found that has a given digest, and two of a
/// million keys share one once in 10^26 configurations.
const DIGEST_BYTES: usize = 16;

/// A key without the key: what nodes hold, compare and send each other in its place.
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
    /// Nothing of it: what is logged may be read by those who may not know which keys are the same.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A tenant as the configuration of the traffic has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct TenantAccess {
    /// The tenant.
    pub name: TenantName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests, which goes before their route's; `None`: the route's holds.
    pub priority: Option<u8>,
}

/// What a caller shows to say who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// Nothing.
    None,
    /// A key.
    Key(KeyDigest),
    /// Something from which no single key can be read.
    Unusable,
}

/// Why a request is not admitted. It has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum NotAdmitted {
    /// the request carries no key
    NoKey,
    /// the key is no tenant's
    UnknownKey,
    /// what is to tell the key tells none, or several
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
    /// The tenants that hold a key which another one, written before, holds too.
    clashing: Vec<TenantName>,
}

impl KeyTable {
    /// The table of `configuration`'s tenants; `None` where the configuration has no tenants, so that nobody needs a key.
    ///
    /// A key that two tenants hold is the first one's: which that is must not depend on the node.
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

    /// The tenants that hold a key of another one's, once for each such key.
    pub fn clashing(&self) -> &[TenantName] {
        &self.clashing
    }

    /// Whose request it is that comes on `route` with the key `presented`; `None`: nobody's in particular.
    ///
    /// # Errors
    /// When the route needs a key and the request has none that is known.
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
