//! What is known of the software version of one back end.

use speedy::{Readable, Writable};

use super::back_end_tag::BackEndTag;
use super::software_version::{SoftwareVersion, VersionFingerprint};
use crate::world::{BackEndId, ServiceName};

/// Two back ends with the same key write streams that fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub enum VersionKey {
    /// All back ends of this software version.
    Version(VersionFingerprint),
    /// This incarnation of a back end alone, because its version is not known.
    BackEnd(BackEndTag),
}

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
        self.announced().map(SoftwareVersion::fingerprint)
    }

    /// The version, if the entry names one.
    pub fn announced(&self) -> Option<&SoftwareVersion> {
        match self {
            VersionKnowledge::Announced(version) => Some(version),
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

impl From<Option<SoftwareVersion>> for VersionKnowledge {
    fn from(announced: Option<SoftwareVersion>) -> Self {
        announced.map_or(VersionKnowledge::Unannounced, VersionKnowledge::Announced)
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

/// What an entry of the store has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedVersion {
    /// Whether the service did not have the version so far.
    pub is_new: bool,
    /// Whether the back end had another version before, under the same identity.
    pub has_changed: bool,
}
