//! A short identifier of a back end, under which its software version is kept.

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::Xxh3;

use crate::world::BackEndId;

/// One incarnation of a back end in eight bytes, the same on every node: a hash of its name and its start.
///
/// Two back ends with the same tag would count as one version, and streams would go on at the wrong one. With 4,100 back
/// ends, two share a tag in one of 10^12 fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct BackEndTag(u64);

impl From<&BackEndId> for BackEndTag {
    fn from(id: &BackEndId) -> Self {
        let name = id.as_str().as_bytes();
        let started = id.started().map_or([0; 9], |started| {
            let mut bytes = [1; 9];
            bytes[1..].copy_from_slice(&started.0.to_le_bytes());
            bytes
        });
        let mut hash = Xxh3::new();
        hash.update(&(name.len() as u64).to_le_bytes());
        hash.update(name);
        hash.update(&started);
        BackEndTag(hash.digest())
    }
}
