//! The software versions of the back ends. Updates between nodes don't contain them, so that their layout remains that of
//! previous releases.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::resumption::{
    BackEndTag, BackEndVersion, SoftwareVersion, VersionKnowledge, VersionNotice, VersionTable, retention,
};
use havengate_core::store::Position;
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

use super::{Learner, Source};
use crate::knowledge::Knowledge;

/// After this time without any update, a listing shows what serves, but not what came and left meanwhile.
const GAP_MAXIMUM: Duration = Duration::from_secs(5);

impl Learner {
    /// Records software versions read from the store. They are published with the directory that they belong to.
    pub fn record_versions(&self, versions: &[BackEndVersion], position: Position) {
        let now = self.clock.now();
        for entry in versions {
            let recorded = self.versions.borrow_mut().record(entry, position, now);
            if recorded.has_changed {
                self.changed_versions.borrow_mut().push(BackEndTag::from(&entry.back_end));
            }
            if recorded.is_new {
                let (service, back_end) = (&entry.service, &entry.back_end);
                let version = entry.version.as_ref().map_or("", SoftwareVersion::label);
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
            let new = back_ends
                .iter()
                .filter(|back_end| versions.receive(**back_end, &version, notice.position, now))
                .count();
            if new > 0 {
                let source = Source::Peer.code();
                log::info!(event = "software_version_found", version = version.label(), source; "");
            }
        }
        self.versions.borrow_mut().summarize();
        let versions = Arc::new(self.versions.borrow().clone());
        self.publish(Knowledge { versions, ..(*self.knowledge.load_full()).clone() });
    }

    /// The notices of this node, at `own`, about the versions of `back_ends`, as far as it knows them.
    pub fn version_notices(&self, back_ends: &[BackEndTag], own: Address) -> Vec<VersionNotice> {
        let (versions, position) = (self.versions.borrow(), self.directory.borrow().position());
        VersionNotice::answers(own, position, back_ends, |back_end| versions.known_version(back_end))
    }

    /// The back ends that have changed their version under the same identity since this was last called. Updates between
    /// nodes don't show such a change.
    pub fn take_changed_versions(&self) -> Vec<BackEndTag> {
        self.changed_versions.take()
    }

    /// The back ends whose version is not known.
    pub fn unknown_versions(&self) -> Vec<BackEndTag> {
        self.versions.borrow().unknown().collect()
    }

    /// Records that a peer has announced these entries of the directory at `position`. The versions of those that differ
    /// from what this node knows may have changed too.
    pub(super) fn record_entries_of_peer<'b>(
        &self,
        back_ends: impl IntoIterator<Item = &'b BackEnd>,
        position: Position,
    ) {
        let directory = self.directory.borrow();
        for back_end in back_ends {
            if directory.get(&back_end.id).is_none_or(|known| !known.listed || known.back_end != *back_end) {
                self.versions.borrow_mut().forget_unless_incarnation(&back_end.id, position, self.clock.now());
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
