//! The messages between nodes about prefills and engines, one per datagram.

use speedy::{Readable, Writable};

use super::engine_tag::EngineTag;
use super::prompt::PromptPart;
use super::suspicions::UnreachableNotice;
use super::termination_notice::TerminationNotice;
use crate::back_ends::{DrainNotice, LimitNotice};
use crate::paths::{TunnelOffer, TunnelQuery};
use crate::quota::{QuotaGrant, QuotaRequest};
use crate::resumption::{OriginAnswer, OriginNotice, OriginQuery};
use crate::world::{Address, BackEndId};

/// A message between nodes about prefills and engines.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PeerNotice {
    /// The sender's open and recently finished prefills.
    Prefills(PrefillNotice),
    /// The sender has just started and requests what the engines' caches contain.
    RequestCachedParts {
        /// The address where the sender receives the answers.
        sender: Address,
    },
    /// The cached parts of one engine, for a node that requested them.
    CachedParts(CachedParts),
    /// Back ends that the sender could not reach.
    Unreachable(UnreachableNotice),
    /// Engines that terminated while running requests for the sender.
    Terminations(TerminationNotice),
    /// Back ends that announced that they drain.
    Drains(DrainNotice),
    /// Rate limits that overloaded back ends announced.
    Limits(LimitNotice),
    /// A request for units of a tenant's limit.
    QuotaRequest(QuotaRequest),
    /// The answer to a request for units of a tenant's limit.
    QuotaGrant(QuotaGrant),
    /// A request for tunnels to back ends that the sender can't reach.
    TunnelQuery(TunnelQuery),
    /// An offer of tunnels to back ends.
    TunnelOffer(TunnelOffer),
    /// The sender stops and accepts no more tunnels; open ones should be given up once they are idle.
    TunnelsEnd {
        /// The address where the sender receives notices; identifies it.
        sender: Address,
    },
    /// Where streams of the sender began.
    StreamOrigins(OriginNotice),
    /// A query for where a stream began.
    OriginQuery(OriginQuery),
    /// The answer to a query for where a stream began.
    OriginAnswer(OriginAnswer),
    /// Engines that terminated while running requests with these parts in their prompts for the sender.
    PartTerminations(TerminationNotice),
}

/// The parts that a node estimates to be in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CachedParts {
    /// The engine.
    pub engine: BackEndId,
    /// The parts.
    pub parts: Vec<AnnouncedPart>,
}

/// A part that is estimated to be in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AnnouncedPart {
    /// The part.
    pub part: PromptPart,
    /// Tokens that were added to the engine's cache since the part was last used.
    pub added_since: u64,
}

/// The open prefills of one engine for the sender, summed up: the size of the entry does not grow with the number of
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OpenPrefills {
    /// The engine.
    pub engine: EngineTag,
    /// The tokens to prefill for prompts that can meet their deadline, without cached tokens.
    pub tokens: u32,
    /// The tokens to prefill for late prompts, which wait behind the others.
    pub late_tokens: u32,
    /// The age of the oldest of these prefills in milliseconds.
    pub age_millis: u16,
}

/// A prompt that an engine has prefilled, or whose KV cache it has fetched.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct FinishedPrefill {
    /// The engine.
    pub engine: EngineTag,
    /// The prompt's shared parts, which are now in the engine's cache.
    pub shared_parts: Vec<PromptPart>,
    /// The tokens of the full prompt.
    pub tokens: u32,
}

/// A node's notice to its peers about its prefills. It contains all open prefills, so that the next notice makes up for
/// a lost one.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PrefillNotice {
    /// The address where the sender receives notices; identifies the sender.
    pub sender: Address,
    /// Increases with each notice of one incarnation of the sender.
    pub sequence: u64,
    /// The sender's open prefills, by engine.
    pub open: Vec<OpenPrefills>,
    /// The number of the first of `finished`. Numbers increase by one with each finished prefill of one incarnation of
    /// the sender.
    pub first_finished: u64,
    /// Finished prefills of the sender, with consecutive numbers.
    pub finished: Vec<FinishedPrefill>,
}
