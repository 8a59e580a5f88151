//! What a request asks, under one short name, whoever sends it and however often.

use std::fmt;
use std::str::FromStr;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

/// A request's content in eight bytes, the same on every node: a hash of its parts.
///
/// A caller that asks again asks with a new identity; the content is what the copies have in common. Two contents share a
/// name once in 2^64 pairs by chance. The hash is no secret: who may choose whole bodies could make two contents share
/// one, which is why the parts hold what identifies the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct ContentId(u64);

impl ContentId {
    /// The name of a content with these parts, in this order.
    pub fn of<'p>(parts: impl IntoIterator<Item = &'p [u8]>) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            // With its length, so that bytes can't move from one part to the next unnoticed.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        ContentId(hash.digest())
    }
}

/// {0:?} is no content's name
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct InvalidContentId(pub String);

impl FromStr for ContentId {
    type Err = InvalidContentId;

    /// Reads the name as it is displayed.
    fn from_str(text: &str) -> Result<Self, InvalidContentId> {
        u64::from_str_radix(text, 16).map(ContentId).map_err(|_| InvalidContentId(text.to_owned()))
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
