//! Updates of the directory, from the store and between nodes.

use speedy::{Readable, Writable};

use super::back_end::BackEnd;
use crate::store::{Position, StoreEra};
use crate::world::BackEndName;

/// The full directory at one store position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct DirectoryListing {
    /// The store position of the listing.
    pub position: Position,
    /// All back ends at that position.
    pub back_ends: Vec<BackEnd>,
    /// Entries that can't be parsed.
    pub malformed: Vec<BackEndName>,
}

/// One change of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum DirectoryChange {
    /// The back end is new or has changed.
    Put(BackEnd),
    /// The back end's entry was removed.
    Gone(BackEndName),
    /// The entry can't be parsed: a foreign writer has overwritten it. It no longer describes a back end.
    Malformed(BackEndName),
}

impl DirectoryChange {
    /// The name of the back end that changed.
    pub fn name(&self) -> &BackEndName {
        match self {
            DirectoryChange::Put(back_end) => back_end.id.name(),
            DirectoryChange::Gone(name) | DirectoryChange::Malformed(name) => name,
        }
    }
}

/// Changes of the directory after a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct DirectoryChanges {
    /// The position after the changes.
    pub position: Position,
    /// The changes in order; empty if nothing has changed up to that position.
    pub changes: Vec<DirectoryChange>,
}

/// An update that brings a replica of the directory to a newer position.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum DirectoryUpdate {
    /// The changes since the requested position.
    Changes(DirectoryChanges),
    /// The full directory: the changes are no longer known.
    Listing(DirectoryListing),
}

impl DirectoryUpdate {
    /// The position after the update.
    pub fn position(&self) -> Position {
        match self {
            DirectoryUpdate::Changes(changes) => changes.position,
            DirectoryUpdate::Listing(listing) => listing.position,
        }
    }

    /// The same update without an era, for nodes that don't know eras.
    pub fn without_era(self) -> Self {
        let position = self.position().without_era();
        self.at(position)
    }

    /// The update of a node that doesn't know eras, placed in `era`.
    pub fn with_era(self, era: StoreEra) -> Self {
        let position = Position::new(era, self.position().revision);
        self.at(position)
    }

    fn at(self, position: Position) -> Self {
        match self {
            DirectoryUpdate::Changes(changes) => DirectoryUpdate::Changes(DirectoryChanges { position, ..changes }),
            DirectoryUpdate::Listing(listing) => DirectoryUpdate::Listing(DirectoryListing { position, ..listing }),
        }
    }
}
