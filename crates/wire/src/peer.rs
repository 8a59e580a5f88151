//! The messages between nodes on control connections.

use havengate_core::claims::ClaimMessage;
use havengate_core::control::ControlMessage;
use havengate_core::limits::{LeaseGrant, LeaseRequest};
use speedy::{Readable, Writable};

/// A message on a control connection.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// Between the control layers of two nodes.
    Control(ControlMessage),
    /// Concerns claims of idempotency keys.
    Claim(ClaimMessage),
    /// A gateway's request to a tenant's home for a share of its limits.
    LeaseRequest(LeaseRequest),
    /// The home's answer.
    LeaseGrant(LeaseGrant),
}
