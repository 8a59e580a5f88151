//! This node's paths to back ends: what its connections show about them, and checks where these show too little.

mod checks;
mod shared_loss;
mod stalls;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::back_ends::{BackEnd, Usability};
use havengate_core::paths::{PathChange, PathFailure, PathGroup, Reachability, ReachabilityConfig};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_node::clock::Clock;
use tokio::sync::Notify;

pub use self::checks::check_paths;
pub use self::shared_loss::SharedPathLoss;
use self::stalls::StallMonitor;
use crate::knowledge::{Knowledge, SharedKnowledge};
use crate::metrics::RelayMetrics;

/// A node offers tunnels to back ends after contact with one of them within this time: a little more than the interval
/// between checks without requests.
pub const PROOF_AGE: Duration = Duration::from_secs(4);

/// The paths to all back ends. Clones share the state.
#[derive(Clone)]
pub struct BackEndPaths {
    shared: Rc<Shared>,
}

struct Shared {
    groups: RefCell<HashMap<PathGroup, Reachability>>,
    knowledge: SharedKnowledge,
    /// Whether the paths to some engines are lost.
    engine_path_loss: SharedPathLoss,
    clock: Clock,
    metrics: RelayMetrics,
    /// Groups whose paths were lost, until `next_loss` returns them.
    new_losses: RefCell<Vec<PathGroup>>,
    /// Wakes what waits for a loss of paths.
    lost: Notify,
    stalls: StallMonitor,
}

impl BackEndPaths {
    /// Paths of which nothing is known yet.
    pub fn new(
        knowledge: SharedKnowledge,
        engine_path_loss: SharedPathLoss,
        clock: Clock,
        metrics: RelayMetrics,
    ) -> Self {
        BackEndPaths {
            shared: Rc::new(Shared {
                groups: RefCell::default(),
                knowledge,
                engine_path_loss,
                clock,
                metrics,
                new_losses: RefCell::default(),
                lost: Notify::new(),
                stalls: StallMonitor::default(),
            }),
        }
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
    pub fn record_contact(&self, back_end: &BackEnd) {
        self.with_group(&PathGroup::of(back_end), Reachability::record_contact);
    }

    /// Records that no connection to `back_end` was established.
    pub fn record_failed(&self, back_end: &BackEnd, cause: PathFailure) {
        let group = PathGroup::of(back_end);
        self.shared.metrics.paths().record_failure(cause.code());
        let change = self.with_group(&group, |paths, now| paths.record_failed(&back_end.id, cause, now));
        self.apply(&group, change);
    }

    /// The back ends of `group` that may get requests.
    pub fn back_ends(&self, group: &PathGroup) -> Vec<BackEnd> {
        let knowledge = self.shared.knowledge.load();
        usable(&knowledge, group, self.shared.clock.now()).into_iter().cloned().collect()
    }

    /// The other back ends in the group of `back_end` to which the last connection attempt was successful.
    pub fn reached_beside(&self, back_end: &BackEnd) -> Vec<BackEnd> {
        let group = PathGroup::of(back_end);
        let mut others = self.back_ends(&group);
        let is_reached = |other: &BackEnd| self.read(&group, |paths| paths.last_connected(&other.id)).unwrap_or(false);
        others.retain(|other| other.id != back_end.id && is_reached(other));
        others
    }

    /// Whether `back_end` accepted a connection within `age`.
    pub fn reached_within(&self, back_end: &BackEnd, age: Duration) -> bool {
        let now = self.shared.clock.now();
        let since = Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        self.read(&PathGroup::of(back_end), |paths| paths.is_connected_since(&back_end.id, since)).unwrap_or(false)
    }

    /// Waits until the paths to a group are lost.
    pub async fn next_loss(&self) -> PathGroup {
        loop {
            let lost = self.shared.lost.notified();
            if let Some(group) = self.shared.new_losses.borrow_mut().pop() {
                return group;
            }
            lost.await;
        }
    }

    /// Records that an established connection to `back_end` ended without an answer.
    pub fn record_interrupted(&self, back_end: &BackEnd) {
        self.shared.metrics.paths().record_failure(PathFailure::Interrupted.code());
        self.with_group(&PathGroup::of(back_end), |paths, now| paths.record_interrupted(&back_end.id, now));
    }

    /// Whether new connections to `back_end` are to go through a peer, because this node has lost its paths to the group.
    pub fn needs_detour(&self, back_end: &BackEnd) -> bool {
        self.read(&PathGroup::of(back_end), |paths| paths.needs_detour(&back_end.id)).unwrap_or(false)
    }

    /// Whether connections to the group of `back_end` have failed recently, without contact since.
    pub fn is_doubtful(&self, back_end: &BackEnd) -> bool {
        let now = self.shared.clock.now();
        self.read(&PathGroup::of(back_end), |paths| paths.is_doubtful(now)).unwrap_or(false)
    }

    /// How often the paths to the group of `back_end` were lost.
    pub fn losses(&self, back_end: &BackEnd) -> u32 {
        self.read(&PathGroup::of(back_end), Reachability::losses).unwrap_or(0)
    }

    /// Waits until the paths to the group of `back_end` are lost because its connections hang.
    pub async fn wait_for_silent_loss(&self, back_end: &BackEnd) {
        let group = PathGroup::of(back_end);
        let losses_before = self.losses(back_end);
        loop {
            let lost = self.shared.lost.notified();
            let is_lost = |paths: &Reachability| paths.losses() > losses_before && paths.is_silently_lost();
            if self.read(&group, is_lost).unwrap_or(false) {
                return;
            }
            lost.await;
        }
    }

    /// Whether the paths to `group` are proven to be intact by contact within `age`.
    pub fn is_proven(&self, group: &PathGroup, age: Duration) -> bool {
        let now = self.shared.clock.now();
        self.read(group, |paths| paths.is_proven(age, now)).unwrap_or(false)
    }

    /// Whether this process stood still until a moment ago, so that what it receives may be old.
    pub fn has_stalled(&self) -> bool {
        self.shared.stalls.has_stalled()
    }

    /// Whether the directory lists another back end at the address of `back_end`.
    pub fn is_address_reused(&self, back_end: &BackEnd) -> bool {
        let knowledge = self.shared.knowledge.load();
        let mut listed = knowledge.directory.entries().map(|entry| &entry.back_end);
        listed.any(|other| other.address == back_end.address && other.id != back_end.id)
    }

    /// The groups whose paths are lost or in doubt.
    pub fn impaired(&self) -> Vec<PathGroup> {
        let now = self.shared.clock.now();
        let groups = self.shared.groups.borrow();
        let impaired = groups.iter().filter(|(_, paths)| paths.is_lost() || paths.is_doubtful(now));
        impaired.map(|(group, _)| group.clone()).collect()
    }

    fn read<R>(&self, group: &PathGroup, read: impl FnOnce(&Reachability) -> R) -> Option<R> {
        self.shared.groups.borrow().get(group).map(read)
    }

    fn apply(&self, group: &PathGroup, change: Option<PathChange>) {
        if change.is_some() {
            let groups = self.shared.groups.borrow();
            let is_lost = groups.iter().any(|(group, paths)| group.stage.is_some() && paths.is_lost());
            self.shared.engine_path_loss.set(is_lost);
        }
        match change {
            None => {}
            Some(PathChange::Lost { failed, cause, last_contact }) => {
                self.shared.metrics.paths().record_change("lost");
                self.shared.new_losses.borrow_mut().push(group.clone());
                self.shared.lost.notify_waiters();
                let last_contact_ms = last_contact.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
                log::warn!(event = "paths_lost", back_ends:% = group, failed, cause = cause.code(), last_contact_ms; "");
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
    pub fn record_contact(&self) {
        self.paths.with_group(&self.group, Reachability::record_contact);
    }
}

impl Drop for PathUse {
    fn drop(&mut self) {
        self.paths.with_group(&self.group, |paths, _| paths.end_request());
    }
}
