//! Duties: work that one node does for the whole deployment, and the lease that authorizes it.
//!
//! One node at a time holds the [`Lease`], under which it orders engines to change their stage, reports the usage of
//! tenants, and orders how many engines there are. [`candidates`] selects the nodes that try to acquire it. This module does
//! no I/O. `docs/adr/0013-stages.md` and `docs/adr/0014-duties.md` give the reasons.

mod answer;
mod candidates;
pub mod fleet;
mod lease;
mod true_time;
mod unavailable;
pub mod usage;

pub use answer::DutyAnswer;
pub use candidates::{CANDIDATES, HolderWatch, HolderWatchConfig, candidates};
pub use lease::{HolderId, Lease, LeaseConfig, LeaseRecord, LeaseStep, LeaseWrite, Succession};
pub use true_time::{TrueTime, TrueTimeConfig};
pub use unavailable::UnavailableCandidates;
