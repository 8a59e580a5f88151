//! The versions that one node holds. All of them only increase.

use std::collections::VecDeque;
use std::sync::Arc;

use super::content::{Configuration, ConfigurationVersion};
use super::message::{Holding, Watermarks};
use super::record::VersionChange;

/// A configuration together with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedConfiguration {
    /// The version.
    pub version: ConfigurationVersion,
    /// The content of this version.
    pub configuration: Arc<Configuration>,
}

/// The state that a node reports to its peers, captured for comparison.
#[derive(Clone, Copy)]
pub(super) struct Progress {
    pub watermarks: Watermarks,
    pub holding: Holding,
}

/// Content, changes and watermarks of one node.
///
/// Invariants: `log` has no gaps; `content.version` never exceeds `recorded`, so that no version is in force here
/// before the store has recorded it; `content.version` and `recorded` never decrease.
#[derive(Default)]
pub(super) struct Versions {
    content: Option<VersionedConfiguration>,
    recorded: Option<ConfigurationVersion>,
    accepted: Option<ConfigurationVersion>,
    log: VecDeque<VersionChange>,
}

impl Versions {
    /// The highest version in force whose content the node has.
    pub fn content(&self) -> Option<&VersionedConfiguration> {
        self.content.as_ref()
    }

    /// The version of the content.
    pub fn version(&self) -> Option<ConfigurationVersion> {
        self.content.as_ref().map(|content| content.version)
    }

    /// The latest version that can be reached from the content through consecutive known changes.
    pub fn held(&self) -> Option<ConfigurationVersion> {
        let version = self.version()?;
        let last = self.log.back().map(|change| change.version);
        Some(last.map_or(version, |last| last.max(version)))
    }

    /// The highest version known to be accepted.
    pub fn accepted(&self) -> Option<ConfigurationVersion> {
        self.accepted
    }

    /// The node's progress.
    pub fn watermarks(&self) -> Watermarks {
        Watermarks { held: self.held(), in_force: self.recorded, accepted: self.accepted }
    }

    /// What the node acknowledges.
    pub fn holding(&self) -> Holding {
        Holding { held: self.held(), in_force: self.version() }
    }

    /// Captures the reported state, for comparison with a later one.
    pub fn progress(&self) -> Progress {
        Progress { watermarks: self.watermarks(), holding: self.holding() }
    }

    /// Changes that are not in force yet.
    pub fn staged(&self) -> impl Iterator<Item = &VersionChange> {
        self.log.iter().filter(|change| Some(change.version) > self.version())
    }

    /// Changes that are not accepted yet.
    pub fn pending(&self) -> impl Iterator<Item = &VersionChange> {
        self.log.iter().filter(|change| Some(change.version) > self.accepted)
    }

    /// The content with all staged changes.
    pub fn latest(&self) -> Option<VersionedConfiguration> {
        let mut latest = self.content.clone()?;
        for change in self.staged() {
            Arc::make_mut(&mut latest.configuration).apply(&change.changes).ok()?;
            latest.version = change.version;
        }
        Some(latest)
    }

    /// Adds changes that directly follow the latest held version; others are dropped.
    pub fn add_changes(&mut self, changes: Vec<VersionChange>) {
        for change in changes {
            if self.held().is_some_and(|held| change.version == held.next()) {
                self.log.push_back(change);
            }
        }
        self.advance();
    }

    /// Loads a full configuration that is in force, if its version is higher than the one in force here.
    pub fn load(&mut self, version: ConfigurationVersion, configuration: Configuration) {
        if Some(version) <= self.version() {
            return;
        }
        self.log.retain(|change| change.version > version);
        if self.log.front().is_some_and(|change| change.version != version.next()) {
            self.log.clear();
        }
        self.content = Some(VersionedConfiguration { version, configuration: Arc::new(configuration) });
        self.recorded = self.recorded.max(Some(version));
        self.advance();
    }

    /// Records that the store lists a version as in force.
    pub fn raise_recorded(&mut self, version: Option<ConfigurationVersion>) {
        self.recorded = self.recorded.max(version);
        self.advance();
    }

    /// Records that a version is accepted.
    pub fn raise_accepted(&mut self, version: Option<ConfigurationVersion>) {
        self.accepted = self.accepted.max(version);
    }

    /// The changes that a peer with `held` lacks; `None` when it needs a snapshot.
    pub fn changes_after(&self, held: Option<ConfigurationVersion>) -> Option<Vec<VersionChange>> {
        let held = held?;
        let first = self.log.front().map(|change| change.version);
        let complete = self.held() <= Some(held) || first.is_some_and(|first| first <= held.next());
        complete.then(|| self.log.iter().filter(|change| change.version > held).cloned().collect())
    }

    /// Drops old changes, so that at most `maximum` of those in force are kept.
    pub fn trim(&mut self, maximum: usize) {
        let version = self.version();
        let in_force = self.log.iter().filter(|change| Some(change.version) <= version).count();
        self.log.drain(..in_force.saturating_sub(maximum));
    }

    fn advance(&mut self) {
        let Some(content) = &mut self.content else { return };
        for change in &self.log {
            let due = change.version == content.version.next() && Some(change.version) <= self.recorded;
            if !due {
                continue;
            }
            if Arc::make_mut(&mut content.configuration).apply(&change.changes).is_err() {
                return;
            }
            content.version = change.version;
        }
    }
}
