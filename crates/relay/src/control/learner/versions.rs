//! The software versions of the back ends.

use std::time::Duration;

use havengate_core::resumption::{BackEndVersion, VersionTable};

use super::Learner;

/// How long the version of a back end is kept after the back end has left.
const DEPARTED_KEPT_FOR: Duration = Duration::from_secs(60);

impl Learner {
    /// Records software versions read from the store.
    pub fn record_versions(&self, versions: &[BackEndVersion]) {
        for entry in versions {
            if let Some(version) = self.versions.borrow_mut().record(entry) {
                let (service, back_end, version) = (&entry.service, &entry.back_end, version.label());
                log::info!(event = "software_version_found", service:%, back_end:%, version; "");
            }
        }
    }

    /// The versions of the back ends in the current directory.
    pub(super) fn updated_versions(&self) -> VersionTable {
        let mut versions = self.versions.borrow_mut();
        versions.apply_directory(&self.directory.borrow(), DEPARTED_KEPT_FOR, self.clock.now());
        versions.clone()
    }
}
