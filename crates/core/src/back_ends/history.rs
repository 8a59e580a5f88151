//! The last changes of the directory, for replicas that are slightly behind.

use std::collections::VecDeque;

use super::directory_update::{DirectoryChange, DirectoryChanges};
use crate::store::Position;

/// The number of changes that are kept. A replica that lacks more gets the full directory.
const CHANGES_MAXIMUM: usize = 512;

#[derive(Clone, Debug)]
struct Batch {
    /// The directory's position before the changes.
    from: Position,
    /// The directory's position after the changes.
    to: Position,
    changes: Vec<DirectoryChange>,
}

/// The last changes of a directory, oldest first.
///
/// Invariant: the batches are consecutive; no change lies between two of them.
#[derive(Clone, Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<Batch>,
    count: usize,
}

impl ChangeHistory {
    /// Clears the history: the individual changes up to `position` are not known.
    pub fn restart(&mut self, position: Position) {
        self.batches.clear();
        self.batches.push_back(Batch { from: position, to: position, changes: Vec::new() });
        self.count = 0;
    }

    /// Records changes that apply to the position `from`.
    pub fn record(&mut self, from: Position, update: &DirectoryChanges) {
        self.count += update.changes.len();
        self.batches.push_back(Batch { from, to: update.position, changes: update.changes.clone() });
        while self.count > CHANGES_MAXIMUM {
            let evicted = self.batches.pop_front();
            self.count -= evicted.map_or(0, |batch| batch.changes.len());
        }
    }

    /// All changes after `position`, and possibly a few before it; `None` if some of them are no longer kept.
    pub fn since(&self, position: Position) -> Option<Vec<DirectoryChange>> {
        let first = self.batches.iter().position(|batch| batch.to > position)?;
        let is_covered = first > 0 || self.batches[first].from <= position;
        is_covered.then(|| self.batches.range(first..).flat_map(|batch| batch.changes.clone()).collect())
    }
}
