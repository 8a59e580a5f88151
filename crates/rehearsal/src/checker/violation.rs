//! Guarantees that were broken.

use std::time::Duration;

use displaydoc::Display;
use havengate_core::request::RequestId;
use havengate_core::world::EngineName;

/// One breach of a guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// call {call}: the answer is not the whole answer to its own request
    WrongAnswer {
        /// The call.
        call: u64,
    },
    /// call {call}: completed, but no engine has finished request {request}
    CompletedWithoutRun {
        /// The call.
        call: u64,
        /// Its request.
        request: RequestId,
    },
    /// call {call}: told that it did not run, but {engine} started request {request}
    RanAfterNotRun {
        /// The call.
        call: u64,
        /// Its request.
        request: RequestId,
        /// The engine.
        engine: EngineName,
    },
    /// key `{key}`: {generations} runs and {prefills} prefills
    KeyRanAgain {
        /// The key.
        key: String,
        /// Runs that generate.
        generations: usize,
        /// Runs that only read the prompt.
        prefills: usize,
    },
    /// {engine} started request {request} {after:?} after it had announced that it leaves
    NewWorkWhileLeaving {
        /// The engine.
        engine: EngineName,
        /// The request.
        request: RequestId,
        /// Time since the announcement.
        after: Duration,
    },
    /// an order to {engine} cut off request {request}
    CutByOrder {
        /// The engine.
        engine: EngineName,
        /// The request.
        request: RequestId,
    },
    /// call {call}: cut off ({reason}) though nothing failed meanwhile
    CutWithoutFailure {
        /// The call.
        call: u64,
        /// The code that the caller got.
        reason: String,
    },
    /// {engine} took {orders} orders that did not follow from the one before
    ConflictingOrders {
        /// The engine.
        engine: EngineName,
        /// How many.
        orders: u64,
    },
    /// {offered} requests were sent and {recorded} have an outcome
    Unaccounted {
        /// Requests sent.
        offered: u64,
        /// Outcomes.
        recorded: u64,
    },
    /// the history of {engine} lacks {runs} runs: nothing is proven
    IncompleteHistory {
        /// The engine.
        engine: EngineName,
        /// Runs that are missing.
        runs: u64,
    },
}
