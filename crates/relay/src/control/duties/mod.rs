//! Duties: tasks that one node performs for the whole system, under a lease in the store.

mod fleet_duty;
mod holder;
mod lease_keeper;
mod pacing;
mod settings;
mod usage_duty;

pub use holder::{Duties, DutyParts};
pub use lease_keeper::LeaseKeeper;
pub use settings::{DutyLeaseSettings, DutySettings};
