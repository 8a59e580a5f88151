//! Messages between nodes over a connection, one frame each, and how much of one had come when it was given up.

use std::fmt;
use std::io;
use std::time::Duration;

use havengate_core::replication::{Pull, PullAnswer};
use havengate_core::world::Address;
use havengate_wire::{LENGTH_BYTES, WireError, decode, frame_of, payload_length};
use speedy::{LittleEndian, Readable, Writable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

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

/// How long a message may take. What has come of a large one is not thrown away because the link is narrow: as long as bytes
/// pass, only the whole time ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Until the first byte passes.
    pub first: Duration,
    /// Between two bytes.
    pub silence: Duration,
    /// For the whole message, so that a peer that trickles doesn't hold its place for ever.
    pub whole: Duration,
}

impl Patience {
    /// Patience with a peer that may take `first` before its first byte.
    pub fn with(first: Duration) -> Self {
        Patience { first, silence: IDLE_TIME_LIMIT, whole: first + MESSAGE_TIME_LIMIT }
    }
}

/// The longest that a connection to a peer may take to come up.
pub const CONNECT_TIME_LIMIT: Duration = Duration::from_millis(300);

/// The longest silence within a message: some times the 200 ms after which a lost packet is sent again at the earliest.
pub const IDLE_TIME_LIMIT: Duration = Duration::from_secs(1);

/// The longest time of a whole message: a megabyte at 1 Mbit/s.
pub const MESSAGE_TIME_LIMIT: Duration = Duration::from_secs(8);

/// The deadlines of one message.
struct Deadlines {
    patience: Patience,
    whole: Instant,
    next: Instant,
}

impl Deadlines {
    fn new(patience: Patience) -> Self {
        let now = Instant::now();
        let whole = now + patience.whole;
        Deadlines { patience, whole, next: (now + patience.first).min(whole) }
    }

    fn bytes_passed(&mut self) {
        self.next = (Instant::now() + self.patience.silence).min(self.whole);
    }
}

/// A connection to the peer at `address`, which sends each message at once.
///
/// # Errors
/// When it is refused, or has not come up within `limit`.
pub async fn connect(address: Address, limit: Duration) -> Result<TcpStream, PeersError> {
    let connecting = timeout(limit, TcpStream::connect(address.0)).await;
    let stream = connecting.map_err(|_| PeersError::TooSlow(Progress::default()))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends `pull` and reads the answer.
///
/// # Errors
/// When the connection fails, or either takes longer than `patience` allows.
pub async fn ask(stream: &mut TcpStream, pull: &Pull, patience: Patience) -> Result<PullAnswer, PeersError> {
    write_message(stream, pull, patience).await?;
    read_message(stream, patience).await
}

/// Writes a message as one frame and returns its bytes.
///
/// # Errors
/// When the connection fails, or takes longer than `patience` allows.
pub async fn write_message<M: Writable<LittleEndian>>(
    stream: &mut TcpStream,
    message: &M,
    patience: Patience,
) -> Result<usize, PeersError> {
    let frame = frame_of(message)?;
    let mut deadlines = Deadlines::new(patience);
    let mut passed = 0;
    while passed < frame.len() {
        let progress = Progress { passed, whole: Some(frame.len()) };
        let written = timeout_at(deadlines.next, stream.write(&frame[passed..])).await;
        passed += written.map_err(|_| PeersError::TooSlow(progress))??;
        deadlines.bytes_passed();
    }
    Ok(frame.len())
}

/// Reads one frame with a message.
///
/// # Errors
/// When the connection fails, the frame holds no such message, or it takes longer than `patience` allows.
pub async fn read_message<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut TcpStream,
    patience: Patience,
) -> Result<M, PeersError> {
    let mut deadlines = Deadlines::new(patience);
    let mut length = [0; LENGTH_BYTES];
    read_exactly(stream, &mut length, &mut deadlines, None).await?;
    let mut payload = vec![0; payload_length(length)?];
    let whole = payload.len();
    read_exactly(stream, &mut payload, &mut deadlines, Some(whole)).await?;
    Ok(decode(&payload)?)
}

async fn read_exactly(
    stream: &mut TcpStream,
    bytes: &mut [u8],
    deadlines: &mut Deadlines,
    whole: Option<usize>,
) -> Result<(), PeersError> {
    let mut passed = 0;
    while passed < bytes.len() {
        let read = timeout_at(deadlines.next, stream.read(&mut bytes[passed..])).await;
        match read.map_err(|_| PeersError::TooSlow(Progress { passed, whole }))?? {
            0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            read => passed += read,
        }
        deadlines.bytes_passed();
    }
    Ok(())
}
