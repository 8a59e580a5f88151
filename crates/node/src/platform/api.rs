//! What the node asks of the platform, whatever its dialect.

use std::time::Duration;

use havengate_core::store::{ObjectKey, Revision, StoreReply, StoreRequest, StoredObject};

use super::dialect::MachineEntry;

/// The calls that the node makes to the platform. All of them block, within time limits.
pub trait PlatformApi: Send + Sync {
    /// Reads or writes an object.
    fn call(&self, request: &StoreRequest) -> StoreReply;

    /// Waits until the object's revision is above `after`, at most for `wait`.
    ///
    /// `None` when it did not change, or the store did not answer.
    fn watch(&self, key: &ObjectKey, after: Revision, wait: Duration) -> Option<StoredObject>;

    /// The platform's list of machines, which lags. `None` when it did not answer.
    fn machines(&self) -> Option<Vec<MachineEntry>>;
}
