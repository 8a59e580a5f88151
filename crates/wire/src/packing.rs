//! Messages made smaller for narrow links, by deflate.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use speedy::{LittleEndian, Readable, Writable};

use crate::codec::{WireError, decode, encode};
use crate::frame::FRAME_MAXIMUM_BYTES;

/// How hard to look for repetition, of 9. Routes of one host repeat nearly all of each other: more effort hardly finds more.
const EFFORT: u32 = 3;

/// The bytes of a message, made smaller.
///
/// # Errors
/// When the message can't be represented.
pub fn pack<M: Writable<LittleEndian>>(message: &M) -> Result<Vec<u8>, WireError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::new(EFFORT));
    encoder.write_all(&encode(message)?)?;
    Ok(encoder.finish()?)
}

/// The message that was packed as `bytes`.
///
/// # Errors
/// When the bytes are no whole message of this type, or one that is larger than a frame may be.
pub fn unpack<M: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8]) -> Result<M, WireError> {
    let mut plain = Vec::new();
    // One byte more than is allowed shows that there is more.
    DeflateDecoder::new(bytes).take(FRAME_MAXIMUM_BYTES as u64 + 1).read_to_end(&mut plain)?;
    if plain.len() > FRAME_MAXIMUM_BYTES {
        return Err(WireError::FrameTooLarge { bytes: plain.len(), limit: FRAME_MAXIMUM_BYTES });
    }
    decode(&plain)
}
