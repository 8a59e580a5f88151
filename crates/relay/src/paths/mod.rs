//! This node's paths to back ends: what its connections show about them, and checks where these show too little.

mod checks;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use havengate_core::back_ends::{BackEnd, Usability};
use havengate_core::paths::{PathChange, PathFailure, PathGroup, Reachability, ReachabilityConfig};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_node::clock::Clock;

pub use self::checks::check_paths;
use crate::knowledge::{Knowledge, SharedKnowledge};
use crate::metrics::RelayMetrics;

/// The paths to all back ends. Clones share the state.
#[derive(Clone)]
pub struct BackEndPaths {
    shared: Rc<Shared>,
}

struct Shared {
    groups: RefCell<HashMap<PathGroup, Reachability>>,
    knowledge: SharedKnowledge,
    clock: Clock,
    metrics: RelayMetrics,
}

impl BackEndPaths {
    /// Paths of which nothing is known yet.
    pub fn new(knowledge: SharedKnowledge, clock: Clock, metrics: RelayMetrics) -> Self {
        BackEndPaths { shared: Rc::new(Shared { groups: RefCell::default(), knowledge, clock, metrics }) }
    }

    /// Counts a request to `back_end` as in flight until the guard is dropped.
    pub fn begin_request(&self, back_end: &BackEnd) -> PathUse {
        let group = PathGroup::of(back_end);
        self.with_group(&group, Reachability::begin_request);
        PathUse { paths: self.clone(), group }
    }

    /// Records that `back_end` accepted a connection.
    pub fn record_connected(&self, back_end: &BackEnd) {
        self.with_group(&PathGroup::of(back_end), |paths, now| paths.record_connected(&back_end.id, now));
    }

    /// Records that `back_end` has sent something.
    pub fn record_heard(&self, back_end: &BackEnd) {
        self.with_group(&PathGroup::of(back_end), Reachability::record_heard);
    }

    /// Records that no connection to `back_end` was established.
    pub fn record_failed(&self, back_end: &BackEnd, cause: PathFailure) {
        let group = PathGroup::of(back_end);
        self.shared.metrics.paths().record_failure(cause.code());
        let change = self.with_group(&group, |paths, now| paths.record_failed(&back_end.id, cause, now));
        self.apply(&group, change);
    }

    /// Records that an established connection to `back_end` ended without an answer.
    pub fn record_interrupted(&self, back_end: &BackEnd) {
        self.shared.metrics.paths().record_failure(PathFailure::Interrupted.code());
        self.with_group(&PathGroup::of(back_end), Reachability::record_interrupted);
    }

    fn apply(&self, group: &PathGroup, change: Option<PathChange>) {
        match change {
            None => {}
            Some(PathChange::Lost { failed, cause, heard_before }) => {
                self.shared.metrics.paths().record_change("lost");
                let heard_before_ms = heard_before.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
                log::warn!(event = "paths_lost", back_ends:% = group, failed, cause = cause.code(), heard_before_ms; "");
            }
            Some(PathChange::Regained { after }) => {
                self.shared.metrics.paths().record_change("regained");
                log::info!(event = "paths_regained", back_ends:% = group, after_ms = whole_millis(after); "");
            }
        }
    }

    fn with_group<R>(&self, group: &PathGroup, change: impl FnOnce(&mut Reachability, Timestamp) -> R) -> R {
        let now = self.shared.clock.now();
        let mut groups = self.shared.groups.borrow_mut();
        if let Some(paths) = groups.get_mut(group) {
            return change(paths, now);
        }
        let unknown = Reachability::new(ReachabilityConfig::default(), now);
        change(groups.entry(group.clone()).or_insert(unknown), now)
    }
}

/// The back ends of `group` that may get requests.
fn usable<'k>(knowledge: &'k Knowledge, group: &PathGroup, now: Timestamp) -> Vec<&'k BackEnd> {
    let entries = knowledge.directory.of_service(&group.service);
    let usable = entries.filter(|entry| entry.usability(now) == Usability::Usable).map(|entry| &entry.back_end);
    usable.filter(|back_end| group.contains(back_end)).collect()
}

/// Counts a request as in flight to a group of back ends until it is dropped.
pub struct PathUse {
    paths: BackEndPaths,
    group: PathGroup,
}

impl PathUse {
    /// Records that the back end has sent a piece of its answer.
    pub fn record_heard(&self) {
        self.paths.with_group(&self.group, Reachability::record_heard);
    }
}

impl Drop for PathUse {
    fn drop(&mut self) {
        self.paths.with_group(&self.group, |paths, _| paths.end_request());
    }
}
