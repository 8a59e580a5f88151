//! The interface to the platform's object store: reads, and compare-and-set writes whose replies may be lost.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

mod position;

pub use position::{ObjectVersion, Position, StoreEra};

/// Names an object in the store, for example `configuration`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(pub String);

/// Counts the writes to one object; an object that doesn't exist has revision 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Identifies one write. It is stored with the object, so that the outcome of a write whose reply was lost is found by
/// reading the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(pub u64);

/// An object as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object's revision.
    pub revision: Revision,
    /// The write that created this revision.
    pub operation: OperationId,
    /// The content, JSON text.
    pub value: String,
}

/// A request of a node to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads an object. The answer may be stale.
    Read {
        /// The object.
        key: ObjectKey,
    },
    /// Writes an object if its revision is still `expected`.
    CompareAndSet {
        /// The object.
        key: ObjectKey,
        /// The revision that the write replaces.
        expected: Revision,
        /// The identity of this write.
        operation: OperationId,
        /// The new content, JSON text.
        value: String,
    },
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object, possibly stale; `None` if it doesn't exist.
    Object(Option<StoredObject>),
    /// The write took effect and created this revision.
    Written(Revision),
    /// The write did not take effect: the object has a different revision.
    Conflict(Option<StoredObject>),
    /// The store can't be reached or did not answer in time. A write may have taken effect.
    Unknown,
}
