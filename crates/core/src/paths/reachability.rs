//! Decides whether a node has lost its paths to a group of back ends.
//!
//! One back end that can't be reached says nothing about the node's own links: it may have crashed. The paths count as
//! lost when several back ends, chosen at random, can't be connected to at the same time. Evidence comes from the
//! connections of requests and, where these say too little, from checks that connect to a few back ends.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::BackEndId;

/// When the paths to a group are checked, and when they count as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachabilityConfig {
    /// The number of back ends that a full check connects to.
    pub sample: usize,
    /// The number of different back ends that can't be connected to while none is heard of, from which on the paths are
    /// lost without a check.
    pub failures_maximum: usize,
    /// How long a failed connection attempt counts.
    pub failure_window: Duration,
    /// With requests in flight, a check follows when no back end has been heard of for this time.
    pub silence: Duration,
    /// Without requests in flight, a check follows when no back end has been heard of for this time.
    pub idle: Duration,
    /// The pause between two checks.
    pub check_pause: Duration,
    /// The pause between two checks while the paths are lost.
    pub lost_check_pause: Duration,
    /// The number of successful checks in a row after which lost paths count as available again.
    pub confirmations: u32,
}

impl Default for ReachabilityConfig {
    fn default() -> Self {
        ReachabilityConfig {
            sample: 4,
            failures_maximum: 3,
            failure_window: Duration::from_secs(1),
            silence: Duration::from_millis(400),
            idle: Duration::from_secs(3),
            check_pause: Duration::from_millis(100),
            lost_check_pause: Duration::from_millis(500),
            confirmations: 2,
        }
    }
}

/// How a connection attempt, or a kept connection, failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PathFailure {
    /// The connection was refused or reset at once.
    Refused,
    /// The connection was not established in time.
    TimedOut,
    /// An established connection ended without an answer.
    Interrupted,
}

impl PathFailure {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            PathFailure::Refused => "refused",
            PathFailure::TimedOut => "timed_out",
            PathFailure::Interrupted => "interrupted",
        }
    }
}

/// A change of the paths to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The paths are lost.
    Lost {
        /// The number of back ends that could not be connected to.
        failed: usize,
        /// How the last of them failed.
        cause: PathFailure,
        /// The time since a back end was last heard of; `None` if none ever was.
        heard_before: Option<Duration>,
    },
    /// The paths are available again.
    Regained {
        /// How long they were lost.
        after: Duration,
    },
}

/// A check of a few back ends that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCheck {
    /// Connect to one back end, to hear whether the paths are intact.
    Brief,
    /// Connect to a sample of back ends, which decides whether the paths are lost.
    Full,
}

/// The last outcome of a connection attempt to a back end.
#[derive(Clone, Copy, Debug)]
enum LastAttempt {
    Connected(Timestamp),
    Failed(Timestamp, PathFailure),
}

/// A node's paths to one group of back ends.
#[derive(Clone, Debug)]
pub struct Reachability {
    config: ReachabilityConfig,
    /// The number of back ends in the group that may get requests; 0 while it is not known.
    back_ends: usize,
    lost_since: Option<Timestamp>,
    /// When a back end was last heard of: it accepted a connection or answered.
    heard_at: Option<Timestamp>,
    /// When the last connection without an answer ended.
    interrupted_at: Option<Timestamp>,
    attempts: HashMap<BackEndId, LastAttempt>,
    in_flight: u32,
    /// When the first of the requests in flight was sent.
    busy_since: Timestamp,
    is_check_open: bool,
    /// When the last check ended.
    checked_at: Option<Timestamp>,
    /// When the last full check ended.
    fully_checked_at: Option<Timestamp>,
    confirmations: u32,
}

impl Reachability {
    /// Paths of which nothing is known yet. They count as available.
    pub fn new(config: ReachabilityConfig, now: Timestamp) -> Self {
        Reachability {
            config,
            back_ends: 0,
            lost_since: None,
            heard_at: None,
            interrupted_at: None,
            attempts: HashMap::new(),
            in_flight: 0,
            busy_since: now,
            is_check_open: false,
            checked_at: None,
            fully_checked_at: None,
            confirmations: 0,
        }
    }

    /// Whether the paths are lost.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Whether the paths are proven to be intact: a back end was heard of within `age`, and nothing has failed since.
    pub fn is_proven(&self, age: Duration, now: Timestamp) -> bool {
        let is_recent = self.heard_at.is_some_and(|heard_at| now.since(heard_at) <= age);
        !self.is_lost() && is_recent && !self.is_doubtful(now)
    }

    /// Whether a back end was heard of at `since` or later.
    pub fn is_heard_since(&self, since: Timestamp) -> bool {
        self.heard_at.is_some_and(|heard_at| heard_at >= since)
    }

    /// Whether something has failed recently and no back end has been heard of since.
    pub fn is_doubtful(&self, now: Timestamp) -> bool {
        let is_unanswered = |at: Timestamp| {
            now.since(at) < self.config.failure_window && self.heard_at.is_none_or(|heard_at| heard_at < at)
        };
        self.interrupted_at.is_some_and(is_unanswered) || self.failures().any(|(at, _)| is_unanswered(at))
    }

    /// Whether new connections to `back_end` are to go through another node: the paths are lost, and the back end has not
    /// accepted a connection since.
    pub fn needs_detour(&self, back_end: &BackEndId) -> bool {
        let Some(lost_since) = self.lost_since else {
            return false;
        };
        !matches!(self.attempts.get(back_end), Some(LastAttempt::Connected(at)) if *at >= lost_since)
    }

    /// Records that a request was sent.
    pub fn begin_request(&mut self, now: Timestamp) {
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        self.in_flight += 1;
    }

    /// Records that a request is no longer in flight.
    pub fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a back end has sent something over a connection of this node.
    pub fn record_heard(&mut self, now: Timestamp) {
        self.heard_at = self.heard_at.max(Some(now));
    }

    /// Records that `back_end` accepted a connection.
    pub fn record_connected(&mut self, back_end: &BackEndId, now: Timestamp) {
        self.record_heard(now);
        self.attempts.insert(back_end.clone(), LastAttempt::Connected(now));
    }

    /// Records that a connection was not established, and decides whether the paths are lost.
    pub fn record_failed(&mut self, back_end: &BackEndId, cause: PathFailure, now: Timestamp) -> Option<PathChange> {
        self.attempts.insert(back_end.clone(), LastAttempt::Failed(now, cause));
        let unanswered = self.recent_failures(now).filter(|at| self.heard_at.is_none_or(|heard_at| heard_at < *at));
        let failed = unanswered.count();
        let failures_maximum = match self.back_ends {
            0 => self.config.failures_maximum,
            back_ends => self.config.failures_maximum.min(back_ends),
        };
        if failed >= failures_maximum { self.lose(failed, cause, now) } else { None }
    }

    /// Records that an established connection ended without an answer.
    pub fn record_interrupted(&mut self, now: Timestamp) {
        self.interrupted_at = Some(now);
    }

    /// The check that is due at `now`.
    pub fn due_check(&self, now: Timestamp) -> Option<PathCheck> {
        if self.is_check_open || self.back_ends == 0 {
            return None;
        }
        let since_check = self.checked_at.map(|checked_at| now.since(checked_at));
        let is_due = |pause: Duration| since_check.is_none_or(|since| since >= pause);
        if self.is_lost() {
            return is_due(self.config.lost_check_pause).then_some(PathCheck::Full);
        }
        if self.is_suspicious(now) {
            return is_due(self.config.check_pause).then_some(PathCheck::Full);
        }
        let is_silent = self.is_silent(now) && is_due(self.config.silence);
        let is_doubtful = self.is_doubtful(now) && is_due(self.config.check_pause);
        (is_silent || is_doubtful).then_some(PathCheck::Brief)
    }

    /// Records that a check has begun.
    pub fn begin_check(&mut self) {
        self.is_check_open = true;
    }

    /// Records the end of a check in which `reached` of `checked` back ends accepted a connection. Single outcomes have
    /// been recorded before.
    pub fn end_check(
        &mut self,
        check: PathCheck,
        checked: usize,
        reached: usize,
        now: Timestamp,
    ) -> Option<PathChange> {
        self.is_check_open = false;
        self.checked_at = Some(now);
        if check == PathCheck::Brief || checked == 0 {
            return None;
        }
        self.fully_checked_at = Some(now);
        let failed = checked - reached;
        if is_most(failed, checked) {
            self.confirmations = 0;
            let cause = self.failures().max_by_key(|(at, _)| *at).map_or(PathFailure::TimedOut, |(_, cause)| cause);
            return self.lose(failed, cause, now);
        }
        if !is_most(reached, checked) {
            self.confirmations = 0;
            return None;
        }
        self.confirmations += 1;
        let lost_since = self.lost_since.filter(|_| self.confirmations >= self.config.confirmations)?;
        self.lost_since = None;
        Some(PathChange::Regained { after: now.since(lost_since) })
    }

    /// Sets the number of back ends in the group that may get requests, and removes the outcomes of attempts that no
    /// longer count. The paths of a group without back ends are not lost.
    pub fn update(&mut self, back_ends: usize, now: Timestamp) {
        self.back_ends = back_ends;
        let (window, lost_since) = (self.config.failure_window, self.lost_since);
        self.attempts.retain(|_, attempt| match attempt {
            LastAttempt::Connected(at) => lost_since.is_some_and(|lost_since| *at >= lost_since),
            LastAttempt::Failed(at, _) => now.since(*at) < window,
        });
        if back_ends == 0 {
            self.lost_since = None;
        }
    }

    fn lose(&mut self, failed: usize, cause: PathFailure, now: Timestamp) -> Option<PathChange> {
        self.confirmations = 0;
        if self.is_lost() {
            return None;
        }
        self.lost_since = Some(now);
        let heard_before = self.heard_at.map(|heard_at| now.since(heard_at));
        Some(PathChange::Lost { failed, cause, heard_before })
    }

    /// Whether failures since the last full check call for another one: several back ends, or one while none was heard
    /// of since.
    fn is_suspicious(&self, now: Timestamp) -> bool {
        let is_unchecked = |at: &Timestamp| self.fully_checked_at.is_none_or(|checked_at| checked_at < *at);
        let unchecked: Vec<Timestamp> = self.recent_failures(now).filter(is_unchecked).collect();
        let is_unanswered = |at: &Timestamp| self.heard_at.is_none_or(|heard_at| heard_at < *at);
        unchecked.len() > 1 || unchecked.iter().any(is_unanswered)
    }

    /// Whether no back end has been heard of for so long that a check is needed.
    fn is_silent(&self, now: Timestamp) -> bool {
        let Some(heard_at) = self.heard_at else {
            return true;
        };
        let idle_time = now.since(heard_at);
        let waited = now.since(heard_at.max(self.busy_since));
        idle_time >= self.config.idle || (self.in_flight > 0 && waited >= self.config.silence)
    }

    fn failures(&self) -> impl Iterator<Item = (Timestamp, PathFailure)> {
        self.attempts.values().filter_map(|attempt| match attempt {
            LastAttempt::Failed(at, cause) => Some((*at, *cause)),
            LastAttempt::Connected(_) => None,
        })
    }

    fn recent_failures(&self, now: Timestamp) -> impl Iterator<Item = Timestamp> {
        let window = self.config.failure_window;
        self.failures().map(|(at, _)| at).filter(move |at| now.since(*at) < window)
    }
}

/// Whether `part` is at least three quarters of `whole`.
fn is_most(part: usize, whole: usize) -> bool {
    part * 4 >= whole * 3
}
