//! Messages between claimers and holders, and between holders.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::slot_map::{MapVersion, SlotIndex, SlotMapChanges};
use crate::membership::{Incarnation, Member};
use crate::request::{FinishReason, IdempotencyKey, RequestId};
use crate::verdict::Verdict;
use crate::world::Address;

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimEnvelope {
    /// The receiver.
    pub to: Address,
    /// The message.
    pub message: ClaimMessage,
}

/// Everything that nodes say to each other about claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimMessage {
    /// A claimer asks a holder for a key.
    Claim(ClaimRequest),
    /// A holder answers a claim.
    ClaimReply(ClaimReply),
    /// A claimer tells a holder how the request ended.
    Outcome(OutcomeReport),
    /// A holder has taken note of an outcome.
    OutcomeAck(OutcomeAck),
    /// A new holder fences an older one and asks for its claims.
    TakeOver(TakeOverRequest),
    /// An older holder hands over its claims.
    TakeOverReply(TakeOverReply),
    /// The proposer of maps asks a holder in which slots it votes.
    StatusRequest,
    /// A holder tells in which slots it votes.
    Status(Vec<SlotStatus>),
    /// A node tells which version of the map it has.
    MapVersion(MapVersion),
    /// A node that has a newer map sends what has changed.
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
    /// The request that the key is claimed for; a repeated message for the same request is granted again.
    pub request: RequestId,
    /// The version of the slot by the claimer's map. A holder refuses every other version.
    pub version: MapVersion,
    /// Time until the request ends, whatever happens.
    pub time_left: Duration,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ClaimReply {
    /// The request that asked.
    pub request: RequestId,
    /// The version of the slot that the request named.
    pub version: MapVersion,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// A holder's answer to a claim.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ClaimAnswer {
    /// The key is the request's, as far as this holder goes. Carries the highest incarnation that the holder knows of
    /// each holder of the slot, its own included.
    Granted(Vec<Incarnation>),
    /// Another request has the key.
    Held(HeldClaim),
    /// The holder does not vote.
    Refused(ClaimRefusal),
}

/// What a holder knows about the request that has the key.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum HeldClaim {
    /// It has not ended and its time is not over.
    InProgress,
    /// Its time is over and its outcome is not known here.
    Overdue,
    /// It has ended, and has run or may have run.
    Ended(RecordedOutcome),
}

/// Why a holder does not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimRefusal {
    /// The holder has been fenced by a newer version of the slot.
    OlderVersion,
    /// The holder has not yet seen the version that the claimer names.
    UnknownVersion,
    /// The holder does not have the claims of the slot yet.
    Abstaining,
    /// The holder has no room for another key.
    Full,
    /// The request may take longer than a claim lasts.
    TimeTooLong,
    /// The claim has been released already; this is a late copy.
    Released,
}

/// How a request with a key ended. Only requests that have run, or may have, are recorded.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct RecordedOutcome {
    /// The final verdict.
    pub verdict: Verdict,
    /// The whole answer, where the verdict is [`Verdict::Completed`] and the answer is short enough to be kept.
    pub answer: Option<RecordedAnswer>,
}

/// An answer that is kept with its key.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The whole text.
    pub text: String,
    /// Tokens of the text.
    pub tokens: u32,
    /// Why the answer ended.
    pub finish: FinishReason,
}

/// Tells a holder how a request with a key ended. A verdict of [`Verdict::NotRun`] gives the key back.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct OutcomeReport {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that had claimed it.
    pub request: RequestId,
    /// How it ended.
    pub outcome: RecordedOutcome,
}

/// A holder has taken note of an outcome.
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
    /// The version in which the sender holds the slot. The receiver grants nothing in older versions from now on.
    pub version: MapVersion,
    /// The sender in its present life.
    pub taker: Member,
    /// The last key of the page before; none for the first page.
    pub after: Option<IdempotencyKey>,
}

/// A page of a holder's claims.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct TakeOverReply {
    /// The slot.
    pub slot: SlotIndex,
    /// The version that the taker named, at which this holder is fenced now.
    pub version: MapVersion,
    /// The life of the holder that answers; pages of two lives don't belong together.
    pub incarnation: Incarnation,
    /// Since which version the holder has had all of the slot's claims that concern it; none when it abstains.
    pub complete_since: Option<MapVersion>,
    /// The request's `after`.
    pub after: Option<IdempotencyKey>,
    /// Claims in the order of their keys.
    pub records: Vec<TransferredClaim>,
    /// Whether this is the last page.
    pub is_last: bool,
}

/// A claim on its way to another holder.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct TransferredClaim {
    /// The key.
    pub key: IdempotencyKey,
    /// The request that has the key; none when two requests asked for it and either may have got it.
    pub request: Option<RequestId>,
    /// Time until the request must have ended; zero when it has.
    pub time_left: Duration,
    /// Time until the key is forgotten.
    pub expires_in: Duration,
    /// How the request ended, when that is known.
    pub outcome: Option<RecordedOutcome>,
}
