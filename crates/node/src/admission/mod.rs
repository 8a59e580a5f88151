//! What a request must have before it is dispatched: a permit within its tenant's limits and, if it must run at most
//! once, the claim of its idempotency key.
//!
//! Traffic threads call in here and wait for answers of other nodes; one thread sends what is due.

mod answer_record;
mod service;
mod state;
mod status;

pub use answer_record::RecordingSink;
pub use service::{Admission, AdmissionParts, ClaimedKey};
pub use state::AdmissionState;
