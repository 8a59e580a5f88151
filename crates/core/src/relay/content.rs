//! Identifies what a request asks for, independent of its sender and of how often it is sent.

use std::fmt;
use std::str::FromStr;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

/// An eight-byte hash of a request's parts, the same on every node.
///
/// A caller that repeats a request sends it with a new request ID; the content ID is what the copies have in common.
/// Two contents collide by chance once in 2^64 pairs. The hash is not keyed: a caller that chooses whole bodies could
/// construct a collision, which is why the parts include what identifies the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ContentId(u64);

impl ContentId {
    /// Computes the ID of a content with these parts, in this order.
    pub fn of<'p>(parts: impl IntoIterator<Item = &'p [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            // The length is hashed too, so that moving bytes from one part to the next changes the hash.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        ContentId(hash.digest())
    }
}

/// {0:?} is not a content ID
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct InvalidContentId(pub String);

impl FromStr for ContentId {
    type Err = InvalidContentId;

    /// Parses an ID as it is displayed.
    fn from_str(text: &str) -> Result<Self, InvalidContentId> {
        u64::from_str_radix(text, 16).map(ContentId).map_err(|_| InvalidContentId(text.to_owned()))
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
