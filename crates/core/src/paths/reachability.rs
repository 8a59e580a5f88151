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
    pub full_sample: usize,
    /// The number of back ends that a check connects to when there is no contact while requests wait.
    pub silence_sample: usize,
    /// The number of different back ends that can't be connected to, without contact with any, from which on the paths are
    /// lost without a check.
    pub failures_maximum: usize,
    /// How long a failed connection attempt counts.
    pub failure_window: Duration,
    /// How long an accepted connection counts as evidence that a back end serves.
    pub connected_memory: Duration,
    /// With requests in flight, a check follows after this time without contact.
    pub silence: Duration,
    /// Without requests in flight, a check follows after this time without contact.
    pub idle: Duration,
    /// The pause between two checks.
    pub check_pause: Duration,
    /// The pause between two full checks while there is contact.
    pub full_check_pause: Duration,
    /// The pause between two checks while the paths are lost.
    pub lost_check_pause: Duration,
    /// The number of successful checks in a row after which lost paths count as available again.
    pub confirmations: u32,
}

impl Default for ReachabilityConfig {
    fn default() -> Self {
        ReachabilityConfig {
            full_sample: 4,
            silence_sample: 3,
            failures_maximum: 3,
            failure_window: Duration::from_secs(1),
            connected_memory: Duration::from_secs(30),
            silence: Duration::from_millis(400),
            idle: Duration::from_secs(3),
            check_pause: Duration::from_millis(100),
            full_check_pause: Duration::from_secs(1),
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
        /// The time since the last contact with a back end; `None` if there never was any.
        last_contact: Option<Duration>,
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
    /// Connect to one back end, to make contact.
    Brief,
    /// Connect to a few back ends, since there is no contact while requests wait.
    Silence,
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
    /// How the connection failed that lost the paths.
    loss_cause: PathFailure,
    /// How often the paths were lost.
    losses: u32,
    /// The last contact with a back end: it accepted a connection or sent a part of an answer.
    contact_at: Option<Timestamp>,
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
            loss_cause: PathFailure::Refused,
            losses: 0,
            contact_at: None,
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

    /// Whether the paths are lost and new connections hang, so that nothing will arrive over open ones either.
    pub fn is_silently_lost(&self) -> bool {
        self.is_lost() && self.loss_cause == PathFailure::TimedOut
    }

    /// How often the paths were lost so far.
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// Whether the paths are proven to be intact: there was contact within `age`, nothing has failed since, and no request
    /// has been waiting for long without contact.
    pub fn is_proven(&self, age: Duration, now: Timestamp) -> bool {
        let is_recent = self.contact_at.is_some_and(|contact_at| now.since(contact_at) <= age);
        is_recent && !self.is_lost() && !self.is_doubtful(now) && !self.is_waiting(self.config.silence / 2, now)
    }

    /// Whether something has failed recently, without contact since.
    pub fn is_doubtful(&self, now: Timestamp) -> bool {
        self.recent_failures(now).any(|(at, _)| self.has_no_contact_since(at))
    }

    /// Whether new connections to `back_end` are to go through another node: the paths are lost, and the back end has not
    /// accepted a connection since.
    pub fn needs_detour(&self, back_end: &BackEndId) -> bool {
        let Some(lost_since) = self.lost_since else {
            return false;
        };
        !self.is_connected_since(back_end, lost_since)
    }

    /// Whether the last connection attempt to `back_end` was successful.
    pub fn last_connected(&self, back_end: &BackEndId) -> bool {
        matches!(self.attempts.get(back_end), Some(LastAttempt::Connected(_)))
    }

    /// Whether `back_end` accepted a connection at `since` or later.
    pub fn is_connected_since(&self, back_end: &BackEndId, since: Timestamp) -> bool {
        matches!(self.attempts.get(back_end), Some(LastAttempt::Connected(at)) if *at >= since)
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
    pub fn record_contact(&mut self, now: Timestamp) {
        self.contact_at = self.contact_at.max(Some(now));
    }

    /// Records that `back_end` accepted a connection.
    pub fn record_connected(&mut self, back_end: &BackEndId, now: Timestamp) {
        self.record_contact(now);
        self.attempts.insert(back_end.clone(), LastAttempt::Connected(now));
    }

    /// Records that a connection was not established, and decides whether the paths are lost.
    pub fn record_failed(&mut self, back_end: &BackEndId, cause: PathFailure, now: Timestamp) -> Option<PathChange> {
        self.attempts.insert(back_end.clone(), LastAttempt::Failed(now, cause));
        let is_refusal = |(_, cause): &(Timestamp, PathFailure)| *cause != PathFailure::Interrupted;
        let refusals = self.recent_failures(now).filter(is_refusal);
        let failed = refusals.filter(|(at, _)| self.has_no_contact_since(*at)).count();
        let failures_maximum = match self.back_ends {
            0 => self.config.failures_maximum,
            back_ends => self.config.failures_maximum.min(back_ends),
        };
        if failed >= failures_maximum { self.lose(failed, cause, now) } else { None }
    }

    /// Records that an established connection to `back_end` ended without an answer.
    pub fn record_interrupted(&mut self, back_end: &BackEndId, now: Timestamp) {
        self.attempts.insert(back_end.clone(), LastAttempt::Failed(now, PathFailure::Interrupted));
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
        if !is_due(self.config.check_pause) {
            return None;
        }
        if self.is_suspicious(now) {
            return Some(PathCheck::Full);
        }
        if self.is_waiting(self.config.silence, now) && is_due(self.config.silence) {
            return Some(PathCheck::Silence);
        }
        let is_idle = self.contact_at.is_none_or(|contact_at| now.since(contact_at) >= self.config.idle);
        (is_idle || self.is_doubtful(now)).then_some(PathCheck::Brief)
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
        if check != PathCheck::Full || checked == 0 {
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
        let (config, lost_since) = (self.config, self.lost_since);
        self.attempts.retain(|_, attempt| match attempt {
            LastAttempt::Connected(at) => {
                now.since(*at) < config.connected_memory || lost_since.is_some_and(|lost_since| *at >= lost_since)
            }
            LastAttempt::Failed(at, _) => now.since(*at) < config.failure_window,
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
        self.loss_cause = cause;
        self.losses += 1;
        let last_contact = self.contact_at.map(|contact_at| now.since(contact_at));
        Some(PathChange::Lost { failed, cause, last_contact })
    }

    /// Whether failures since the last full check call for another one: several, or one without contact since.
    fn is_suspicious(&self, now: Timestamp) -> bool {
        let is_unchecked = |at: &Timestamp| self.fully_checked_at.is_none_or(|checked_at| checked_at < *at);
        let unchecked: Vec<Timestamp> = self.recent_failures(now).map(|(at, _)| at).filter(is_unchecked).collect();
        let pause = self.config.full_check_pause;
        let is_several_due = self.fully_checked_at.is_none_or(|checked_at| now.since(checked_at) >= pause);
        unchecked.iter().any(|at| self.has_no_contact_since(*at)) || (unchecked.len() > 1 && is_several_due)
    }

    /// Whether requests are in flight and there has been no contact for `time`.
    fn is_waiting(&self, time: Duration, now: Timestamp) -> bool {
        let since = self.contact_at.unwrap_or_default().max(self.busy_since);
        self.in_flight > 0 && now.since(since) >= time
    }

    fn has_no_contact_since(&self, at: Timestamp) -> bool {
        self.contact_at.is_none_or(|contact_at| contact_at < at)
    }

    fn failures(&self) -> impl Iterator<Item = (Timestamp, PathFailure)> {
        self.attempts.values().filter_map(|attempt| match attempt {
            LastAttempt::Failed(at, cause) => Some((*at, *cause)),
            LastAttempt::Connected(_) => None,
        })
    }

    fn recent_failures(&self, now: Timestamp) -> impl Iterator<Item = (Timestamp, PathFailure)> {
        let window = self.config.failure_window;
        self.failures().filter(move |(at, _)| now.since(*at) < window)
    }
}

/// Whether `part` is at least three quarters of `whole`.
fn is_most(part: usize, whole: usize) -> bool {
    part * 4 >= whole * 3
}
