//! The interface to the store that nodes follow and write to.

use std::future::Future;
use std::time::Duration;

use displaydoc::Display;
use havengate_core::back_ends::{DirectoryChanges, DirectoryListing};
use havengate_core::duties::fleet::FleetBaseline;
use havengate_core::duties::usage::{LedgerWrite, UsageLedger};
use havengate_core::duties::{LeaseRecord, LeaseWrite};
use havengate_core::relay::{ContentId, ReportedTermination};
use havengate_core::resumption::BackEndVersion;
use havengate_core::routing::TrafficConfiguration;
use havengate_core::store::{ObjectVersion, Position, Revision};
use havengate_core::world::ServiceName;

use crate::engine_terminations::BlockScope;

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// the store can't be reached: {0}
    Unreachable(String),
    /// the store refused the call: {0}
    Refused(String),
    /// the store throttles calls
    Throttled,
    /// the store no longer has the history after the revision
    HistoryGone,
    /// the answer is from before the store was restored from an older snapshot
    PreviousEra,
    /// the store's answer is malformed: {0}
    Malformed(String),
}

/// The directory as listed by the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreListing {
    /// The back ends.
    pub listing: DirectoryListing,
    /// Their software versions, which are not part of the directory.
    pub versions: Vec<BackEndVersion>,
    /// Whether the list was read to its end. A back end that is missing in an incomplete one may be there.
    pub is_complete: bool,
}

/// Changes of the directory in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// The changes.
    pub changes: DirectoryChanges,
    /// The software versions of the back ends that are new or have changed.
    pub versions: Vec<BackEndVersion>,
}

/// The configuration at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationRead {
    /// The store's position at which it was read.
    pub position: Position,
    /// The newest configuration; `None` when there is none (or, after a wait, no newer one).
    pub configuration: Option<TrafficConfiguration>,
}

/// The lease as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseRead {
    /// The content; `None` when there is no object, or its content is not a lease.
    pub record: Option<LeaseRecord>,
    /// The version of the object that was read.
    pub version: ObjectVersion,
}

/// The usage ledger as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerRead {
    /// The ledger; empty when there is no object, `None` when the object can't be parsed.
    pub ledger: Option<UsageLedger>,
    /// The version of the object that was read.
    pub version: ObjectVersion,
}

/// The baseline of a service's fleet as read from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BaselineRead {
    /// The content; `None` when there is no object, or its content is not a baseline.
    pub baseline: Option<FleetBaseline>,
    /// The version of the object that was read.
    pub version: ObjectVersion,
}

/// A blocked request, or a blocked part of prompts, as stored for nodes that start when no other node knows of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockRecord {
    /// The request or the part.
    pub content: ContentId,
    /// When it was written, in milliseconds since 1970 by the writer's wall clock.
    pub written_millis: u64,
    /// The engines that terminated while running it, with their ages at the time of writing.
    pub terminations: Vec<ReportedTermination>,
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and created this revision.
    Written(Revision),
    /// It did not and will not take effect: the object has changed.
    Conflict,
}

/// A session with the store, with one connection and one call at a time.
pub trait ControlStore: Clone + Send + 'static {
    /// Reads the complete directory.
    fn list_back_ends(&mut self) -> impl Future<Output = Result<StoreListing, StoreError>>;

    /// Waits for changes of the directory.
    fn watch_back_ends(
        &mut self,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, StoreError>>;

    /// Reads the configuration.
    fn read_configuration(&mut self) -> impl Future<Output = Result<ConfigurationRead, StoreError>>;

    /// Reads the lease that is required for orders to engines.
    fn read_lease(&mut self) -> impl Future<Output = Result<LeaseRead, StoreError>>;

    /// Writes the lease if the stored one is still what the write replaces. After an error the outcome is unknown.
    fn write_lease(&mut self, write: &LeaseWrite) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Reads the stored usage ledger.
    fn read_usage(&mut self) -> impl Future<Output = Result<LedgerRead, StoreError>>;

    /// Writes the usage ledger if the stored one is still what the write replaces. After an error the outcome is
    /// unknown.
    fn write_usage(&mut self, write: &LedgerWrite) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Reads the baseline of a service, from before any of its engines was ordered.
    fn read_baseline(&mut self, service: &ServiceName) -> impl Future<Output = Result<BaselineRead, StoreError>>;

    /// Writes the baseline of a service if the stored object still has the version `expected`.
    /// After an error the outcome is unknown.
    fn write_baseline(
        &mut self,
        service: &ServiceName,
        baseline: FleetBaseline,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Reads the records of all blocked requests, or of all blocked parts of prompts.
    fn list_blocks(&mut self, scope: BlockScope) -> impl Future<Output = Result<Vec<BlockRecord>, StoreError>>;

    /// Writes the record of a blocked request or part; does nothing when it is stored already.
    fn write_block(&mut self, scope: BlockScope, record: &BlockRecord) -> impl Future<Output = Result<(), StoreError>>;

    /// Removes the record of a request or part that is no longer blocked, if it is stored.
    fn remove_block(&mut self, scope: BlockScope, content: ContentId) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits for a change of the configuration.
    fn watch_configuration(
        &mut self,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationRead, StoreError>>;
}
