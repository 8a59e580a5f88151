//! Encoding of messages with speedy.

use std::io;

use displaydoc::Display;
use speedy::{LittleEndian, Readable, Writable};

/// Why a message could not be sent or received.
#[derive(Debug, Display, thiserror::Error)]
pub enum WireError {
    /// the connection failed: {0}
    Io(#[from] io::Error),
    /// the message can't be decoded: {0}
    Codec(#[from] speedy::Error),
    /// a frame of {bytes} bytes exceeds the limit of {limit}
    FrameTooLarge {
        /// The length in the frame's header.
        bytes: usize,
        /// The largest accepted length.
        limit: usize,
    },
    /// the peer speaks protocol version {theirs}, this node {ours}
    VersionMismatch {
        /// The peer's version.
        theirs: u16,
        /// This node's version.
        ours: u16,
    },
    /// the peer does not speak havengate's protocol
    NotHavengate,
}

/// Encodes a message.
///
/// # Errors
/// When the message can't be represented, for example a text longer than the codec's length fields.
pub fn encode<M: Writable<LittleEndian>>(message: &M) -> Result<Vec<u8>, WireError> {
    Ok(message.write_to_vec()?)
}

/// Decodes the message in `bytes`, which must contain nothing else.
///
/// # Errors
/// When the bytes are not one complete message of this type.
pub fn decode<'a, M: Readable<'a, LittleEndian>>(bytes: &'a [u8]) -> Result<M, WireError> {
    Ok(M::read_from_buffer(bytes)?)
}
