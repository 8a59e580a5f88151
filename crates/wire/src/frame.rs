//! Frames on a TCP connection: a length of four bytes, little-endian, then one message.

use std::io::{Read, Write};

use speedy::{LittleEndian, Readable, Writable};

use crate::codec::{WireError, decode, encode};

/// The largest frame. A prompt of the largest accepted body fits; a peer that announces more is broken or hostile, and
/// reading on would let it take this node's memory.
pub const FRAME_MAXIMUM_BYTES: usize = 16 * 1024 * 1024;

/// Writes one message and leaves flushing to the caller.
///
/// # Errors
/// When the message is too large or the connection fails. Part of the frame may have left.
pub fn write_frame<M: Writable<LittleEndian>>(stream: &mut impl Write, message: &M) -> Result<usize, WireError> {
    let payload = encode(message)?;
    check_length(payload.len())?;
    let mut frame = Vec::with_capacity(size_of::<u32>() + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&payload);
    stream.write_all(&frame)?;
    Ok(frame.len())
}

/// Reads one message.
///
/// # Errors
/// When the connection ends or fails, or the frame is too large or no message of this type.
pub fn read_frame<M: for<'a> Readable<'a, LittleEndian>>(stream: &mut impl Read) -> Result<M, WireError> {
    read_counted_frame(stream).map(|(message, _)| message)
}

/// Reads one message and tells how many bytes its frame had.
///
/// # Errors
/// As [`read_frame`].
pub fn read_counted_frame<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut impl Read,
) -> Result<(M, usize), WireError> {
    let mut length = [0; size_of::<u32>()];
    stream.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length) as usize;
    check_length(length)?;
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload)?;
    let message = decode(&payload)?;
    Ok((message, size_of::<u32>() + payload.len()))
}

fn check_length(bytes: usize) -> Result<(), WireError> {
    if bytes > FRAME_MAXIMUM_BYTES {
        return Err(WireError::FrameTooLarge { bytes, limit: FRAME_MAXIMUM_BYTES });
    }
    Ok(())
}
