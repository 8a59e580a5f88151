//! The software versions of the back ends. Updates between nodes don't contain them, so that their layout remains that of
//! previous releases.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::back_ends::DirectoryChange;
use havengate_core::resumption::{
    BackEndTag, BackEndVersion, VersionKnowledge, VersionNotice, VersionQuery, VersionTable, retention,
};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

use super::{Learner, Source};
use crate::knowledge::Knowledge;

/// After this time without any update, a listing shows what serves, but not what came and left meanwhile.
const GAP_MAXIMUM: Duration = Duration::from_secs(5);

impl Learner {
    /// Records software versions read from the store. They are published with the directory that they belong to.
    pub fn record_versions(&self, versions: &[BackEndVersion]) {
        let now = self.clock.now();
        for entry in versions {
            if let Some(version) = self.versions.borrow_mut().record(entry, now) {
                let (service, back_end, version) = (&entry.service, &entry.back_end, version.label());
                let source = Source::Store.code();
                log::info!(event = "software_version_found", service:%, back_end:%, version, source; "");
            }
        }
    }

    /// Adopts the versions that a peer knows.
    pub fn receive_versions(&self, notice: VersionNotice) {
        let now = self.clock.now();
        for (version, back_ends) in notice.versions {
            let version = VersionKnowledge::from(version);
            let mut versions = self.versions.borrow_mut();
            let new = back_ends.iter().filter(|back_end| versions.receive(**back_end, &version, now)).count();
            if new > 0 {
                let source = Source::Peer.code();
                log::info!(event = "software_version_found", version = version.label(), source; "");
            }
        }
        self.versions.borrow_mut().summarize();
        let versions = Arc::new(self.versions.borrow().clone());
        self.publish(Knowledge { versions, ..(*self.knowledge.load_full()).clone() });
    }

    /// The answers to a peer's query for versions.
    pub fn answer_version_query(&self, query: &VersionQuery, own: Address) -> Vec<VersionNotice> {
        let versions = self.versions.borrow();
        VersionNotice::answers(own, &query.back_ends, |back_end| versions.known_version(back_end))
    }

    /// The back ends whose version is not known.
    pub fn unknown_versions(&self) -> Vec<BackEndTag> {
        self.versions.borrow().unknown().collect()
    }

    /// Records that a peer has announced these changes of the directory.
    pub(super) fn record_changes_of_peer(&self, changes: &[DirectoryChange]) {
        for change in changes {
            if let DirectoryChange::Put(back_end) = change {
                self.versions.borrow_mut().forget_unless_incarnation(&back_end.id);
            }
        }
    }

    /// Records that the directory is replaced by a listing, after its last confirmation at `confirmed_before`.
    pub(super) fn record_listing(&self, confirmed_before: Option<Timestamp>) {
        let now = self.clock.now();
        if confirmed_before.is_some_and(|confirmed_at| now.since(confirmed_at) > GAP_MAXIMUM) {
            self.versions.borrow_mut().interrupt(now);
        }
    }

    /// The versions of the back ends in the current directory.
    pub(super) fn updated_versions(&self) -> VersionTable {
        let knowledge = self.knowledge.load();
        let configuration = knowledge.configuration.as_ref().map(|active| &active.configuration);
        let mut versions = self.versions.borrow_mut();
        versions.apply_directory(&self.directory.borrow(), retention(configuration), self.clock.now());
        versions.clone()
    }
}
