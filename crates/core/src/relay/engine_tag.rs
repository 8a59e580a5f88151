//! A short name of an engine, for messages and tables that name many engines.

use speedy::{Readable, Writable};

use crate::world::BackEndId;

/// The offset basis of the FNV-1a hash of 32 bits.
const FNV_OFFSET: u32 = 0x811c_9dc5;

/// The prime of the FNV-1a hash of 32 bits.
const FNV_PRIME: u32 = 0x0100_0193;

/// A back end's identity in four bytes, the same on every node: the FNV-1a hash of its id.
///
/// Two of 4,100 engines share a tag once in 500 fleets; they would then share one backlog and one cache in what is
/// believed, never a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct EngineTag(pub u32);

impl From<&BackEndId> for EngineTag {
    fn from(id: &BackEndId) -> Self {
        let mix = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(FNV_PRIME);
        EngineTag(id.as_str().as_bytes().iter().fold(FNV_OFFSET, mix))
    }
}
