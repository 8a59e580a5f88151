//! The last changes of the directory, for replicas that are a little behind.

use std::collections::VecDeque;

use super::directory::{DirectoryChange, DirectoryChanges};
use crate::store::Revision;

/// Changes that are remembered. A replica that lacks more gets the whole directory.
const CHANGES_MAXIMUM: usize = 512;

#[derive(Clone, Debug)]
struct Batch {
    /// The revision that the directory stood at before.
    from: Revision,
    /// The revision that it led to.
    to: Revision,
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
    /// Forgets all: what led to `revision` is not known change by change.
    pub fn restart(&mut self, revision: Revision) {
        self.batches.clear();
        self.batches.push_back(Batch { from: revision, to: revision, changes: Vec::new() });
        self.count = 0;
    }

    /// Remembers changes that led on from the revision `from`.
    pub fn record(&mut self, from: Revision, news: &DirectoryChanges) {
        self.count += news.changes.len();
        self.batches.push_back(Batch { from, to: news.revision, changes: news.changes.clone() });
        while self.count > CHANGES_MAXIMUM {
            let forgotten = self.batches.pop_front();
            self.count -= forgotten.map_or(0, |batch| batch.changes.len());
        }
    }

    /// All changes after `revision`, and perhaps a few before it; `None` when they are not all remembered.
    pub fn since(&self, revision: Revision) -> Option<Vec<DirectoryChange>> {
        let first = self.batches.iter().position(|batch| batch.to > revision)?;
        let is_covered = first > 0 || self.batches[first].from <= revision;
        is_covered.then(|| self.batches.range(first..).flat_map(|batch| batch.changes.clone()).collect())
    }
}
