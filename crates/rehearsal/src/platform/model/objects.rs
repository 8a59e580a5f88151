//! Objects with their revisions, and their past.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use havengate_core::store::{ObjectKey, OperationId, Revision, StoredObject};
use havengate_core::time::Timestamp;

/// A write by compare-and-set.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) key: ObjectKey,
    pub(super) expected: Revision,
    pub(super) operation: OperationId,
    pub(super) value: String,
}

/// The objects of the store.
#[derive(Debug)]
pub(super) struct Objects {
    versions_maximum: usize,
    /// The versions of each object and the time from which on they hold, oldest first.
    versions: BTreeMap<ObjectKey, VecDeque<(Timestamp, StoredObject)>>,
}

impl Objects {
    pub(super) fn new(versions_maximum: usize) -> Self {
        Objects { versions_maximum: versions_maximum.max(1), versions: BTreeMap::new() }
    }

    /// The object as it is.
    pub(super) fn current(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.versions.get(key)?.back().map(|(_, object)| object)
    }

    /// The object as it was `age` before `now`, or the oldest version kept if that one is younger.
    pub(super) fn at_age(&self, key: &ObjectKey, age: Duration, now: Timestamp) -> Option<&StoredObject> {
        if age.is_zero() {
            return self.current(key);
        }
        let versions = self.versions.get(key)?;
        let was_there = |(from, _): &&(Timestamp, StoredObject)| *from + age <= now;
        let past = versions.iter().rev().find(was_there);
        let has_lost_versions = versions.len() == self.versions_maximum;
        past.or_else(|| versions.front().filter(|_| has_lost_versions)).map(|(_, object)| object)
    }

    /// Writes an object if its revision is the expected one; else tells what is there.
    pub(super) fn compare_and_set(&mut self, write: Write, now: Timestamp) -> Result<Revision, Option<StoredObject>> {
        let current = self.current(&write.key);
        if current.map_or(Revision(0), |object| object.revision) != write.expected {
            return Err(current.cloned());
        }
        let revision = Revision(write.expected.0 + 1);
        let object = StoredObject { revision, operation: write.operation, value: write.value };
        let versions = self.versions.entry(write.key).or_default();
        versions.push_back((now, object));
        if versions.len() > self.versions_maximum {
            versions.pop_front();
        }
        Ok(revision)
    }
}
