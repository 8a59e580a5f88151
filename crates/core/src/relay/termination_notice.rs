//! The notice in which nodes report engines that terminated while running requests.

use speedy::{Readable, Writable};

use super::content::ContentId;
use super::engine_tag::EngineTag;
use crate::world::Address;

/// Reports engines that terminated, and requests that were answered later.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TerminationNotice {
    /// The address where the sender receives notices; identifies the sender.
    pub sender: Address,
    /// Engines that terminated.
    pub terminations: Vec<ReportedTermination>,
    /// Requests that received a complete answer after an engine had terminated while running them.
    pub answered: Vec<AnsweredContent>,
}

/// An engine that terminated while running requests for the sender.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReportedTermination {
    /// The engine.
    pub engine: EngineTag,
    /// The age of the termination in microseconds. The resolution is needed because the send of a request and a
    /// termination may be a few microseconds apart.
    pub age_micros: u64,
    /// The requests that it ran.
    pub runs: Vec<ReportedRun>,
}

/// A request that an engine was running when it terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReportedRun {
    /// The request.
    pub content: ContentId,
    /// The time from the send to the termination, in microseconds.
    pub ran_micros: u32,
}

/// A request that received a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AnsweredContent {
    /// The request.
    pub content: ContentId,
    /// The age of the answer in microseconds. The resolution is needed because the answer and a termination may be a
    /// few microseconds apart.
    pub age_micros: u64,
}
