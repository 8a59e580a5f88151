//! Frames on a TCP connection: a length of four bytes, little-endian, then one message. [`frame_of`] and
//! [`payload_length`] implement the layout for any kind of stream; the other functions read and write blocking streams.

use std::io::{Read, Write};

use speedy::{LittleEndian, Readable, Writable};

use crate::codec::{WireError, decode, encode};

/// The largest payload of a frame. A prompt of the largest accepted body fits. A peer that announces more is faulty or
/// hostile, and reading on would let it exhaust this node's memory.
pub const FRAME_MAXIMUM_BYTES: usize = 16 * 1024 * 1024;

/// The size of a frame's length field.
pub const LENGTH_BYTES: usize = size_of::<u32>();

/// Encodes one message as a complete frame.
///
/// # Errors
/// When the message is too large or can't be encoded.
pub fn frame_of<M: Writable<LittleEndian>>(message: &M) -> Result<Vec<u8>, WireError> {
    let payload = encode(message)?;
    check_length(payload.len())?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + payload.len());
    frame.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// The length of the message that follows a frame's length field.
///
/// # Errors
/// When the length exceeds [`FRAME_MAXIMUM_BYTES`].
pub fn payload_length(header: [u8; LENGTH_BYTES]) -> Result<usize, WireError> {
    let length = u32::from_le_bytes(header) as usize;
    check_length(length)?;
    Ok(length)
}

/// Writes one message and returns the bytes of its frame. The caller flushes the stream.
///
/// # Errors
/// When the message is too large or the connection fails. Part of the frame may have been written.
pub fn write_frame<M: Writable<LittleEndian>>(stream: &mut impl Write, message: &M) -> Result<usize, WireError> {
    let frame = frame_of(message)?;
    stream.write_all(&frame)?;
    Ok(frame.len())
}

/// Reads one message.
///
/// # Errors
/// When the connection ends or fails, or the frame is too large or does not contain a message of this type.
pub fn read_frame<M: for<'a> Readable<'a, LittleEndian>>(stream: &mut impl Read) -> Result<M, WireError> {
    read_counted_frame(stream).map(|(message, _)| message)
}

/// Reads one message and returns it with the bytes of its frame.
///
/// # Errors
/// As [`read_frame`].
pub fn read_counted_frame<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut impl Read,
) -> Result<(M, usize), WireError> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length)?;
    let mut payload = vec![0; payload_length(length)?];
    stream.read_exact(&mut payload)?;
    let message = decode(&payload)?;
    Ok((message, LENGTH_BYTES + payload.len()))
}

fn check_length(bytes: usize) -> Result<(), WireError> {
    if bytes > FRAME_MAXIMUM_BYTES {
        return Err(WireError::FrameTooLarge { bytes, limit: FRAME_MAXIMUM_BYTES });
    }
    Ok(())
}
