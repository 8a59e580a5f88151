//! What nodes tell each other about the reading of prompts, each message in one datagram.

use speedy::{Readable, Writable};

use super::engine_tag::EngineTag;
use super::prompt::PromptPart;
use super::suspicions::UnreachableNotice;
use super::termination_notice::TerminationNotice;
use crate::back_ends::{DrainNotice, LimitNotice};
use crate::world::{Address, BackEndId};

/// A message between nodes about the reading of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum PeerNotice {
    /// What the sender reads now and has just read.
    Prefills(PrefillNotice),
    /// The sender has just started and asks what engines keep.
    RequestCachedParts {
        /// Where the sender takes the answers.
        sender: Address,
    },
    /// What one engine keeps, for a node that asked.
    CachedParts(CachedParts),
    /// Back ends that the sender could not reach.
    Unreachable(UnreachableNotice),
    /// Engines that ended while they ran requests for the sender.
    Terminations(TerminationNotice),
    /// Back ends that said that they leave.
    Drains(DrainNotice),
    /// What back ends in need take.
    Limits(LimitNotice),
}

/// What a node believes that an engine keeps.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CachedParts {
    /// The engine.
    pub engine: BackEndId,
    /// The parts.
    pub parts: Vec<AnnouncedPart>,
}

/// A part that an engine is believed to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AnnouncedPart {
    /// The part.
    pub part: PromptPart,
    /// Tokens that were brought into the engine's cache since the part was last used.
    pub brought_since: u64,
}

/// The prompts that one engine reads now for the sender, taken together: its size does not grow with the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OpenPrefills {
    /// The engine.
    pub engine: EngineTag,
    /// The tokens that it has to read for prompts that can be in time, without those that it kept.
    pub tokens: u32,
    /// The same for prompts that are late, which wait behind the others.
    pub late_tokens: u32,
    /// How long it has been reading the first of them, in milliseconds.
    pub age_millis: u16,
}

/// A prompt that an engine has read, or whose KV cache it has got.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct FinishedPrefill {
    /// The engine.
    pub engine: EngineTag,
    /// The prompt's shared parts, which the engine now keeps.
    pub shared_parts: Vec<PromptPart>,
    /// The tokens of the whole prompt.
    pub tokens: u32,
}

/// What a node tells its peers about the prompts that it has read: everything that is open, so that a lost notice is
/// made up for by the next.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PrefillNotice {
    /// Where the sender takes notices; names it.
    pub sender: Address,
    /// Rises with each notice of one life of the sender.
    pub sequence: u64,
    /// The sender's readings that are open, by engine.
    pub open: Vec<OpenPrefills>,
    /// The number of the first of `finished`. Numbers rise by one with each finished reading of one life of the sender.
    pub first_finished: u64,
    /// Finished readings of the sender, one after the other.
    pub finished: Vec<FinishedPrefill>,
}
