//! The directory of back ends: a replica of what they write into the store, with the revision that it stands at.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use speedy::{Readable, Writable};

use super::back_end::{BackEnd, BackEndState};
use super::history::ChangeHistory;
use crate::store::Revision;
use crate::time::Timestamp;
use crate::world::{BackEndId, BackEndName, ServiceName};

/// How long a back end that has just left, or vanished, may still be sent to when its service has no other.
///
/// Entries of back ends that are alive vanish for a while when the store is down, and a back end that leaves goes on
/// serving for at least two seconds. The time is well below those, since the news itself takes a while.
pub const LAST_RESORT: Duration = Duration::from_millis(1_000);

/// Spoiled entries that are remembered: another writer may leave any number of them.
const SPOILED_MAXIMUM: usize = 1_000;

/// The whole directory at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct DirectoryListing {
    /// The store's revision at which the listing was taken.
    pub revision: Revision,
    /// All back ends of that revision.
    pub back_ends: Vec<BackEnd>,
    /// Entries that can't be understood.
    pub spoiled: Vec<BackEndName>,
}

/// One change of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum DirectoryChange {
    /// The back end is new or has changed.
    Put(BackEnd),
    /// The back end's entry is gone.
    Gone(BackEndName),
    /// The entry can't be understood: another writer has left it. It names no back end, whatever it named before.
    Spoiled(BackEndName),
}

impl DirectoryChange {
    fn name(&self) -> &BackEndName {
        match self {
            DirectoryChange::Put(back_end) => back_end.id.name(),
            DirectoryChange::Gone(name) | DirectoryChange::Spoiled(name) => name,
        }
    }
}

/// Changes of the directory after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct DirectoryChanges {
    /// The revision that the changes lead to.
    pub revision: Revision,
    /// The changes in their order; none when nothing has changed up to that revision.
    pub changes: Vec<DirectoryChange>,
}

/// What leads a replica of the directory to a newer revision.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum DirectoryNews {
    /// The changes since the revision that was asked from.
    Changes(DirectoryChanges),
    /// The whole directory: the changes are no longer known.
    Listing(DirectoryListing),
}

/// Whether a back end may be sent a request; of two, the greater one allows less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usability {
    /// It may.
    Usable,
    /// It left a moment ago: only when its service has no usable one.
    LastResort,
    /// It may not.
    Unusable,
}

/// A back end with what the node has noticed about its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The back end as last read.
    pub back_end: BackEnd,
    /// When the node learned that it leaves or that its entry vanished.
    pub left_at: Option<Timestamp>,
    /// Whether the store still lists it.
    pub listed: bool,
}

impl DirectoryEntry {
    /// Whether the back end may be sent a request at `now`.
    pub fn usability(&self, now: Timestamp) -> Usability {
        match self.left_at {
            None => Usability::Usable,
            Some(left_at) if now.since(left_at) < LAST_RESORT => Usability::LastResort,
            Some(_) => Usability::Unusable,
        }
    }
}

/// A node's replica of the directory. Its revision never falls.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    revision: Revision,
    /// The revision of the last change that was not only a confirmation.
    changed_at: Revision,
    known: bool,
    /// By name: a back end has one life at a time.
    entries: BTreeMap<BackEndName, DirectoryEntry>,
    /// Entries that were spoiled: who is told the whole directory must not take them for vanished a moment ago.
    spoiled: BTreeSet<BackEndName>,
    history: ChangeHistory,
}

impl Directory {
    /// An empty directory, of which nothing is known yet.
    pub fn new() -> Self {
        Directory::default()
    }

    /// Whether the directory has been read at least once.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// The revision that the directory stands at.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The revision of the last change: a replica that stands there or later lacks nothing.
    pub fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// All back ends that are ready or draining, and those whose entry vanished a moment ago.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.entries.values()
    }

    /// The entry of a back end, if this life is its present one.
    pub fn get(&self, id: &BackEndId) -> Option<&DirectoryEntry> {
        self.entries.get(id.name()).filter(|entry| entry.back_end.id == *id)
    }

    /// The life that the back end of this name has here, where that is another one.
    pub fn former_life(&self, id: &BackEndId) -> Option<&BackEndId> {
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

    /// Replaces the directory by a listing, unless the listing is older. Entries that are missing have vanished.
    ///
    /// Returns whether the listing was taken.
    pub fn adopt(&mut self, listing: DirectoryListing, now: Timestamp) -> bool {
        if listing.revision < self.revision {
            return false;
        }
        let spoiled: BTreeSet<BackEndName> = listing.spoiled.into_iter().take(SPOILED_MAXIMUM).collect();
        if !self.known || listing.back_ends != self.listing().back_ends || spoiled != self.spoiled {
            self.changed_at = listing.revision;
            self.history.restart(listing.revision);
        }
        self.known = true;
        self.revision = listing.revision;
        let listed: BTreeSet<BackEndName> =
            listing.back_ends.iter().map(|back_end| back_end.id.name().clone()).collect();
        self.entries.retain(|name, _| !spoiled.contains(name));
        self.spoiled = spoiled;
        for back_end in listing.back_ends {
            self.put(back_end, now);
        }
        for (name, entry) in &mut self.entries {
            if !listed.contains(name) {
                entry.vanish(now);
            }
        }
        self.forget_unusable(now);
        true
    }

    /// Applies changes, unless the directory is past their revision already. Changes that it has are applied again, which
    /// does no harm: the last change of each back end decides.
    ///
    /// Returns whether the directory stands at their revision now.
    pub fn apply(&mut self, mut news: DirectoryChanges, now: Timestamp) -> bool {
        if news.revision < self.revision {
            return false;
        }
        // Back ends write their entries again and again; what says nothing new goes no further.
        let last = Self::last_changes(&news.changes);
        let mut number = 0;
        news.changes.retain(|change| {
            number += 1;
            last[number - 1] && self.is_new(change)
        });
        if !news.changes.is_empty() {
            self.changed_at = news.revision;
            self.history.record(self.revision, &news);
        }
        self.revision = news.revision;
        for change in news.changes {
            match change {
                DirectoryChange::Put(back_end) => self.put(back_end, now),
                DirectoryChange::Gone(name) => {
                    self.spoiled.remove(&name);
                    if let Some(entry) = self.entries.get_mut(&name) {
                        entry.vanish(now);
                    }
                }
                DirectoryChange::Spoiled(name) => self.spoil(&name),
            }
        }
        self.forget_unusable(now);
        true
    }

    /// What leads a replica that stands at `revision` to this one, without a change when it stands there already; `None`
    /// when it is ahead.
    pub fn news_since(&self, revision: Revision) -> Option<DirectoryNews> {
        if !self.known || revision > self.revision {
            return None;
        }
        if revision >= self.changed_at {
            return Some(DirectoryNews::Changes(DirectoryChanges { revision: self.revision, changes: Vec::new() }));
        }
        let changes = self.history.since(revision);
        Some(match changes {
            Some(changes) => DirectoryNews::Changes(DirectoryChanges { revision: self.revision, changes }),
            None => DirectoryNews::Listing(self.listing()),
        })
    }

    /// The directory as a listing, for another node. What vanished is left out.
    pub fn listing(&self) -> DirectoryListing {
        let present = self.entries.values().filter(|entry| entry.listed);
        let back_ends = present.map(|entry| entry.back_end.clone()).collect();
        DirectoryListing { revision: self.revision, back_ends, spoiled: self.spoiled.iter().cloned().collect() }
    }

    /// Which of `changes` are the last ones of their back ends: those before them decide nothing.
    fn last_changes(changes: &[DirectoryChange]) -> Vec<bool> {
        let mut seen = BTreeSet::new();
        let mut last: Vec<bool> = changes.iter().rev().map(|change| seen.insert(change.name())).collect();
        last.reverse();
        last
    }

    fn is_new(&self, change: &DirectoryChange) -> bool {
        let entry = self.entries.get(change.name());
        let listed = entry.filter(|entry| entry.listed);
        match change {
            DirectoryChange::Put(back_end) => listed.is_none_or(|entry| entry.back_end != *back_end),
            DirectoryChange::Gone(name) => listed.is_some() || self.spoiled.contains(name),
            DirectoryChange::Spoiled(name) => {
                entry.is_some() || (!self.spoiled.contains(name) && self.spoiled.len() < SPOILED_MAXIMUM)
            }
        }
    }

    fn put(&mut self, back_end: BackEnd, now: Timestamp) {
        let draining = back_end.state == BackEndState::Draining;
        let name = back_end.id.name().clone();
        self.spoiled.remove(&name);
        // What a former life did, also that it left, is none of this one's.
        let left_before = self.get(&back_end.id).and_then(|entry| entry.left_at);
        let left_at = draining.then(|| left_before.unwrap_or(now));
        self.entries.insert(name, DirectoryEntry { back_end, left_at, listed: true });
    }

    /// Takes the entry for none, at once: nothing says that the back end is still there for a moment.
    fn spoil(&mut self, name: &BackEndName) {
        self.entries.remove(name);
        if self.spoiled.len() < SPOILED_MAXIMUM {
            self.spoiled.insert(name.clone());
        }
    }

    fn forget_unusable(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| entry.listed || entry.usability(now) != Usability::Unusable);
    }
}

impl DirectoryEntry {
    fn vanish(&mut self, now: Timestamp) {
        self.left_at.get_or_insert(now);
        self.listed = false;
    }
}
