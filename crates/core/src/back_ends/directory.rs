//! The directory of back ends: a replica of the entries that they write into the store, with its store position.

use std::collections::{BTreeMap, BTreeSet};

use super::back_end::{BackEnd, BackEndState};
use super::directory_entry::{DirectoryEntry, Usability};
use super::directory_update::{DirectoryChange, DirectoryChanges, DirectoryListing, DirectoryUpdate};
use super::history::ChangeHistory;
use super::previous_era::PreviousEra;
use crate::store::Position;
use crate::time::Timestamp;
use crate::world::{BackEndId, BackEndName, ServiceName};

/// The largest number of malformed entries that is recorded: foreign writers may leave any number of them.
const MALFORMED_MAXIMUM: usize = 1_000;

/// A node's replica of the directory. Its position never decreases, except when the store is restored from an older
/// snapshot without reporting a new era.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    position: Position,
    /// The position of the last change; confirmations don't count.
    changed_at: Position,
    known: bool,
    /// By name: a back end has one incarnation at a time.
    entries: BTreeMap<BackEndName, DirectoryEntry>,
    /// Malformed entries. A replica that receives the full directory must not treat them as just removed.
    malformed: BTreeSet<BackEndName>,
    history: ChangeHistory,
    previous_era: PreviousEra,
    /// Whether the store was restored from an older snapshot since the directory was first read.
    was_restored: bool,
}

impl Directory {
    /// An empty directory that has not been read yet.
    pub fn new() -> Self {
        Directory::default()
    }

    /// Whether the directory has been read at least once.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// The store position of the directory.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The position of the last change: a replica at this position or a later one lacks no change.
    pub fn changed_at(&self) -> Position {
        self.changed_at
    }

    /// Whether the store was restored from an older snapshot since the directory was first read.
    pub fn was_restored(&self) -> bool {
        self.was_restored
    }

    /// All back ends that are ready or draining, and those whose entry was removed a moment ago.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// The entry of a back end, if `id` is its current incarnation.
    pub fn get(&self, id: &BackEndId) -> Option<&DirectoryEntry> {
        self.entries.get(id.name()).filter(|entry| entry.back_end.id == *id)
    }

    /// The incarnation that the directory lists under the name of `id`, if it is a different one.
    pub fn other_incarnation(&self, id: &BackEndId) -> Option<&BackEndId> {
        let entry = self.entries.get(id.name())?;
        (entry.back_end.id != *id).then_some(&entry.back_end.id)
    }

    /// The entries of `service`.
    pub fn of_service<'a, 'b>(
        &'a self,
        service: &'b ServiceName,
    ) -> impl Iterator<Item = &'a DirectoryEntry> + use<'a, 'b> {
        self.entries.values().filter(move |entry| entry.back_end.service == *service)
    }

    /// Replaces the directory by a listing, unless the listing is older. Missing entries count as removed, unless it is
    /// the first listing of a new era.
    ///
    /// Returns whether the listing was applied.
    pub fn adopt(&mut self, listing: DirectoryListing, now: Timestamp) -> bool {
        if listing.position < self.position {
            return false;
        }
        if self.known && listing.position.era > self.position.era {
            self.was_restored |= self.is_behind(listing.position);
            self.record_restore(now);
        }
        self.replace(listing, now);
        true
    }

    /// Replaces the directory by a listing of a store that was restored from an older snapshot without reporting an
    /// era.
    pub fn adopt_restored(&mut self, listing: DirectoryListing, now: Timestamp) {
        self.was_restored = true;
        self.record_restore(now);
        self.replace(listing, now);
    }

    /// Whether `position` belongs to a snapshot that is older than this directory. The first era that is reported may
    /// be the one that the directory already belongs to.
    pub fn is_behind(&self, position: Position) -> bool {
        let is_later = position.era > self.position.era && self.position.era.is_reported();
        self.known && (is_later || position.revision < self.position.revision)
    }

    /// Prepares for a listing that comes from an older snapshot.
    fn record_restore(&mut self, now: Timestamp) {
        self.previous_era.begin(now);
        for entry in self.entries.values_mut() {
            entry.drained_before_restore |= entry.back_end.state == BackEndState::Draining;
            if entry.listed && entry.usability(now) != Usability::Unusable {
                self.previous_era.record_present(&entry.back_end.id);
            } else if !entry.listed && entry.retired_at.is_some_and(|retired_at| retired_at <= now) {
                self.previous_era.record_departed(&entry.back_end.id, now);
            }
        }
    }

    fn replace(&mut self, listing: DirectoryListing, now: Timestamp) {
        let mut back_ends = listing.back_ends;
        back_ends.iter_mut().for_each(|back_end| self.preserve_draining(back_end));
        let malformed: BTreeSet<BackEndName> = listing.malformed.into_iter().take(MALFORMED_MAXIMUM).collect();
        let is_other_era = listing.position.era != self.position.era || listing.position < self.position;
        if !self.known || is_other_era || back_ends != self.listing().back_ends || malformed != self.malformed {
            self.changed_at = listing.position;
            self.history.restart(listing.position);
        }
        self.known = true;
        self.position = listing.position;
        let listed: BTreeSet<BackEndName> = back_ends.iter().map(|back_end| back_end.id.name().clone()).collect();
        self.entries.retain(|name, _| !malformed.contains(name));
        self.malformed = malformed;
        for back_end in back_ends {
            self.put(back_end, now);
        }
        let unlisted_at = self.previous_era.held_until(now).unwrap_or(now);
        for (name, entry) in &mut self.entries {
            if !listed.contains(name) {
                entry.mark_unlisted(unlisted_at);
            }
        }
        self.forget_unusable(now);
    }

    /// Applies changes, unless the directory is already past their position. Applying a change twice is harmless: the
    /// last change of each back end takes effect.
    ///
    /// Returns whether the directory is at their position now.
    pub fn apply(&mut self, mut update: DirectoryChanges, now: Timestamp) -> bool {
        if update.position < self.position || update.position.era != self.position.era {
            return false;
        }
        for change in &mut update.changes {
            if let DirectoryChange::Put(back_end) = change {
                self.preserve_draining(back_end);
            }
        }
        // Back ends rewrite their entries periodically, so redundant changes are not passed on. But a replica that got
        // only the first of two changes from another reader lacks the second one, even where both together change
        // nothing here.
        let counts = Self::counts(&update.changes);
        let last = Self::last_changes(&update.changes);
        let mut number = 0;
        update.changes.retain(|change| {
            number += 1;
            last[number - 1] && (counts[number - 1] > 1 || self.is_new(change))
        });
        if !update.changes.is_empty() {
            self.changed_at = update.position;
            self.history.record(self.position, &update);
        }
        self.position = update.position;
        for change in update.changes {
            match change {
                DirectoryChange::Put(back_end) => self.put(back_end, now),
                DirectoryChange::Gone(name) => {
                    self.malformed.remove(&name);
                    if let Some(entry) = self.entries.get_mut(&name) {
                        entry.mark_unlisted(now);
                    }
                }
                DirectoryChange::Malformed(name) => self.mark_malformed(&name),
            }
        }
        self.forget_unusable(now);
        true
    }

    /// The update that brings a replica at `position` to this one's state, without changes if it is up to date; `None`
    /// if it is ahead. A replica that reports no era gets an update without one.
    pub fn update_since(&self, position: Position) -> Option<DirectoryUpdate> {
        if !self.known {
            return None;
        }
        if position.era.is_reported() || !self.position.era.is_reported() {
            return self.update_after(position);
        }
        let same_era = Position::new(self.position.era, position.revision);
        let update = if self.was_restored && same_era < self.position {
            // Its revision may belong to the previous era, to which changes of this era don't apply.
            Some(DirectoryUpdate::Listing(self.listing()))
        } else {
            self.update_after(same_era)
        };
        update.map(DirectoryUpdate::without_era)
    }

    fn update_after(&self, position: Position) -> Option<DirectoryUpdate> {
        if position > self.position {
            return None;
        }
        if position >= self.changed_at {
            return Some(DirectoryUpdate::Changes(DirectoryChanges { position: self.position, changes: Vec::new() }));
        }
        let changes = self.history.since(position);
        Some(match changes {
            Some(changes) => DirectoryUpdate::Changes(DirectoryChanges { position: self.position, changes }),
            None => DirectoryUpdate::Listing(self.listing()),
        })
    }

    /// The directory as a listing, for another node. Removed entries are left out.
    pub fn listing(&self) -> DirectoryListing {
        let present = self.entries.values().filter(|entry| entry.listed);
        let back_ends = present.map(|entry| entry.back_end.clone()).collect();
        DirectoryListing { position: self.position, back_ends, malformed: self.malformed.iter().cloned().collect() }
    }

    /// Which of `changes` are the last ones of their back ends: earlier ones have no effect.
    fn last_changes(changes: &[DirectoryChange]) -> Vec<bool> {
        let mut seen = BTreeSet::new();
        let mut last: Vec<bool> = changes.iter().rev().map(|change| seen.insert(change.name())).collect();
        last.reverse();
        last
    }

    /// For each change, the number of `changes` of the same back end.
    fn counts(changes: &[DirectoryChange]) -> Vec<usize> {
        let mut by_name: BTreeMap<&BackEndName, usize> = BTreeMap::new();
        changes.iter().for_each(|change| *by_name.entry(change.name()).or_default() += 1);
        changes.iter().map(|change| by_name[change.name()]).collect()
    }

    fn is_new(&self, change: &DirectoryChange) -> bool {
        let entry = self.entries.get(change.name());
        let listed = entry.filter(|entry| entry.listed);
        match change {
            // Other nodes may not know of a drain that was announced before the store was restored.
            DirectoryChange::Put(back_end) => {
                listed.is_none_or(|entry| entry.drained_before_restore || entry.back_end != *back_end)
            }
            DirectoryChange::Gone(name) => listed.is_some() || self.malformed.contains(name),
            DirectoryChange::Malformed(name) => {
                entry.is_some() || (!self.malformed.contains(name) && self.malformed.len() < MALFORMED_MAXIMUM)
            }
        }
    }

    fn put(&mut self, back_end: BackEnd, now: Timestamp) {
        let name = back_end.id.name().clone();
        self.malformed.remove(&name);
        if let Some(previous) = self.other_incarnation(&back_end.id).cloned() {
            self.previous_era.record_departed(&previous, now);
        }
        // The state of a previous incarnation, including that it drained, doesn't carry over to this one.
        let before = self.get(&back_end.id);
        let retired_before = before.and_then(|entry| entry.retired_at).map(|retired_at| retired_at.min(now));
        let drained_before_restore = before.is_some_and(|entry| entry.drained_before_restore);
        let quarantined_until = self.previous_era.quarantined_until(&back_end.id, now);
        let read = DirectoryEntry::read(back_end, retired_before, now);
        self.entries.insert(name, DirectoryEntry { quarantined_until, drained_before_restore, ..read });
    }

    /// Keeps an incarnation draining that announced its drain before the store was restored: the snapshot may not
    /// contain it.
    fn preserve_draining(&self, back_end: &mut BackEnd) {
        if self.get(&back_end.id).is_some_and(|entry| entry.drained_before_restore) {
            back_end.state = BackEndState::Draining;
        }
    }

    /// Removes the entry at once, without a last-resort period: nothing shows that the back end still exists.
    fn mark_malformed(&mut self, name: &BackEndName) {
        self.entries.remove(name);
        if self.malformed.len() < MALFORMED_MAXIMUM {
            self.malformed.insert(name.clone());
        }
    }

    fn forget_unusable(&mut self, now: Timestamp) {
        let previous_era = &mut self.previous_era;
        self.entries.retain(|_, entry| {
            let is_kept = entry.listed || entry.usability(now) != Usability::Unusable;
            if !is_kept {
                previous_era.record_departed(&entry.back_end.id, now);
            }
            is_kept
        });
    }
}
