//! Messages between nodes over a connection, one frame each, and how much of one had come when it was given up.

use std::fmt;
use std::io;

use havengate_wire::{LENGTH_BYTES, WireError, decode, frame_of, payload_length};
use speedy::{LittleEndian, Readable, Writable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// What goes wrong between nodes.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PeersError {
    /// the connection failed: {0}
    Connection(#[from] io::Error),
    /// the message is none: {0}
    Message(#[from] WireError),
    /// the peer took too long: {0}
    TooSlow(Progress),
}

/// How much of a message had passed when it was given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Bytes that had passed.
    pub passed: usize,
    /// Bytes of the whole message; `None` while that is not known.
    pub whole: Option<usize>,
}

impl fmt::Display for Progress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.whole {
            Some(whole) => write!(formatter, "{} of {whole} bytes had passed", self.passed),
            None => write!(formatter, "{} bytes had passed", self.passed),
        }
    }
}

/// Writes a message as one frame and returns its bytes.
///
/// # Errors
/// When the connection fails, or the frame has not left by `until`.
pub async fn write_message<M: Writable<LittleEndian>>(
    stream: &mut TcpStream,
    message: &M,
    until: Instant,
) -> Result<usize, PeersError> {
    let frame = frame_of(message)?;
    let mut passed = 0;
    while passed < frame.len() {
        let progress = Progress { passed, whole: Some(frame.len()) };
        let written = timeout_at(until, stream.write(&frame[passed..])).await;
        passed += written.map_err(|_| PeersError::TooSlow(progress))??;
    }
    Ok(frame.len())
}

/// Reads one frame with a message.
///
/// # Errors
/// When the connection fails, the frame holds no such message, or it is not whole by `until`.
pub async fn read_message<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut TcpStream,
    until: Instant,
) -> Result<M, PeersError> {
    let mut length = [0; LENGTH_BYTES];
    read_exactly(stream, &mut length, until, None).await?;
    let mut payload = vec![0; payload_length(length)?];
    let whole = payload.len();
    read_exactly(stream, &mut payload, until, Some(whole)).await?;
    Ok(decode(&payload)?)
}

async fn read_exactly(
    stream: &mut TcpStream,
    bytes: &mut [u8],
    until: Instant,
    whole: Option<usize>,
) -> Result<(), PeersError> {
    let mut passed = 0;
    while passed < bytes.len() {
        let read = timeout_at(until, stream.read(&mut bytes[passed..])).await;
        match read.map_err(|_| PeersError::TooSlow(Progress { passed, whole }))?? {
            0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            read => passed += read,
        }
    }
    Ok(())
}
