//! The last changes of the directory, for replicas that are a little behind.

use std::collections::VecDeque;

use super::directory_update::{DirectoryChange, DirectoryChanges};
use crate::store::Position;

/// Changes that are remembered. A replica that lacks more gets the whole directory.
const CHANGES_MAXIMUM: usize = 512;

#[derive(Clone, Debug)]
struct Batch {
    /// The position that the directory stood at before.
    from: Position,
    /// The position that it led to.
    to: Position,
    changes: Vec<DirectoryChange>,
}

/// The last changes of a directory, oldest first.
///
/// Invariant: the batches follow each other without a gap that holds a change.
#[derive(Clone, Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<Batch>,
    count: usize,
}

impl ChangeHistory {
    /// Forgets all: what led to `position` is not known change by change.
    pub fn restart(&mut self, position: Position) {
        self.batches.clear();
        self.batches.push_back(Batch { from: position, to: position, changes: Vec::new() });
        self.count = 0;
    }

    /// Remembers changes that led on from the position `from`.
    pub fn record(&mut self, from: Position, update: &DirectoryChanges) {
        self.count += update.changes.len();
        self.batches.push_back(Batch { from, to: update.position, changes: update.changes.clone() });
        while self.count > CHANGES_MAXIMUM {
            let evicted = self.batches.pop_front();
            self.count -= evicted.map_or(0, |batch| batch.changes.len());
        }
    }

    /// All changes after `position`, and perhaps a few before it; `None` when they are not all remembered.
    pub fn since(&self, position: Position) -> Option<Vec<DirectoryChange>> {
        let first = self.batches.iter().position(|batch| batch.to > position)?;
        let is_covered = first > 0 || self.batches[first].from <= position;
        is_covered.then(|| self.batches.range(first..).flat_map(|batch| batch.changes.clone()).collect())
    }
}
