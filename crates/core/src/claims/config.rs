//! Limits and timeouts of claims.

use std::time::Duration;

use displaydoc::Display;

/// Limits and timeouts of claims. All nodes of a deployment must use the same `retention` and `request_time_maximum`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimConfig {
    /// How long a key is kept after its request has ended or reached its deadline. A repeat within this time never
    /// runs; a later one is a new request. Memory use is proportional to it.
    pub retention: Duration,
    /// The longest time that a request with a key may take. A new holder that can't obtain the claims of its
    /// predecessors waits for this time plus the retention, so that every claim unknown to it has expired.
    pub request_time_maximum: Duration,
    /// The maximum number of keys that one node keeps over all of its slots. A full holder refuses new claims and
    /// evicts none.
    pub records_maximum: usize,
    /// The longest answer that is kept with a key, in bytes of text; for longer ones only the verdict is kept.
    pub answer_bytes_maximum: usize,
    /// The maximum bytes of answers that one node keeps; beyond it, only verdicts are kept.
    pub answer_memory_maximum: usize,
    /// How long a claimer waits for a majority. A grant is never counted later, which bounds how long a grant in
    /// transit stays valid.
    pub attempt_timeout: Duration,
    /// Interval at which a message is sent again while its answer is missing.
    pub resend_interval: Duration,
    /// How many times an outcome is sent to a holder that does not acknowledge it.
    pub outcome_sends_maximum: u32,
    /// How long a released claim is kept, so that a delayed duplicate of the claim does not acquire the key again.
    pub released_retention: Duration,
    /// Interval at which a previous holder that has not handed over its claims is asked again.
    pub takeover_interval: Duration,
    /// Keys in one takeover message; it bounds the size of the message.
    pub page_records: usize,
    /// Interval between sweeps for expired keys; an expired key uses memory until the next sweep.
    pub sweep_interval: Duration,
}

impl Default for ClaimConfig {
    fn default() -> Self {
        ClaimConfig {
            retention: Duration::from_secs(900),
            request_time_maximum: Duration::from_secs(300),
            records_maximum: 50_000,
            answer_bytes_maximum: 2_048,
            answer_memory_maximum: 16 << 20,
            attempt_timeout: Duration::from_millis(500),
            resend_interval: Duration::from_millis(100),
            outcome_sends_maximum: 20,
            released_retention: Duration::from_secs(10),
            takeover_interval: Duration::from_secs(1),
            page_records: 200,
            sweep_interval: Duration::from_secs(10),
        }
    }
}

/// Why a [`ClaimConfig`] can't be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum ClaimConfigError {
    /// the retention must be at least ten times the attempt timeout
    RetentionTooShort,
    /// the retention of released claims must be at least twice the attempt timeout
    ReleasedRetentionTooShort,
    /// the resend interval must be above zero and at most the attempt timeout
    ResendInterval,
    /// records, pages and outcome sends must be at least one
    ZeroLimit,
}

impl ClaimConfig {
    /// Checks that the values are consistent.
    ///
    /// # Errors
    /// The first rule that is violated.
    pub fn validate(&self) -> Result<(), ClaimConfigError> {
        if self.retention < self.attempt_timeout * 10 {
            return Err(ClaimConfigError::RetentionTooShort);
        }
        if self.released_retention < self.attempt_timeout * 2 {
            return Err(ClaimConfigError::ReleasedRetentionTooShort);
        }
        if self.resend_interval.is_zero() || self.resend_interval > self.attempt_timeout {
            return Err(ClaimConfigError::ResendInterval);
        }
        if self.records_maximum == 0 || self.page_records == 0 || self.outcome_sends_maximum == 0 {
            return Err(ClaimConfigError::ZeroLimit);
        }
        Ok(())
    }

    /// How long after the last claim under a previous holder set every such claim has expired.
    pub fn quarantine(&self) -> Duration {
        self.request_time_maximum + self.retention + self.attempt_timeout
    }
}
