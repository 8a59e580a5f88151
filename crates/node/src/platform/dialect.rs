//! The platform's HTTP dialect, as typed bodies. The stand-in platform of the rehearsal speaks the same.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /objects/KEY` | | 200 [`havengate_core::store::StoredObject`], or 404 |
//! | `GET /objects/KEY?after=REVISION&wait_ms=N` | | as above once the revision is higher, or 304 after the wait |
//! | `PUT /objects/KEY` | [`WriteRequest`] | 200 [`WriteAnswer`], or 409 [`havengate_core::store::StoredObject`] or `null` |
//! | `GET /machines` | | 200 and a list of [`MachineEntry`], late |
//!
//! 429 means too many readers, 503 that the platform is down.

use havengate_core::store::{OperationId, Revision};
use havengate_core::world::{Address, ZoneName};
use serde::{Deserialize, Serialize};

/// A write by compare-and-set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteRequest {
    /// The revision that the write replaces; 0 creates the object.
    pub expected: Revision,
    /// The identity of this write, stored with the object.
    pub operation: OperationId,
    /// The new content, JSON text.
    pub value: String,
}

/// The answer to a write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteAnswer {
    /// The revision that the write made.
    pub revision: Revision,
}

/// A machine in the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineEntry {
    /// Where its node listens for peers.
    pub address: Address,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it is about to go.
    pub leaving: bool,
}
