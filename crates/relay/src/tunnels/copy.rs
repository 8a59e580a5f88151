//! Copies bytes between the two connections of a tunnel.
//!
//! Each side must learn how the other one ended: the node sees the end of the back end's connection as it would see it
//! directly, and the back end sees at once that the node has closed.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::timeout;

/// The bytes that are read at a time.
const BUFFER_BYTES: usize = 8 * 1024;

/// How long the node may take to close after the back end has closed.
const CLOSE_TIME_LIMIT: Duration = Duration::from_secs(2);

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelEnd {
    /// The node closed its connection.
    NodeClosed,
    /// The back end closed its connection in order.
    BackEndClosed,
    /// The connection to the back end failed.
    BackEndFailed,
    /// The connection to the node failed.
    NodeFailed,
}

impl TunnelEnd {
    /// The name in logs.
    pub fn code(self) -> &'static str {
        match self {
            TunnelEnd::NodeClosed => "node_closed",
            TunnelEnd::BackEndClosed => "back_end_closed",
            TunnelEnd::BackEndFailed => "back_end_failed",
            TunnelEnd::NodeFailed => "node_failed",
        }
    }
}

/// What a tunnel has carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copied {
    /// The bytes in both directions.
    pub bytes: u64,
    /// How it ended.
    pub end: TunnelEnd,
}

/// How one direction ended.
enum DirectionEnd {
    /// The reading side closed, and all bytes are written.
    Closed,
    /// Reading failed.
    ReadFailed,
    /// Writing failed.
    WriteFailed,
}

/// Copies bytes between a node (`near`) and a back end (`far`) until one of them ends. Calls `back_end_closed` before the
/// node can notice that the back end has closed in order.
///
/// When the node closes, the connection to the back end is closed at once. When the back end closes in order, the node
/// gets all bytes and then the end; when the connection to the back end fails, the node's connection is reset, so that an
/// answer that lasts until the connection ends doesn't look complete.
pub async fn copy_both_ways(mut near: TcpStream, mut far: TcpStream, back_end_closed: impl FnOnce()) -> Copied {
    let (mut near_reader, mut near_writer) = near.split();
    let (mut far_reader, mut far_writer) = far.split();
    let (mut upwards, mut downwards) = (0, 0);
    let end = tokio::select! {
        end = copy_direction(&mut near_reader, &mut far_writer, &mut upwards) => match end {
            DirectionEnd::Closed => TunnelEnd::NodeClosed,
            DirectionEnd::ReadFailed => TunnelEnd::NodeFailed,
            DirectionEnd::WriteFailed => TunnelEnd::BackEndFailed,
        },
        end = copy_direction(&mut far_reader, &mut near_writer, &mut downwards) => match end {
            DirectionEnd::Closed => TunnelEnd::BackEndClosed,
            DirectionEnd::ReadFailed => TunnelEnd::BackEndFailed,
            DirectionEnd::WriteFailed => TunnelEnd::NodeFailed,
        },
    };
    match end {
        TunnelEnd::BackEndClosed => {
            back_end_closed();
            close_in_order(&mut near).await;
        }
        TunnelEnd::BackEndFailed => reset_on_close(&near),
        TunnelEnd::NodeClosed | TunnelEnd::NodeFailed => {}
    }
    Copied { bytes: upwards + downwards, end }
}

async fn copy_direction(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>, copied: &mut u64) -> DirectionEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) => return DirectionEnd::Closed,
            Ok(length) => length,
            Err(_) => return DirectionEnd::ReadFailed,
        };
        if to.write_all(&buffer[..length]).await.is_err() {
            return DirectionEnd::WriteFailed;
        }
        *copied += length as u64;
    }
}

/// Closes the node's connection after all bytes are written. Closing it with unread bytes would reset it, and the bytes
/// under way would be lost.
async fn close_in_order(near: &mut TcpStream) {
    if near.shutdown().await.is_err() {
        return;
    }
    let mut discarded = [0; 1_024];
    let read_to_end = async { while near.read(&mut discarded).await.is_ok_and(|length| length > 0) {} };
    // A node that does not close in time is disconnected.
    let _ = timeout(CLOSE_TIME_LIMIT, read_to_end).await;
}

fn reset_on_close(stream: &TcpStream) {
    let reset: io::Result<()> = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    if let Err(error) = reset {
        log::warn!(event = "reset_not_set", error:% = error; "");
    }
}
