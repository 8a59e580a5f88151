//! Where something stands in what the store has written: in which of its lives, and at which revision.

use std::fmt;

use speedy::{Context, Readable, Reader, Writable, Writer};

use super::Revision;

/// A life of the store. It rises by one each time that the store comes back from an older copy, whose revisions are given out again from
/// there on; 0 where the store tells none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(u32);

impl StoreEra {
    /// The bits that an era has beside a revision in a message between nodes.
    const BITS: u32 = 19;

    /// The highest era.
    pub const MAXIMUM: StoreEra = StoreEra((1 << StoreEra::BITS) - 1);

    /// The era of this number; `None` for one that is too large.
    pub fn new(number: u64) -> Option<Self> {
        u32::try_from(number).ok().map(StoreEra).filter(|era| *era <= StoreEra::MAXIMUM)
    }

    /// Its number.
    pub fn number(self) -> u64 {
        u64::from(self.0)
    }

    /// Whether the store tells its eras.
    pub fn is_reported(self) -> bool {
        self.0 > 0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A revision of the store in one of its eras. Of two, the one of the later era is the newer one, whatever the revisions.
///
/// Between nodes it is one number, the era above the revision, so that it reads as the bare revision where the store tells no eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era.
    pub era: StoreEra,
    /// The revision.
    pub revision: Revision,
}

impl Position {
    const REVISION_BITS: u32 = u64::BITS - StoreEra::BITS;

    /// The highest revision that can be told between nodes; no store lives long enough for more.
    pub const REVISION_MAXIMUM: Revision = Revision((1 << Position::REVISION_BITS) - 1);

    /// The position of `revision` in `era`.
    pub fn new(era: StoreEra, revision: Revision) -> Self {
        Position { era, revision }
    }

    /// The same revision without its era, for nodes that know none.
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

/// One object as it was when it was read or written: in which era, and at which revision; none where it was not there.
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
