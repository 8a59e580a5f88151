//! A short identifier of a service.

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_64;

use crate::world::ServiceName;

/// A service in four bytes, the same on every node: the low half of the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ServiceTag(u32);

impl From<&ServiceName> for ServiceTag {
    fn from(service: &ServiceName) -> Self {
        ServiceTag(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}
