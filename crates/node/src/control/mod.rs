//! Control: one thread owns the state of membership, configuration and authority, and publishes snapshots of it.

mod snapshot;

pub use snapshot::{ControlSnapshot, PoolRoute, SharedSnapshot};
