//! The software versions of back ends, and those that served each service recently.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::software_version::{SoftwareVersion, VersionFingerprint};
use crate::back_ends::{BackEnd, Directory, Usability};
use crate::relay::EngineTag;
use crate::time::Timestamp;
use crate::world::{BackEndId, ServiceName};

/// What is known of the software version of a back end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionKnowledge {
    /// Nothing yet.
    #[default]
    Unknown,
    /// Its entry names none.
    Unannounced,
    /// Its entry names this one.
    Announced(SoftwareVersion),
}

impl VersionKnowledge {
    /// The fingerprint of the version, if it is known.
    pub fn fingerprint(&self) -> Option<VersionFingerprint> {
        match self {
            VersionKnowledge::Announced(version) => Some(version.fingerprint()),
            VersionKnowledge::Unknown | VersionKnowledge::Unannounced => None,
        }
    }

    /// The version for logs.
    pub fn label(&self) -> &str {
        match self {
            VersionKnowledge::Unknown => "unknown",
            VersionKnowledge::Unannounced => "unannounced",
            VersionKnowledge::Announced(version) => version.label(),
        }
    }
}

/// A back end and the software version that its entry in the store names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackEndVersion {
    /// The back end.
    pub back_end: BackEndId,
    /// Its service.
    pub service: ServiceName,
    /// The version; `None` if the entry names none.
    pub version: Option<SoftwareVersion>,
}

#[derive(Clone, Debug)]
struct VersionedBackEnd {
    service: ServiceName,
    version: VersionKnowledge,
    /// When it stopped serving; `None` while it serves.
    departed_at: Option<Timestamp>,
}

/// The software versions of the back ends of a directory, and of those that left it recently.
#[derive(Clone, Debug, Default)]
pub struct VersionTable {
    back_ends: BTreeMap<EngineTag, VersionedBackEnd>,
}

impl VersionTable {
    /// What is known of the version of `back_end`.
    pub fn version_of(&self, back_end: &BackEndId) -> &VersionKnowledge {
        self.back_ends.get(&back_end.into()).map_or(&VersionKnowledge::Unknown, |known| &known.version)
    }

    /// Records what an entry of the store says. Returns the versions that its service did not have so far.
    pub fn record(&mut self, entry: &BackEndVersion) -> Option<SoftwareVersion> {
        let is_new = entry.version.as_ref().filter(|version| !self.has_version(&entry.service, version)).cloned();
        let known = self.entry(EngineTag::from(&entry.back_end), &entry.service);
        known.version = entry.version.clone().map_or(VersionKnowledge::Unannounced, VersionKnowledge::Announced);
        is_new
    }

    /// Applies a directory: which back ends serve, and which have left.
    pub fn apply_directory(&mut self, directory: &Directory, kept_for: Duration, now: Timestamp) {
        let mut serving: BTreeSet<EngineTag> = BTreeSet::new();
        for entry in directory.entries().filter(|entry| entry.usability(now) != Usability::Unusable) {
            let BackEnd { id, service, .. } = &entry.back_end;
            serving.insert(id.into());
            self.entry(id.into(), service).departed_at = None;
        }
        self.back_ends.retain(|tag, back_end| {
            if !serving.contains(tag) {
                let departed_at = *back_end.departed_at.get_or_insert(now);
                return now.since(departed_at) < kept_for;
            }
            true
        });
    }

    fn entry(&mut self, tag: EngineTag, service: &ServiceName) -> &mut VersionedBackEnd {
        self.back_ends.entry(tag).or_insert_with(|| VersionedBackEnd {
            service: service.clone(),
            version: VersionKnowledge::Unknown,
            departed_at: None,
        })
    }

    fn has_version(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let of_service = self.back_ends.values().filter(|back_end| back_end.service == *service);
        of_service.into_iter().any(|back_end| back_end.version.fingerprint() == Some(version.fingerprint()))
    }
}
