//! Configuration of the authority over a pool and of the engine changes that its holder makes.

use std::time::Duration;

use displaydoc::Display;

/// Why a configuration of the authority is invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum AuthorityError {
    /// `{0}` must be longer than zero
    ZeroDuration(&'static str),
    /// `{0}` must be at least 1
    ZeroCount(&'static str),
    /// `{shorter}` must not be longer than `{longer}`
    WrongOrder {
        /// The setting that must be the shorter one.
        shorter: &'static str,
        /// The setting that must be the longer one.
        longer: &'static str,
    },
}

/// Timing of acquiring and keeping the authority over a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorityConfig {
    /// Wait after the first failed request to the store. The store is slow and rate-limited.
    pub store_retry_minimum: Duration,
    /// Longest wait between two requests to a store that keeps failing. It bounds the time to notice a recovery.
    pub store_retry_maximum: Duration,
    /// Wait between two attempts to raise the fence at an engine that does not answer.
    pub fence_retry: Duration,
    /// How long a candidate waits for the first answers of all engines before it continues without the missing ones.
    /// Together with the failure detection time it must stay below the takeover target of 5 s.
    pub fence_patience: Duration,
    /// A longer gap between two steps means that the process was paused: a holder raises all fences again before it
    /// acts. The limit must be well above the tick interval.
    pub pause_limit: Duration,
    /// Wait between two announcements to a successor that has not acknowledged its term.
    pub announce_interval: Duration,
    /// Wait after the authority is lost to a higher term before this node tries to acquire it again. It keeps two nodes
    /// with different membership views from taking the pool from each other continuously.
    pub reacquire_delay: Duration,
    /// Upper bound on how long a previous dispatcher or holder of the pool may continue without noticing its
    /// replacement, and on how long its last orders may be in transit. A new holder sends no order for this long. A
    /// node that is ranked first but can't acquire the authority, because the store is down and no term was allocated
    /// in advance, waits as long before it uses engines that it can't fence.
    pub settle: Duration,
    /// The caller must drop an order that it has not sent within this time, because the process was paused.
    pub send_within: Duration,
    /// How long a hand-over entitles this node to acquire the authority although its own membership view does not rank
    /// it first yet.
    pub invitation: Duration,
}

impl Default for AuthorityConfig {
    fn default() -> Self {
        AuthorityConfig {
            store_retry_minimum: Duration::from_millis(250),
            store_retry_maximum: Duration::from_secs(8),
            fence_retry: Duration::from_secs(1),
            fence_patience: Duration::from_millis(1_500),
            pause_limit: Duration::from_secs(2),
            announce_interval: Duration::from_millis(500),
            reacquire_delay: Duration::from_secs(1),
            settle: Duration::from_secs(5),
            send_within: Duration::from_millis(500),
            invitation: Duration::from_secs(5),
        }
    }
}

impl AuthorityConfig {
    /// Checks the limits against each other.
    ///
    /// # Errors
    /// When a duration is zero, or one that must not exceed another does.
    pub fn validate(&self) -> Result<(), AuthorityError> {
        let durations = [
            ("store_retry_minimum", self.store_retry_minimum),
            ("fence_retry", self.fence_retry),
            ("fence_patience", self.fence_patience),
            ("pause_limit", self.pause_limit),
            ("announce_interval", self.announce_interval),
            ("reacquire_delay", self.reacquire_delay),
            ("send_within", self.send_within),
            ("invitation", self.invitation),
        ];
        all_positive(&durations)?;
        in_order(("send_within", self.send_within), ("settle", self.settle))?;
        in_order(("store_retry_minimum", self.store_retry_minimum), ("store_retry_maximum", self.store_retry_maximum))
    }
}

/// Limits on changing the roles and weights of a pool's engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleChangeConfig {
    /// Maximum number of engines that drain or change at once; each is out of service for seconds.
    pub concurrent_changes: usize,
    /// Maximum number of the pool's engines that load weights at once: the platform's weight store is rate-limited.
    pub concurrent_loads: usize,
    /// Minimum drain time, after which every placement decided before the drain is included in the counts of running
    /// work.
    pub drain_minimum: Duration,
    /// A drain that lasts longer is cancelled: the engine serves again and no stream is cut.
    pub drain_limit: Duration,
    /// Wait before an engine whose drain was cancelled is drained again.
    pub drain_retry: Duration,
    /// An engine that takes longer to execute an order is reported as stuck and no longer counts towards
    /// `concurrent_changes`; it stays out of service until it answers.
    pub change_limit: Duration,
    /// Number of failed attempts after which a change is given up until the target changes.
    pub attempts: u32,
    /// Wait after a failed attempt.
    pub retry_delay: Duration,
    /// Wait between two queries to an engine that is executing an order, and between two transmissions of an order
    /// whose reply was lost.
    pub verify_interval: Duration,
    /// Wait between two queries to an engine that is not changing. It bounds the time to notice a restart.
    pub query_interval: Duration,
}

impl Default for RoleChangeConfig {
    fn default() -> Self {
        RoleChangeConfig {
            concurrent_changes: 2,
            concurrent_loads: 1,
            drain_minimum: Duration::from_millis(500),
            drain_limit: Duration::from_secs(90),
            drain_retry: Duration::from_secs(60),
            change_limit: Duration::from_secs(60),
            attempts: 3,
            retry_delay: Duration::from_secs(2),
            verify_interval: Duration::from_millis(500),
            query_interval: Duration::from_secs(5),
        }
    }
}

impl RoleChangeConfig {
    /// Checks the limits against each other.
    ///
    /// # Errors
    /// When a count or a duration is zero, or the minimum drain time is longer than the drain limit.
    pub fn validate(&self) -> Result<(), AuthorityError> {
        let counts = [
            ("concurrent_changes", self.concurrent_changes),
            ("concurrent_loads", self.concurrent_loads),
            ("attempts", self.attempts as usize),
        ];
        for (name, count) in counts {
            if count == 0 {
                return Err(AuthorityError::ZeroCount(name));
            }
        }
        all_positive(&[
            ("drain_minimum", self.drain_minimum),
            ("change_limit", self.change_limit),
            ("retry_delay", self.retry_delay),
            ("verify_interval", self.verify_interval),
            ("query_interval", self.query_interval),
        ])?;
        in_order(("drain_minimum", self.drain_minimum), ("drain_limit", self.drain_limit))
    }
}

fn all_positive(durations: &[(&'static str, Duration)]) -> Result<(), AuthorityError> {
    match durations.iter().find(|(_, duration)| duration.is_zero()) {
        Some((name, _)) => Err(AuthorityError::ZeroDuration(name)),
        None => Ok(()),
    }
}

fn in_order(shorter: (&'static str, Duration), longer: (&'static str, Duration)) -> Result<(), AuthorityError> {
    if shorter.1 > longer.1 {
        return Err(AuthorityError::WrongOrder { shorter: shorter.0, longer: longer.0 });
    }
    Ok(())
}
