//! Compression of messages for slow links, with deflate.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use speedy::{LittleEndian, Readable, Writable};

use crate::codec::{WireError, decode, encode};
use crate::frame::FRAME_MAXIMUM_BYTES;

/// The compression level, of 9. Routes of one host are nearly identical, so higher levels hardly compress better.
const COMPRESSION_LEVEL: u32 = 3;

/// Encodes and compresses a message.
///
/// # Errors
/// When the message can't be represented.
pub fn pack<M: Writable<LittleEndian>>(message: &M) -> Result<Vec<u8>, WireError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::new(COMPRESSION_LEVEL));
    encoder.write_all(&encode(message)?)?;
    Ok(encoder.finish()?)
}

/// Decompresses and decodes a message.
///
/// # Errors
/// When the bytes are not one complete message of this type, or the message is larger than a frame may be.
pub fn unpack<M: for<'a> Readable<'a, LittleEndian>>(bytes: &[u8]) -> Result<M, WireError> {
    let mut plain = Vec::new();
    // Reading one byte beyond the limit detects a message that is too large.
    DeflateDecoder::new(bytes).take(FRAME_MAXIMUM_BYTES as u64 + 1).read_to_end(&mut plain)?;
    if plain.len() > FRAME_MAXIMUM_BYTES {
        return Err(WireError::FrameTooLarge { bytes: plain.len(), limit: FRAME_MAXIMUM_BYTES });
    }
    decode(&plain)
}
