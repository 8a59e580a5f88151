//! Control: one thread owns the state of membership, configuration and authority, and publishes snapshots of it.

mod outbox;
mod publisher;
mod snapshot;
mod thread;
mod workers;

pub use outbox::{Outbox, OutboxParts};
pub use publisher::{Publisher, PublisherParts};
pub use snapshot::{ControlSnapshot, KnownNode, PoolRoute, SharedSnapshot};
pub use thread::{
    ControlEvent, ControlThread, ControlThreadParts, CurrentMember, EVENTS_MAXIMUM, inspect, new_incarnation,
};
pub use workers::{Busy, Workers};
