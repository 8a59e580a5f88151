//! Messages between claimers and holders, and between holders.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::slot_map::{MapVersion, SlotIndex, SlotMapChanges};
use crate::membership::{Incarnation, Member};
use crate::request::{FinishReason, IdempotencyKey, RequestId};
use crate::verdict::Verdict;
use crate::world::Address;

/// A message and its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimEnvelope {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: ClaimMessage,
}

/// All messages between nodes about claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimMessage {
    /// A claimer asks a holder to grant a key.
    Claim(ClaimRequest),
    /// A holder answers a claim.
    ClaimReply(ClaimReply),
    /// A claimer reports to a holder how the request ended.
    Outcome(OutcomeReport),
    /// A holder has recorded an outcome.
    OutcomeAck(OutcomeAck),
    /// A new holder fences a previous one and asks for its claims.
    TakeOver(TakeOverRequest),
    /// A previous holder hands over its claims.
    TakeOverReply(TakeOverReply),
    /// The proposer or a leaving node asks a holder in which slots it votes.
    StatusRequest,
    /// A holder reports in which slots it votes.
    Status(Vec<SlotStatus>),
    /// A node announces which version of the map it has.
    MapVersion(MapVersion),
    /// A node that has a newer map sends the changes.
    MapChanges(SlotMapChanges),
}

/// Whether a holder votes in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct SlotStatus {
    /// The slot.
    pub slot: SlotIndex,
    /// The version that the holder has adopted.
    pub version: MapVersion,
    /// Whether it votes in that version.
    pub votes: bool,
}

/// Asks a holder to grant a key to a request.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ClaimRequest {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that the key is claimed for; a repeated message for the same request receives another grant.
    pub request: RequestId,
    /// The version of the slot in the claimer's map. A holder refuses every version but its own.
    pub version: MapVersion,
    /// Time until the request's deadline, by which it ends in any case.
    pub time_left: Duration,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ClaimReply {
    /// The request that the key was claimed for.
    pub request: RequestId,
    /// The version of the slot in the claim.
    pub version: MapVersion,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimAnswer {
    /// This holder grants the key to the request. Carries the highest incarnation that the holder knows of each holder
    /// of the slot, including itself.
    Granted(Vec<Incarnation>),
    /// Another request has the key.
    Held(HeldClaim),
    /// The holder does not vote.
    Refused(ClaimRefusal),
}

/// What a holder knows about the request that has the key.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum HeldClaim {
    /// It has not ended, and its deadline has not passed.
    InProgress,
    /// Its deadline has passed, and the holder does not know its outcome.
    Overdue,
    /// It has ended, and has run or may have run.
    Ended(RecordedOutcome),
}

/// Why a holder does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimRefusal {
    /// The holder has been fenced by a newer version of the slot.
    OlderVersion,
    /// The holder has not yet adopted the claimer's version.
    UnknownVersion,
    /// The holder does not yet have the claims of the slot.
    Abstaining,
    /// The holder has no room for another key.
    Full,
    /// The request may take longer than a claim lasts.
    TimeTooLong,
    /// The claim has already been released; this is a delayed duplicate.
    Released,
}

/// How a request with a key ended. Only requests that have run or may have run are recorded.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The final verdict.
    pub verdict: Verdict,
    /// The complete answer, if the verdict is [`Verdict::Completed`] and the answer is short enough to be kept.
    pub answer: Option<RecordedAnswer>,
}

/// An answer that is kept with its key.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The complete text.
    pub text: String,
    /// Number of tokens of the text.
    pub tokens: u32,
    /// Why the answer ended.
    pub finish: FinishReason,
}

/// Reports to a holder how a request with a key ended. A verdict of [`Verdict::NotRun`] releases the key.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct OutcomeReport {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that had claimed it.
    pub request: RequestId,
    /// How it ended.
    pub outcome: RecordedOutcome,
}

/// A holder has recorded an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OutcomeAck {
    /// The request whose outcome was reported.
    pub request: RequestId,
}

/// Fences a holder at a version of a slot and asks for a page of its claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct TakeOverRequest {
    /// The slot.
    pub slot: SlotIndex,
    /// The version in which the sender holds the slot. From now on the receiver grants nothing in older versions.
    pub version: MapVersion,
    /// The sender in its current incarnation.
    pub new_holder: Member,
    /// The last key of the previous page; `None` for the first page.
    pub after: Option<IdempotencyKey>,
}

/// A page of a holder's claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct TakeOverReply {
    /// The slot.
    pub slot: SlotIndex,
    /// The version in the request, at which this holder is now fenced.
    pub version: MapVersion,
    /// The incarnation of the holder that answers; pages of two incarnations must not be combined.
    pub incarnation: Incarnation,
    /// The version since which the holder has had all of the slot's claims that concern it; `None` when it abstains.
    pub complete_since: Option<MapVersion>,
    /// The request's `after`.
    pub after: Option<IdempotencyKey>,
    /// Claims in the order of their keys.
    pub records: Vec<TransferredClaim>,
    /// Whether this is the last page.
    pub is_last: bool,
}

/// A claim that is handed over to another holder.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct TransferredClaim {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that has the key; `None` when two requests claimed it and either may have won.
    pub request: Option<RequestId>,
    /// Time until the request must have ended; zero when it has ended.
    pub time_left: Duration,
    /// Time until the key expires.
    pub expires_in: Duration,
    /// How the request ended, if known.
    pub outcome: Option<RecordedOutcome>,
}
