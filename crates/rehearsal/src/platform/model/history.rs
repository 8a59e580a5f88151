//! The writes that the platform has accepted, for a checker to read.

use std::collections::VecDeque;

use havengate_core::store::{ObjectKey, OperationId, Revision};
use havengate_core::time::Timestamp;

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteRecord {
    /// When.
    pub at: Timestamp,
    /// The object.
    pub key: ObjectKey,
    /// The revision that it made.
    pub revision: Revision,
    /// Its identity.
    pub operation: OperationId,
    /// The content.
    pub value: String,
}

/// The writes that took effect, in their order; the oldest are dropped beyond a maximum.
#[derive(Clone, Debug, Default)]
pub struct PlatformHistory {
    maximum: usize,
    writes: VecDeque<WriteRecord>,
}

impl PlatformHistory {
    pub(super) fn new(maximum: usize) -> Self {
        PlatformHistory { maximum, writes: VecDeque::new() }
    }

    /// The writes.
    pub fn writes(&self) -> impl Iterator<Item = &WriteRecord> {
        self.writes.iter()
    }

    pub(super) fn add(&mut self, write: WriteRecord) {
        self.writes.push_back(write);
        if self.writes.len() > self.maximum {
            self.writes.pop_front();
        }
    }
}
