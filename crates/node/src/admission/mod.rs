//! Admission of requests before dispatch: each needs a permit within its tenant's limits and, if it must run at most
//! once, the claim of its idempotency key.
//!
//! Traffic threads call this module and wait for replies of other nodes; one background thread sends due messages.

mod answer_record;
mod service;
mod state;
mod status;

pub use answer_record::RecordingSink;
pub use service::{Admission, AdmissionParts, ClaimedKey};
pub use state::AdmissionState;
