//! What nodes tell each other of engines that ended while they ran requests.

use speedy::{Readable, Writable};

use super::content::ContentId;
use super::engine_tag::EngineTag;
use crate::world::Address;

/// Engines that ended, and requests that were answered after all.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TerminationNotice {
    /// Where the sender takes notices; names it.
    pub sender: Address,
    /// Engines that ended.
    pub terminations: Vec<ReportedTermination>,
    /// Requests that were answered whole since an engine ended under them.
    pub answered: Vec<AnsweredContent>,
}

/// An engine that ended while it ran requests for the sender.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReportedTermination {
    /// The engine.
    pub engine: EngineTag,
    /// How long ago, in microseconds: whether a request was sent before or after an end is a matter of a few.
    pub age_micros: u64,
    /// What it ran.
    pub runs: Vec<ReportedRun>,
}

/// A request that an engine ran when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReportedRun {
    /// The request.
    pub content: ContentId,
    /// How long before the end it was sent there, in microseconds.
    pub ran_micros: u32,
}

/// A request that was answered whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AnsweredContent {
    /// The request.
    pub content: ContentId,
    /// How long ago, in microseconds: whether a request was sent before or after an end is a matter of a few.
    pub age_micros: u64,
}
