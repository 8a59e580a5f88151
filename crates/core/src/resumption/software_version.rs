//! The version of a back end's software.

use std::fmt;

use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_64;

/// The characters of a version's text that are kept for logs.
const LABEL_MAXIMUM_CHARACTERS: usize = 32;

/// A hash of a version's full text, the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct VersionFingerprint(u64);

impl fmt::Display for VersionFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The version of the software that a back end runs, as it announces it.
///
/// Any text is a version, also an empty one. Versions are only compared for equality: their texts need not be ordered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct SoftwareVersion {
    fingerprint: VersionFingerprint,
    label: String,
}

impl SoftwareVersion {
    /// The version with this text.
    pub fn new(text: &str) -> Self {
        let printable = text.chars().map(|character| if character.is_control() { '?' } else { character });
        SoftwareVersion {
            fingerprint: VersionFingerprint(xxh3_64(text.as_bytes())),
            label: printable.take(LABEL_MAXIMUM_CHARACTERS).collect(),
        }
    }

    /// The beginning of the text, for logs.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// Identifies the version.
    pub fn fingerprint(&self) -> VersionFingerprint {
        self.fingerprint
    }
}
