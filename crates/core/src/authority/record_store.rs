//! Reads and writes the record of a pool: one request at a time, with backoff, resolving writes whose reply was lost.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::config::AuthorityConfig;
use super::record::{AuthorityRecord, RecordAt};
use crate::membership::Member;
use crate::store::{ObjectKey, OperationId, Revision, StoreReply, StoreRequest, StoredObject};
use crate::time::Timestamp;
use crate::world::PoolId;

/// Counters of one authority's store requests since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Reads.
    pub reads: u64,
    /// Writes by compare-and-set, including refused ones.
    pub writes: u64,
    /// Writes whose reply was lost and whose operation id was then read back, so that they had taken effect.
    pub resolved: u64,
    /// Ignored answers that were older than the known record.
    pub stale: u64,
}

enum Pending {
    Read,
    Write { operation: OperationId, record: AuthorityRecord },
}

/// Access to one record.
///
/// Invariant: a write expects the revision that its content was derived from, so of two writes derived from one
/// revision only one takes effect, however late they arrive and however stale the reads in between are.
pub(super) struct RecordStore {
    key: ObjectKey,
    me: Member,
    retry_minimum: Duration,
    retry_maximum: Duration,
    known: Option<RecordAt>,
    pending: Option<Pending>,
    unresolved: Option<OperationId>,
    failures: u32,
    next_request: Timestamp,
    operations: u64,
    counters: StoreCounters,
}

impl RecordStore {
    pub(super) fn new(pool: &PoolId, me: Member, config: &AuthorityConfig) -> Self {
        RecordStore {
            key: AuthorityRecord::key(pool),
            me,
            retry_minimum: config.store_retry_minimum,
            retry_maximum: config.store_retry_maximum,
            known: None,
            pending: None,
            unresolved: None,
            failures: 0,
            next_request: Timestamp::ZERO,
            operations: 0,
            counters: StoreCounters::default(),
        }
    }

    /// Starts a new incarnation of this process as `me`. The pending request is kept, since its reply is still to
    /// arrive and must not be taken for the reply to a later request. The known record remains valid.
    pub(super) fn rejoin(&mut self, me: Member) {
        self.me = me;
    }

    /// The newest record known to have been in the store.
    pub(super) fn known(&self) -> Option<&RecordAt> {
        self.known.as_ref()
    }

    pub(super) fn counters(&self) -> StoreCounters {
        self.counters
    }

    /// Creates a request that writes the newest record as modified by `change`, or a read when no record is known or
    /// the outcome of a write is unknown.
    ///
    /// Returns `None` while a request is pending or during the backoff after a failure.
    pub(super) fn request(
        &mut self,
        now: Timestamp,
        change: impl FnOnce(&AuthorityRecord) -> AuthorityRecord,
    ) -> Option<StoreRequest> {
        if self.pending.is_some() || now < self.next_request {
            return None;
        }
        match &self.known {
            Some(known) if self.unresolved.is_none() => {
                let (expected, record) = (known.revision, change(&known.record));
                Some(self.write(expected, record))
            }
            _ => Some(self.read()),
        }
    }

    /// Applies a record that this node or a peer has seen in the store. A record older than the known one is ignored.
    pub(super) fn learn(&mut self, stored: RecordAt) {
        if self.known.as_ref().is_none_or(|known| known.revision <= stored.revision) {
            self.known = Some(stored);
        }
    }

    /// Applies the reply to the pending request.
    pub(super) fn reply(&mut self, reply: StoreReply, now: Timestamp) {
        let Some(pending) = self.pending.take() else { return };
        match (reply, pending) {
            (StoreReply::Written(revision), Pending::Write { record, .. }) => {
                self.failures = 0;
                self.learn(RecordAt { revision, record });
            }
            (StoreReply::Object(object) | StoreReply::Conflict(object), _) => self.observe(object, now),
            (_, Pending::Write { operation, .. }) => {
                self.unresolved = Some(operation);
                self.back_off(now);
            }
            (_, Pending::Read) => self.back_off(now),
        }
    }

    /// Applies the object returned by a read or a conflict, which may be stale.
    fn observe(&mut self, object: Option<StoredObject>, now: Timestamp) {
        let (revision, operation, record) = match object {
            None => (Revision(0), None, Some(AuthorityRecord::default())),
            Some(object) => (object.revision, Some(object.operation), serde_json::from_str(&object.value).ok()),
        };
        let Some(record) = record else { return self.back_off(now) };
        let took_effect = operation.is_some() && operation == self.unresolved;
        self.counters.resolved += u64::from(took_effect);
        self.unresolved = None;
        if self.known.as_ref().is_some_and(|known| known.revision > revision) {
            self.counters.stale += 1;
            return self.back_off(now);
        }
        self.failures = 0;
        self.learn(RecordAt { revision, record });
    }

    fn read(&mut self) -> StoreRequest {
        self.counters.reads += 1;
        self.pending = Some(Pending::Read);
        StoreRequest::Read { key: self.key.clone() }
    }

    fn write(&mut self, expected: Revision, record: AuthorityRecord) -> StoreRequest {
        self.counters.writes += 1;
        let operation = self.next_operation();
        let value = serde_json::to_string(&record).expect("a record of plain values has a JSON form");
        self.pending = Some(Pending::Write { operation, record });
        StoreRequest::CompareAndSet { key: self.key.clone(), expected, operation, value }
    }

    /// Returns an id that is unique over all processes: a hash of the process's incarnation, the object and a counter.
    fn next_operation(&mut self) -> OperationId {
        self.operations += 1;
        OperationId(xxh3_64(format!("{} {} {}", self.me, self.key.0, self.operations).as_bytes()))
    }

    fn back_off(&mut self, now: Timestamp) {
        let factor = 1_u32 << self.failures.min(8);
        self.failures += 1;
        self.next_request = now + (self.retry_minimum * factor).min(self.retry_maximum);
    }
}
