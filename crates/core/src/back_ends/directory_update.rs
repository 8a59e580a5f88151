//! What is told of the directory, by the store and between nodes.

use speedy::{Readable, Writable};

use super::back_end::BackEnd;
use crate::store::{Position, StoreEra};
use crate::world::BackEndName;

/// The whole directory at one position of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct DirectoryListing {
    /// The store's position at which the listing was taken.
    pub position: Position,
    /// All back ends of that position.
    pub back_ends: Vec<BackEnd>,
    /// Entries that can't be understood.
    pub malformed: Vec<BackEndName>,
}

/// One change of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum DirectoryChange {
    /// The back end is new or has changed.
    Put(BackEnd),
    /// The back end's entry is gone.
    Gone(BackEndName),
    /// The entry can't be understood: another writer has left it. It names no back end, whatever it named before.
    Malformed(BackEndName),
}

impl DirectoryChange {
    /// The back end that it concerns.
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
    /// The position that the changes lead to.
    pub position: Position,
    /// The changes in their order; none when nothing has changed up to that position.
    pub changes: Vec<DirectoryChange>,
}

/// What leads a replica of the directory to a newer position.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum DirectoryUpdate {
    /// The changes since the position that was asked from.
    Changes(DirectoryChanges),
    /// The whole directory: the changes are no longer known.
    Listing(DirectoryListing),
}

impl DirectoryUpdate {
    /// The position that the news lead to.
    pub fn position(&self) -> Position {
        match self {
            DirectoryUpdate::Changes(changes) => changes.position,
            DirectoryUpdate::Listing(listing) => listing.position,
        }
    }

    /// The same news as nodes tell it that know no era.
    pub fn without_era(self) -> Self {
        let position = self.position().without_era();
        self.at(position)
    }

    /// The news of a node that knows no era, as those of `era`.
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
