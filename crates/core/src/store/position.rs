//! Positions in the store's history: an era and a revision.

use std::fmt;

use speedy::{Context, Readable, Reader, Writable, Writer};

use super::Revision;

/// The store's epoch number. It is raised by one each time the store is restored from an older snapshot, since
/// revisions after that snapshot are then assigned again; 0 if the store reports no era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u32);

impl StoreEra {
    /// The bits of the era when packed with a revision in a message between nodes.
    const BITS: u32 = 19;

    /// The highest era.
    pub const MAXIMUM: StoreEra = StoreEra((1 << StoreEra::BITS) - 1);

    /// The era with this number; `None` if it is too large.
    pub fn new(number: u64) -> Option<Self> {
        u32::try_from(number).ok().map(StoreEra).filter(|era| *era <= StoreEra::MAXIMUM)
    }

    /// The era's number.
    pub fn number(self) -> u64 {
        u64::from(self.0)
    }

    /// Whether the store reports its eras.
    pub fn is_reported(self) -> bool {
        self.0 > 0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A revision of the store in one of its eras. A position of a later era is newer, whatever the revisions.
///
/// Between nodes it is encoded as one number with the era in the high bits, so that it equals the bare revision if the
/// store reports no eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era.
    pub era: StoreEra,
    /// The revision.
    pub revision: Revision,
}

impl Position {
    const REVISION_BITS: u32 = u64::BITS - StoreEra::BITS;

    /// The highest revision that can be encoded between nodes; no store runs long enough to exceed it.
    pub const REVISION_MAXIMUM: Revision = Revision((1 << Position::REVISION_BITS) - 1);

    /// The position of `revision` in `era`.
    pub fn new(era: StoreEra, revision: Revision) -> Self {
        Position { era, revision }
    }

    /// The same revision without its era, for nodes that don't know eras.
    pub fn without_era(self) -> Self {
        Position::from(self.revision)
    }

    fn packed(self) -> u64 {
        let revision = self.revision.min(Position::REVISION_MAXIMUM);
        (self.era.number() << Position::REVISION_BITS) | revision.0
    }

    fn unpacked(packed: u64) -> Self {
        let era = StoreEra((packed >> Position::REVISION_BITS) as u32);
        Position { era, revision: Revision(packed & Position::REVISION_MAXIMUM.0) }
    }
}

/// The version of an object when it was read or written: its era and its revision, or none if the object didn't exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectVersion {
    /// The era.
    pub era: StoreEra,
    /// The object's revision.
    pub revision: Option<Revision>,
}

impl ObjectVersion {
    /// The object at `revision` in the same era.
    pub fn at(self, revision: Revision) -> Self {
        ObjectVersion { revision: Some(revision), ..self }
    }
}

impl From<Revision> for Position {
    fn from(revision: Revision) -> Self {
        Position { era: StoreEra::default(), revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision.0)
    }
}

impl<C: Context> Writable<C> for Position {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        self.packed().write_to(writer)
    }

    fn bytes_needed(&self) -> Result<usize, C::Error> {
        Ok(size_of::<u64>())
    }
}

impl<'a, C: Context> Readable<'a, C> for Position {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        Ok(Position::unpacked(u64::read_from(reader)?))
    }

    fn minimum_bytes_needed() -> usize {
        size_of::<u64>()
    }
}
