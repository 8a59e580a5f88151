//! The output of the failure detector to its caller.

use super::member::Member;
use super::message::MembershipMessage;
use super::record::MemberState;
use super::standing::Standing;
use crate::world::{Address, ZoneName};

/// A change that the failure detector reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member has entered a state. An incarnation that a later one replaces is reported dead first.
    MemberChanged {
        /// The member.
        member: Member,
        /// Its zone.
        zone: ZoneName,
        /// The new state.
        state: MemberState,
    },
    /// A whole zone is no longer reachable from this node's zone; its members are not declared dead because of that.
    ZoneUnreachable {
        /// The zone.
        zone: ZoneName,
    },
    /// A zone is reachable again.
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

/// A message and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: MembershipMessage,
}

/// The messages and events that the caller has to process after each call of the failure detector.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Messages to send, each in one datagram.
    pub messages: Vec<Outgoing>,
    /// Changes, oldest first.
    pub events: Vec<MembershipEvent>,
}

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent, without transport headers.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes received, without transport headers.
    pub bytes_received: u64,
    /// Probes answered neither by the target nor through a relay.
    pub probes_failed: u64,
    /// Suspicions of this node that it has refuted.
    pub refutations: u64,
    /// Members that this node has declared dead.
    pub deaths_declared: u64,
    /// Requests for differing records.
    pub syncs_requested: u64,
    /// Number of times that this node has suspended itself.
    pub suspensions: u64,
}
