//! The software versions that served one service recently.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::version_knowledge::VersionKey;
use crate::time::Timestamp;

/// The versions of a service, each with the time at which its last back end left; `None` while one serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceVersions {
    versions: BTreeMap<VersionKey, Option<Timestamp>>,
}

impl ServiceVersions {
    /// Adds a version; of several times, the latest counts.
    pub fn add(&mut self, key: VersionKey, departed_at: Option<Timestamp>) {
        let known = self.versions.entry(key).or_insert(departed_at);
        *known = match (*known, departed_at) {
            (Some(one), Some(other)) => Some(one.max(other)),
            _ => None,
        };
    }

    /// The versions that serve, or left less than `kept_for` before `now`.
    pub fn keys(&self, kept_for: Duration, now: Timestamp) -> BTreeSet<VersionKey> {
        let is_recent = |departed_at: &Option<Timestamp>| departed_at.is_none_or(|at| now.since(at) < kept_for);
        self.versions.iter().filter(|(_, departed_at)| is_recent(departed_at)).map(|(key, _)| *key).collect()
    }

    /// The versions, each with the time at which its last back end left.
    pub fn iter(&self) -> impl Iterator<Item = (VersionKey, Option<Timestamp>)> {
        self.versions.iter().map(|(key, departed_at)| (*key, *departed_at))
    }
}
