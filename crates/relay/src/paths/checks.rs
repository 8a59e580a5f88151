//! Checks whether back ends can be connected to, where requests don't show it.

use std::collections::HashSet;
use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::paths::{PathCheck, PathGroup, ReachabilityConfig};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

use super::{BackEndPaths, usable};
use crate::back_ends::ConnectionPool;

/// How often it is decided whether a check is due.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// How often the groups of the directory are read.
const GROUPS_INTERVAL: Duration = Duration::from_secs(1);

/// Checks the paths to all groups of back ends whenever that is due; never returns.
pub async fn check_paths(paths: BackEndPaths, pool: ConnectionPool) {
    let mut ticks = interval_at(Instant::now() + DECISION_INTERVAL, DECISION_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut groups_read_at: Option<Instant> = None;
    loop {
        ticks.tick().await;
        paths.shared.stalls.record_tick();
        if groups_read_at.is_none_or(|read_at| read_at.elapsed() >= GROUPS_INTERVAL) {
            groups_read_at = Some(Instant::now());
            paths.read_groups();
        }
        for (group, check) in paths.due_checks() {
            tokio::task::spawn_local(paths.clone().check(pool.clone(), group, check));
        }
    }
}

impl BackEndPaths {
    /// Reads the groups of the directory and the number of back ends in each, and removes expired outcomes.
    fn read_groups(&self) {
        let knowledge = self.shared.knowledge.load_full();
        let groups: HashSet<PathGroup> =
            knowledge.directory.entries().map(|entry| PathGroup::of(&entry.back_end)).collect();
        groups.iter().for_each(|group| self.with_group(group, |_, _| {}));
        let now = self.shared.clock.now();
        for (group, paths) in self.shared.groups.borrow_mut().iter_mut() {
            paths.update(usable(&knowledge, group, now).len(), now);
        }
    }

    /// The checks that are due, each begun.
    fn due_checks(&self) -> Vec<(PathGroup, PathCheck)> {
        let now = self.shared.clock.now();
        let mut due = Vec::new();
        for (group, paths) in self.shared.groups.borrow_mut().iter_mut() {
            let Some(check) = paths.due_check(now) else {
                continue;
            };
            paths.begin_check();
            due.push((group.clone(), check));
        }
        due
    }

    /// Connects to some back ends of `group` and records which of them could be reached.
    async fn check(self, pool: ConnectionPool, group: PathGroup, check: PathCheck) {
        let sample = self.sample(&group, check);
        let checked = sample.len();
        let mut attempts = JoinSet::new();
        for back_end in sample {
            let pool = pool.clone();
            // The pool records each outcome.
            attempts.spawn_local(async move { pool.check(&back_end).await.is_ok() });
        }
        let mut reached = 0;
        while let Some(outcome) = attempts.join_next().await {
            reached += usize::from(outcome.unwrap_or(false));
        }
        self.shared.metrics.paths().record_checks(checked);
        let change = self.with_group(&group, |paths, now| paths.end_check(check, checked, reached, now));
        self.apply(&group, change);
    }

    /// Back ends of `group` to check, chosen at random.
    fn sample(&self, group: &PathGroup, check: PathCheck) -> Vec<BackEnd> {
        let knowledge = self.shared.knowledge.load();
        let mut back_ends = usable(&knowledge, group, self.shared.clock.now());
        fastrand::shuffle(&mut back_ends);
        back_ends.truncate(match check {
            PathCheck::Brief => 1,
            PathCheck::Silence => ReachabilityConfig::default().silence_sample,
            PathCheck::Full => ReachabilityConfig::default().full_sample,
        });
        back_ends.into_iter().cloned().collect()
    }
}
