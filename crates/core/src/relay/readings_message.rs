//! What nodes tell each other about the reading of prompts, each message in one datagram.

use speedy::{Readable, Writable};

use super::prompt::PromptPart;
use crate::world::{Address, BackEndId};

/// A message between nodes about the reading of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ReadingsMessage {
    /// What the sender reads now and has just read.
    Notice(ReadingsNotice),
    /// The sender has just started and asks what engines keep.
    AskKept {
        /// Where the sender takes the answers.
        sender: Address,
    },
    /// What one engine keeps, for a node that asked.
    Kept(KeptParts),
}

/// What a node believes that an engine keeps.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct KeptParts {
    /// The engine.
    pub engine: BackEndId,
    /// The parts.
    pub parts: Vec<ToldPart>,
}

/// A part that an engine is believed to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ToldPart {
    /// The part.
    pub part: PromptPart,
    /// Tokens that were brought into the engine's cache since the part was last used.
    pub brought_since: u64,
}

/// A prompt that an engine reads now.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OpenReading {
    /// The engine.
    pub engine: BackEndId,
    /// The tokens that it has to read, without those that it kept.
    pub tokens: u32,
    /// How long it has been reading, in milliseconds.
    pub age_millis: u32,
}

/// A prompt that an engine has read.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct FinishedReading {
    /// The engine.
    pub engine: BackEndId,
    /// Rises with each finished reading of one life of the sender.
    pub number: u64,
    /// The prompt's first shared part, which the engine now keeps.
    pub part: PromptPart,
    /// The tokens of the whole prompt.
    pub tokens: u32,
}

/// What a node tells its peers about the prompts that it has read: everything that is open, so that a lost notice is
/// made up for by the next.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReadingsNotice {
    /// Where the sender takes notices; names it.
    pub sender: Address,
    /// Rises with each notice of one life of the sender.
    pub sequence: u64,
    /// All of the sender's readings that are open.
    pub open: Vec<OpenReading>,
    /// The sender's last finished readings.
    pub finished: Vec<FinishedReading>,
}
