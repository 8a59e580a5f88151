//! What the failure detectors of two nodes say to each other.

use speedy::{LittleEndian, Readable, Writable};

use super::member::{Incarnation, Member};
use super::record::MemberRecord;
use crate::world::ZoneName;

/// Matches an answer to what was asked; unique among the open questions of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Sequence(pub u32);

/// Condenses the records of live members, of one zone or of all; equal digests mean equal records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Digest(pub u64);

/// The digest of one zone's records.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneName,
    /// The digest of its live members' records.
    pub digest: Digest,
}

/// A message between two failure detectors. It is small enough for one datagram, and may be lost, doubled or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MembershipMessage {
    /// Which life of the process at the sender's address.
    pub incarnation: Incarnation,
    /// Set while the sender has no contact yet and is no member; its acknowledgements then renew no lease.
    pub joining: bool,
    /// Condenses all that the sender knows of all members.
    pub digest: Digest,
    /// What is said.
    pub body: MessageBody,
    /// Records on the back of the message; first the receiver's own when the sender holds it suspect or dead.
    #[speedy(length_type = u8)]
    pub records: Vec<MemberRecord>,
}

impl MembershipMessage {
    /// The size on the wire, without what the transport adds.
    pub fn encoded_bytes(&self) -> u64 {
        let bytes = Writable::<LittleEndian>::bytes_needed(self);
        bytes.map_or(0, |bytes| u64::try_from(bytes).unwrap_or(u64::MAX))
    }
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum MessageBody {
    /// Asks for an acknowledgement.
    Ping {
        /// Returned in the answer.
        sequence: Sequence,
    },
    /// Answers a ping, a request to relay, or a request to join.
    Ack {
        /// As in what is answered.
        sequence: Sequence,
    },
    /// Asks for an acknowledgement, and that the receiver pings the target in the sender's place.
    PingRequest {
        /// Returned in the receiver's own answer.
        sequence: Sequence,
        /// Returned when the target has answered.
        probe: Sequence,
        /// Who is to be pinged.
        target: Member,
    },
    /// The target of a request to relay has answered.
    RelayedAck {
        /// As in the request.
        probe: Sequence,
        /// Which life of the target has answered.
        incarnation: Incarnation,
    },
    /// Asks to be acknowledged as a new life; the sender is no member before that.
    Join {
        /// Returned in the answer.
        sequence: Sequence,
    },
    /// Only carries records.
    Gossip,
    /// Asks for the records of all zones whose digest differs.
    SyncRequest {
        /// The sender's digests; a zone that is absent is unknown to the sender.
        #[speedy(length_type = u8)]
        zones: Vec<ZoneDigest>,
    },
}
