//! Streams that callers take up again after an interruption, and the software versions of back ends.
//!
//! Back ends of several software versions may serve a service side by side. What two versions write doesn't fit
//! together, so a stream may be resumed only at a back end of the version that began it.

mod software_version;
mod version_table;

pub use software_version::{SoftwareVersion, VersionFingerprint};
pub use version_table::{BackEndVersion, VersionKnowledge, VersionTable};
