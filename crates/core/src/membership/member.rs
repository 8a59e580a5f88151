//! Identity of a member.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::world::Address;

/// Distinguishes successive processes at one address: a restarted process has a higher incarnation and owns nothing of
/// the previous one. Microseconds of wall-clock time at the start of the process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One incarnation of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct Member {
    /// Where the node listens for its peers.
    pub address: Address,
    /// The incarnation of the process at the address.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.address, self.incarnation.0)
    }
}
