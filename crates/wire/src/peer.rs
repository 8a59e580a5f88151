//! Everything that nodes say to each other on connections for control.

use havengate_core::claims::ClaimMessage;
use havengate_core::control::ControlMessage;
use havengate_core::limits::{LeaseGrant, LeaseRequest};
use speedy::{Readable, Writable};

/// A message on a connection for control.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// Between the controls of two nodes.
    Control(ControlMessage),
    /// About claims of idempotency keys.
    Claim(ClaimMessage),
    /// A gateway asks a tenant's home for a share of its limits.
    LeaseRequest(LeaseRequest),
    /// The home's answer.
    LeaseGrant(LeaseGrant),
}
