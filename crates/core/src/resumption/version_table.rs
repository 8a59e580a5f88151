//! The software versions of back ends, and those that served each service recently.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::back_end_tag::BackEndTag;
use super::service_tag::ServiceTag;
use super::service_versions::ServiceVersions;
use super::software_version::VersionFingerprint;
use super::version_knowledge::{BackEndVersion, RecordedVersion, VersionKey, VersionKnowledge};
use crate::back_ends::{Directory, LAST_RESORT};
use crate::store::Position;
use crate::time::Timestamp;
use crate::world::BackEndId;

/// The most former versions of back ends that changed theirs without a new identity.
const FORMER_VERSIONS_MAXIMUM: usize = 1_000;

#[derive(Clone, Debug)]
struct VersionedBackEnd {
    service: ServiceTag,
    version: VersionKnowledge,
    /// The store position from which on the version holds. While it is unknown: an answer from before says nothing.
    as_of: Position,
    /// Whether the identity includes the start, so that the version can't change.
    is_incarnation: bool,
    /// Since when this node has seen no change of the entry.
    unchanged_since: Timestamp,
    /// The version before the back end's entry changed, if it is not known yet whether the version changed too.
    unconfirmed: Option<VersionKnowledge>,
    /// Until when it may have been sent requests; `None` while it serves.
    departed_at: Option<Timestamp>,
    /// Whether it has announced another version before, under the same identity.
    has_changed: bool,
}

impl VersionedBackEnd {
    fn key(&self, tag: BackEndTag) -> VersionKey {
        self.version.fingerprint().map_or(VersionKey::BackEnd(tag), VersionKey::Version)
    }

    /// Whether the back end may have had another version at `at` than its entry names now.
    fn may_differ(&self, at: Timestamp) -> bool {
        !self.is_incarnation && self.version.fingerprint().is_some() && at < self.unchanged_since
    }
}

/// The former version of a back end that announces another one under the same identity.
#[derive(Clone, Copy, Debug)]
struct FormerVersion {
    service: ServiceTag,
    key: VersionKey,
    changed_at: Timestamp,
}

/// The software versions of the back ends of a directory, and of those that left it recently.
#[derive(Clone, Debug, Default)]
pub struct VersionTable {
    back_ends: BTreeMap<BackEndTag, VersionedBackEnd>,
    former: Vec<FormerVersion>,
    services: BTreeMap<ServiceTag, ServiceVersions>,
    /// The versions that were recorded in each service.
    recorded: BTreeSet<(ServiceTag, VersionFingerprint)>,
    /// Since when no back end can have served without being recorded here; `None` before the first directory.
    complete_since: Option<Timestamp>,
    kept_for: Duration,
}

impl VersionTable {
    /// What is known of the version of `back_end`.
    pub fn version_of(&self, back_end: &BackEndId) -> &VersionKnowledge {
        self.back_ends.get(&back_end.into()).map_or(&VersionKnowledge::Unknown, |known| &known.version)
    }

    /// The key of `back_end`.
    pub fn key_of(&self, back_end: &BackEndId) -> VersionKey {
        let tag = back_end.into();
        self.back_ends.get(&tag).map_or(VersionKey::BackEnd(tag), |known| known.key(tag))
    }

    /// The most that is known of `key` as of `at`, which may come from a node that did not know a back end's version; `None` if
    /// the back end may have had another version then.
    pub fn resolve(&self, key: VersionKey, at: Timestamp) -> Option<VersionKey> {
        match key {
            VersionKey::Version(_) => Some(key),
            VersionKey::BackEnd(tag) => match self.back_ends.get(&tag) {
                Some(known) if known.has_changed || known.may_differ(at) => None,
                Some(known) => Some(known.key(tag)),
                None => Some(key),
            },
        }
    }

    /// The text of a version for logs.
    pub fn label_of(&self, key: VersionKey) -> String {
        let mut known = self.back_ends.iter().filter(|(tag, known)| known.key(**tag) == key);
        match (known.next(), key) {
            (Some((_, known)), _) => known.version.label().to_owned(),
            (None, VersionKey::Version(fingerprint)) => fingerprint.to_string(),
            (None, VersionKey::BackEnd(_)) => VersionKnowledge::Unknown.label().to_owned(),
        }
    }

    /// The versions that served `service` recently.
    pub fn of_service(&self, service: ServiceTag) -> Option<&ServiceVersions> {
        self.services.get(&service)
    }

    /// The versions that can have begun a stream of `service` that is resumed at `now`, as far as this table contains them.
    pub fn possible(&self, service: ServiceTag, now: Timestamp) -> BTreeSet<VersionKey> {
        self.of_service(service).map(|versions| versions.keys(self.kept_for, now)).unwrap_or_default()
    }

    /// For how long versions are remembered after their last back end has left.
    pub fn kept_for(&self) -> Duration {
        self.kept_for
    }

    /// For how long up to `now` the table contains all versions that have served, at most the time for which they are
    /// remembered.
    pub fn covered(&self, now: Timestamp) -> Duration {
        self.complete_since.map_or(Duration::ZERO, |since| now.since(since)).min(self.kept_for)
    }

    /// Whether the table contains all versions that can have begun a stream that is still resumed.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.complete_since.is_some_and(|since| now.since(since) >= self.kept_for)
    }

    /// Whether nodes have to know which version began a stream: several can have, or some are not known.
    pub fn needs_origins(&self, service: ServiceTag, now: Timestamp) -> bool {
        !self.is_complete(now) || self.possible(service, now).len() > 1
    }

    /// The back ends whose version is not known yet.
    pub fn unknown(&self) -> impl Iterator<Item = BackEndTag> {
        self.back_ends.iter().filter(|(_, known)| known.version == VersionKnowledge::Unknown).map(|(tag, _)| *tag)
    }

    /// What is known of the version of the back end with this tag, for another node; `None` if it is not known.
    pub fn known_version(&self, tag: BackEndTag) -> Option<&VersionKnowledge> {
        let version = &self.back_ends.get(&tag)?.version;
        (*version != VersionKnowledge::Unknown).then_some(version)
    }

    /// Records what an entry of the store says at `position`. It counts from the next [`VersionTable::summarize`] on.
    pub fn record(&mut self, entry: &BackEndVersion, position: Position, now: Timestamp) -> RecordedVersion {
        let (tag, service) = (BackEndTag::from(&entry.back_end), ServiceTag::from(&entry.service));
        let is_incarnation = entry.back_end.started().is_some();
        self.entry(tag, service, is_incarnation, position, now);
        let has_changed = self.set(tag, entry.version.clone().into(), position, now);
        let version = entry.version.as_ref();
        let is_new = version.is_some_and(|version| self.recorded.insert((service, version.fingerprint())));
        RecordedVersion { is_new, has_changed }
    }

    /// Records the version of a back end that another node knows as of `position`, unless more is known here. It counts from
    /// the next [`VersionTable::summarize`] on.
    ///
    /// Returns whether the service of the back end did not have the version so far.
    pub fn receive(&mut self, tag: BackEndTag, version: &VersionKnowledge, position: Position, now: Timestamp) -> bool {
        let is_newer = |known: &&VersionedBackEnd| match known.version {
            VersionKnowledge::Unknown => known.is_incarnation || position >= known.as_of,
            _ => !known.is_incarnation && position > known.as_of,
        };
        let Some(service) = self.back_ends.get(&tag).filter(is_newer).map(|known| known.service) else {
            return false;
        };
        self.set(tag, version.clone(), position, now);
        version.fingerprint().is_some_and(|version| self.recorded.insert((service, version)))
    }

    /// Forgets the version of a back end whose entry has changed, unless its identity includes its start: another node,
    /// which doesn't pass on versions, has announced the change, at `position`.
    pub fn forget_unless_incarnation(&mut self, back_end: &BackEndId, position: Position, now: Timestamp) {
        if back_end.started().is_none()
            && let Some(known) = self.back_ends.get_mut(&back_end.into())
        {
            known.as_of = position;
            known.unchanged_since = now;
            let version = std::mem::take(&mut known.version);
            if version != VersionKnowledge::Unknown {
                known.unconfirmed = Some(version);
            }
        }
    }

    /// Records that nothing has served before: the whole system starts for the first time.
    pub fn begin_complete(&mut self) {
        self.complete_since = Some(Timestamp::ZERO);
    }

    /// Records that back ends may have come and gone without being observed.
    pub fn interrupt(&mut self, now: Timestamp) {
        self.complete_since = Some(now);
    }

    /// Applies a directory: which back ends serve, and which have left. Versions are remembered for `kept_for`.
    pub fn apply_directory(&mut self, directory: &Directory, kept_for: Duration, now: Timestamp) {
        self.kept_for = kept_for;
        if directory.is_known() {
            self.complete_since.get_or_insert(now);
        }
        let mut present: BTreeSet<BackEndTag> = BTreeSet::new();
        for entry in directory.entries() {
            let tag = BackEndTag::from(&entry.back_end.id);
            present.insert(tag);
            let last_use = entry.retired_at.map(|retired_at| retired_at + LAST_RESORT);
            let (service, is_incarnation) =
                (ServiceTag::from(&entry.back_end.service), entry.back_end.id.started().is_some());
            self.entry(tag, service, is_incarnation, directory.position(), now).departed_at = last_use;
        }
        self.back_ends.retain(|tag, back_end| {
            if present.contains(tag) {
                return true;
            }
            now.since(*back_end.departed_at.get_or_insert(now)) < kept_for
        });
        self.former.retain(|former| now.since(former.changed_at) < kept_for);
        self.summarize();
    }

    /// Recomputes the versions of each service.
    pub fn summarize(&mut self) {
        self.services.clear();
        self.recorded.clear();
        for (tag, back_end) in &self.back_ends {
            self.services.entry(back_end.service).or_default().add(back_end.key(*tag), back_end.departed_at);
            self.recorded.extend(back_end.version.fingerprint().map(|version| (back_end.service, version)));
        }
        for former in &self.former {
            self.services.entry(former.service).or_default().add(former.key, Some(former.changed_at));
        }
    }

    /// Returns whether the back end had another version before.
    fn set(&mut self, tag: BackEndTag, version: VersionKnowledge, position: Position, now: Timestamp) -> bool {
        let Some(known) = self.back_ends.get_mut(&tag) else {
            return false;
        };
        known.as_of = position;
        if let Some(before) = known.unconfirmed.take() {
            known.version = before;
        }
        let former = FormerVersion { service: known.service, key: known.key(tag), changed_at: now };
        let has_changed = known.version != version && known.version != VersionKnowledge::Unknown;
        known.has_changed |= has_changed;
        known.version = version;
        if has_changed && self.former.len() < FORMER_VERSIONS_MAXIMUM {
            self.former.push(former);
        }
        has_changed
    }

    fn entry(
        &mut self,
        tag: BackEndTag,
        service: ServiceTag,
        is_incarnation: bool,
        position: Position,
        now: Timestamp,
    ) -> &mut VersionedBackEnd {
        self.back_ends.entry(tag).or_insert_with(|| VersionedBackEnd {
            service,
            as_of: position,
            is_incarnation,
            unchanged_since: now,
            version: VersionKnowledge::Unknown,
            unconfirmed: None,
            departed_at: None,
            has_changed: false,
        })
    }
}
