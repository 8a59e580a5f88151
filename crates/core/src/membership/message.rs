//! Messages between the failure detectors of two nodes.

use speedy::{LittleEndian, Readable, Writable};

use super::member::{Incarnation, Member};
use super::record::MemberRecord;
use crate::world::ZoneName;

/// Matches an answer to its request; unique among the pending requests of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct Sequence(pub u32);

/// A hash over the records of the live members of one zone or of all zones; equal digests mean equal records.
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

/// A message between two failure detectors. It fits in one datagram and may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MembershipMessage {
    /// The incarnation of the process at the sender's address.
    pub incarnation: Incarnation,
    /// Set while the sender has no contact yet and is not a member; its acknowledgements then renew no lease.
    pub joining: bool,
    /// The digest of all members known to the sender.
    pub digest: Digest,
    /// The content of the message.
    pub body: MessageBody,
    /// Piggybacked records; the receiver's own comes first when the sender considers it suspect or dead.
    #[speedy(length_type = u8)]
    pub records: Vec<MemberRecord>,
}

impl MembershipMessage {
    /// The encoded size in bytes, without transport headers.
    pub fn encoded_bytes(&self) -> u64 {
        let bytes = Writable::<LittleEndian>::bytes_needed(self);
        bytes.map_or(0, |bytes| u64::try_from(bytes).unwrap_or(u64::MAX))
    }
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum MessageBody {
    /// Asks for an acknowledgement.
    Ping {
        /// Returned in the answer.
        sequence: Sequence,
    },
    /// Answers a ping, a ping request or a join request.
    Ack {
        /// The sequence of the answered request.
        sequence: Sequence,
    },
    /// Asks for an acknowledgement, and asks the receiver to ping the target on the sender's behalf.
    PingRequest {
        /// Returned in the receiver's own answer.
        sequence: Sequence,
        /// Returned once the target has answered.
        probe: Sequence,
        /// The member to ping.
        target: Member,
    },
    /// Reports that the target of a ping request has answered.
    RelayedAck {
        /// The probe named in the request.
        probe: Sequence,
        /// The incarnation of the target that answered.
        incarnation: Incarnation,
    },
    /// Asks to be acknowledged as a new incarnation; the sender is not a member before that.
    Join {
        /// Returned in the answer.
        sequence: Sequence,
    },
    /// Only carries records.
    Gossip,
    /// Asks for the records of all zones whose digest differs.
    SyncRequest {
        /// The sender's digests; zones unknown to the sender are absent.
        #[speedy(length_type = u8)]
        zones: Vec<ZoneDigest>,
    },
}
