//! Sends and receives messages between nodes over a connection, one frame each, with timeouts that report the progress.

use std::fmt;
use std::io;
use std::time::Duration;

use havengate_core::replication::{Pull, PullAnswer};
use havengate_core::world::Address;
use havengate_wire::{FRAME_MAXIMUM_BYTES, LENGTH_BYTES, WireError, decode, frame_of, payload_length};
use speedy::{LittleEndian, Readable, Writable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::back_ends::set_liveness;

/// An error in the exchange of messages between nodes.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PeersError {
    /// the connection failed: {0}
    Connection(#[from] io::Error),
    /// the message is invalid: {0}
    Message(#[from] WireError),
    /// the peer took too long: {0}
    TooSlow(Progress),
}

/// How much of a message was transferred before the timeout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Bytes transferred.
    pub transferred: usize,
    /// The size of the message in bytes; `None` while it is not known.
    pub total: Option<usize>,
}

impl fmt::Display for Progress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.total {
            Some(total) => write!(formatter, "{} of {total} bytes transferred", self.transferred),
            None => write!(formatter, "{} bytes transferred", self.transferred),
        }
    }
}

/// The timeouts of one message. A partly transferred large message is not discarded because the link is slow: as long
/// as bytes arrive, only the total timeout ends the transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferTimeouts {
    /// The limit until the first byte is transferred.
    pub first_byte: Duration,
    /// The limit between two bytes.
    pub idle: Duration,
    /// The limit for the whole message, so that a peer that sends very slowly doesn't occupy a connection indefinitely.
    pub total: Duration,
}

impl TransferTimeouts {
    /// The timeouts for a peer that may take `first_byte` before its first byte.
    pub fn with_first_byte(first_byte: Duration) -> Self {
        TransferTimeouts { first_byte, idle: IDLE_TIME_LIMIT, total: first_byte + MESSAGE_TIME_LIMIT }
    }
}

/// The time limit for establishing a connection to a peer.
pub const CONNECT_TIME_LIMIT: Duration = Duration::from_millis(300);

/// How long a peer may acknowledge nothing, neither data nor keep-alive probes: more than the second or so for which a
/// sound machine may be silent.
pub const SILENCE_TIME_LIMIT: Duration = Duration::from_millis(2_500);

/// The longest pause within a message: several times the 200 ms after which a lost packet is retransmitted at the
/// earliest.
pub const IDLE_TIME_LIMIT: Duration = Duration::from_secs(1);

/// The time limit for a whole message after its first byte is due: a megabyte at 1 Mbit/s.
pub const MESSAGE_TIME_LIMIT: Duration = Duration::from_secs(8);

/// The deadlines of one message.
struct Deadlines {
    timeouts: TransferTimeouts,
    total: Instant,
    next_byte: Instant,
}

impl Deadlines {
    fn new(timeouts: TransferTimeouts) -> Self {
        let now = Instant::now();
        let total = now + timeouts.total;
        Deadlines { timeouts, total, next_byte: (now + timeouts.first_byte).min(total) }
    }

    fn bytes_transferred(&mut self) {
        self.next_byte = (Instant::now() + self.timeouts.idle).min(self.total);
    }
}

/// Connects to the peer at `address`, with Nagle's algorithm disabled.
///
/// # Errors
/// When the connection is refused, or is not established within `limit`.
pub async fn connect(address: Address, limit: Duration) -> Result<TcpStream, PeersError> {
    let connecting = timeout(limit, TcpStream::connect(address.0)).await;
    let stream = connecting.map_err(|_| PeersError::TooSlow(Progress::default()))??;
    stream.set_nodelay(true)?;
    set_liveness(&stream, SILENCE_TIME_LIMIT);
    Ok(stream)
}

/// Sends `pull` and reads the answer.
///
/// # Errors
/// When the connection fails, or either message exceeds `timeouts`.
pub async fn ask(stream: &mut TcpStream, pull: &Pull, timeouts: TransferTimeouts) -> Result<PullAnswer, PeersError> {
    write_message(stream, pull, timeouts).await?;
    read_message(stream, timeouts).await
}

/// Writes a message as one frame and returns the frame's size in bytes.
///
/// # Errors
/// When the connection fails, or the message exceeds `timeouts`.
pub async fn write_message<M: Writable<LittleEndian>>(
    stream: &mut TcpStream,
    message: &M,
    timeouts: TransferTimeouts,
) -> Result<usize, PeersError> {
    let frame = frame_of(message)?;
    let mut deadlines = Deadlines::new(timeouts);
    let mut transferred = 0;
    while transferred < frame.len() {
        let progress = Progress { transferred, total: Some(frame.len()) };
        let written = timeout_at(deadlines.next_byte, stream.write(&frame[transferred..])).await;
        transferred += written.map_err(|_| PeersError::TooSlow(progress))??;
        deadlines.bytes_transferred();
    }
    Ok(frame.len())
}

/// Reads one frame and decodes the message in it.
///
/// # Errors
/// When the connection fails, the frame holds no such message, or the message exceeds `timeouts`.
pub async fn read_message<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut TcpStream,
    timeouts: TransferTimeouts,
) -> Result<M, PeersError> {
    read_small_message(stream, FRAME_MAXIMUM_BYTES, timeouts).await
}

/// Reads one frame of at most `maximum_bytes` and decodes the message in it.
///
/// # Errors
/// When the connection fails, the frame is larger or holds no such message, or the message exceeds `timeouts`.
pub async fn read_small_message<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut TcpStream,
    maximum_bytes: usize,
    timeouts: TransferTimeouts,
) -> Result<M, PeersError> {
    let mut deadlines = Deadlines::new(timeouts);
    let mut length = [0; LENGTH_BYTES];
    read_exactly(stream, &mut length, &mut deadlines, None).await?;
    let total = payload_length(length)?;
    if total > maximum_bytes {
        return Err(WireError::FrameTooLarge { bytes: total, limit: maximum_bytes }.into());
    }
    let mut payload = vec![0; total];
    read_exactly(stream, &mut payload, &mut deadlines, Some(total)).await?;
    Ok(decode(&payload)?)
}

async fn read_exactly(
    stream: &mut TcpStream,
    bytes: &mut [u8],
    deadlines: &mut Deadlines,
    total: Option<usize>,
) -> Result<(), PeersError> {
    let mut transferred = 0;
    while transferred < bytes.len() {
        let read = timeout_at(deadlines.next_byte, stream.read(&mut bytes[transferred..])).await;
        match read.map_err(|_| PeersError::TooSlow(Progress { transferred, total }))?? {
            0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            read => transferred += read,
        }
        deadlines.bytes_transferred();
    }
    Ok(())
}
