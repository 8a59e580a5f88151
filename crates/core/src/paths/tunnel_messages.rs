//! The messages about tunnels between nodes.

use std::fmt;

use speedy::{Readable, Writable};

use super::group::PathGroup;
use crate::world::{Address, BackEndId, ZoneName};

/// A secret that a node sends to the address of a peer, and that the peer presents when it opens a tunnel: only a node
/// that receives messages at that address knows it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Readable, Writable)]
pub struct TunnelToken(pub u64, pub u64);

impl fmt::Debug for TunnelToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TunnelToken(..)")
    }
}

/// Identifies a tunnel in the logs of both nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TunnelId(pub u64);

impl fmt::Display for TunnelId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A node that has lost its paths to a group of back ends asks a peer for tunnels.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TunnelQuery {
    /// The address where the sender receives notices; identifies it.
    pub sender: Address,
    /// The back ends.
    pub group: PathGroup,
}

/// A node that reaches a group of back ends offers a peer tunnels to them.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TunnelOffer {
    /// The address where the sender receives notices, and accepts tunnels over TCP; identifies it.
    pub sender: Address,
    /// The sender's zone.
    pub zone: ZoneName,
    /// The back ends.
    pub group: PathGroup,
    /// The secret to present.
    pub token: TunnelToken,
    /// The tunnels that are open at the sender.
    pub open: u32,
}

/// The first message on a connection to a node that offered tunnels. Sent again after the tunnel has ended, it asks how
/// the tunnel ended.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TunnelRequest {
    /// The secret of the offer.
    pub token: TunnelToken,
    /// Identifies the tunnel.
    pub id: TunnelId,
    /// The back end to connect to.
    pub back_end: BackEndId,
}

/// The answer to a [`TunnelRequest`]. After [`TunnelAnswer::Connected`], the connection carries the bytes of the
/// connection to the back end; after any other answer the connection to the peer is closed, and nothing has reached the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum TunnelAnswer {
    /// The node is connected to the back end.
    Connected,
    /// The back end could not be connected to.
    Unreachable,
    /// The node does not list the back end.
    Unlisted,
    /// The node has as many tunnels open as it accepts, or stops.
    Busy,
    /// The secret is unknown or has expired.
    Unauthorized,
    /// The request repeats the one of a tunnel that has ended: the back end closed the connection in order, and still
    /// serves.
    EndedInOrder,
    /// The request repeats the one of a tunnel that has ended, and the back end no longer serves for certain.
    EndUnproven,
}

impl TunnelAnswer {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            TunnelAnswer::Connected => "connected",
            TunnelAnswer::Unreachable => "unreachable",
            TunnelAnswer::Unlisted => "unlisted",
            TunnelAnswer::Busy => "busy",
            TunnelAnswer::Unauthorized => "unauthorized",
            TunnelAnswer::EndedInOrder => "ended_in_order",
            TunnelAnswer::EndUnproven => "end_unproven",
        }
    }
}
