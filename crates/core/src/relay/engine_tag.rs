//! A short name of an engine, for messages and tables that name many engines.

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::world::BackEndId;

/// One life of a back end in four bytes, the same on every node: the low half of its identity's hash.
///
/// Two of 4,100 engines share a tag once in 500 fleets; they would then share one backlog and one cache in what is
/// believed, never a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct EngineTag(u32);

impl EngineTag {
    /// The tag with this number.
    pub fn from_number(number: u32) -> Self {
        EngineTag(number)
    }

    /// The tag as a number, for what is kept outside the process.
    pub fn number(self) -> u32 {
        self.0
    }
}

impl From<&BackEndId> for EngineTag {
    fn from(id: &BackEndId) -> Self {
        let name = id.as_str().as_bytes();
        let hash = id.started().map_or_else(|| xxh3_64(name), |started| xxh3_64_with_seed(name, started.0));
        EngineTag(hash as u32)
    }
}
