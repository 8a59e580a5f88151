//! What the failure detector hands to its caller.

use super::member::Member;
use super::message::MembershipMessage;
use super::record::MemberState;
use super::standing::Standing;
use crate::world::{Address, ZoneName};

/// Something that has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member has entered a state. A life that a later one has replaced is reported dead first.
    MemberChanged {
        /// The member.
        member: Member,
        /// Its zone.
        zone: ZoneName,
        /// The new state.
        state: MemberState,
    },
    /// A whole zone can no longer be reached from this node's zone; its members are not declared dead for that.
    ZoneUnreachable {
        /// The zone.
        zone: ZoneName,
    },
    /// A zone can be reached again.
    ZoneReachable {
        /// The zone.
        zone: ZoneName,
    },
    /// Whether this node may take new work has changed.
    StandingChanged {
        /// The new standing.
        standing: Standing,
    },
}

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: MembershipMessage,
}

/// What the caller has to do after it has called the failure detector.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages to send, each in one datagram.
    pub messages: Vec<Outgoing>,
    /// What has changed, oldest first.
    pub events: Vec<MembershipEvent>,
}

/// Counts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Messages sent.
    pub messages_sent: u64,
    /// Their bytes, without what the transport adds.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Their bytes, without what the transport adds.
    pub bytes_received: u64,
    /// Probes that neither the target nor a relay answered.
    pub probes_failed: u64,
    /// Suspicions of this node that it has refuted.
    pub refutations: u64,
    /// Members that this node has declared dead.
    pub deaths_declared: u64,
    /// Requests for records that differ.
    pub syncs_requested: u64,
    /// Times that this node has suspended itself.
    pub suspensions: u64,
}
