//! Ejection of back ends that fail, and letting them back in one request at a time.

use std::time::Duration;

use crate::time::Timestamp;

/// When a failing back end is ejected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthLimits {
    /// Failures among the last [`HealthLimits::REMEMBERED`] answers that eject a back end. Some requests fail at every
    /// back end (an application's own errors), so a single failure proves nothing.
    pub failures: u32,
    /// How long a back end is ejected the first time; it doubles with each failed probe.
    pub back_off_minimum: Duration,
    /// The longest time between two probes.
    pub back_off_maximum: Duration,
}

impl HealthLimits {
    /// The answers that are remembered.
    pub const WINDOW: u32 = 16;
}

impl Default for HealthLimits {
    fn default() -> Self {
        HealthLimits {
            failures: 6,
            back_off_minimum: Duration::from_millis(500),
            back_off_maximum: Duration::from_secs(4),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Admitted,
    Ejected { until: Timestamp, back_off: Duration },
    Probed { since: Timestamp, back_off: Duration },
}

/// The health of one life of a back end, as its answers to this node show it.
#[derive(Clone, Debug)]
pub struct BackEndHealth {
    limits: HealthLimits,
    state: State,
    /// One bit for each of the last answers, set when it was a failure; the newest is the lowest.
    recent_failures: u32,
}

/// A probe that has not come back after this time no longer keeps others from probing.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

impl BackEndHealth {
    /// A back end that nothing bad is known of.
    pub fn new(limits: HealthLimits) -> Self {
        BackEndHealth { limits, state: State::Admitted, recent_failures: 0 }
    }

    /// Whether the back end may be given a request now. An ejected one gets a single request as a probe.
    pub fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            State::Admitted => true,
            State::Ejected { until, .. } => now >= until,
            State::Probed { since, .. } => now.since(since) >= PROBE_TIMEOUT,
        }
    }

    /// Whether the back end is ejected or on probation.
    pub fn is_ejected(&self) -> bool {
        self.state != State::Admitted
    }

    /// Notes that a request is sent; at an ejected back end it is the probe.
    pub fn record_send(&mut self, now: Timestamp) {
        if let State::Ejected { back_off, .. } | State::Probed { back_off, .. } = self.state {
            self.state = State::Probed { since: now, back_off };
        }
    }

    /// Notes a proper answer.
    pub fn record_success(&mut self) {
        self.record_outcome(false);
        if self.is_ejected() {
            *self = BackEndHealth::new(self.limits);
        }
    }

    /// Notes an answer that reports a failure; returns whether it ejects the back end.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        self.record_outcome(true);
        let too_many = self.recent_failures.count_ones() >= self.limits.failures;
        if too_many || self.is_ejected() {
            return self.eject(now);
        }
        false
    }

    /// Notes that the back end can't be reached, or is another one by now: no request need find that out again soon.
    pub fn record_unreachable(&mut self, now: Timestamp) -> bool {
        self.record_outcome(true);
        self.eject(now)
    }

    fn eject(&mut self, now: Timestamp) -> bool {
        let back_off = match self.state {
            State::Admitted => self.limits.back_off_minimum,
            // Requests that were under way when the back end was ejected say nothing new.
            State::Ejected { until, .. } if now < until => return false,
            State::Ejected { back_off, .. } | State::Probed { back_off, .. } => {
                (2 * back_off).min(self.limits.back_off_maximum)
            }
        };
        self.state = State::Ejected { until: now + back_off, back_off };
        self.recent_failures = 0;
        true
    }

    fn record_outcome(&mut self, failed: bool) {
        let mask = (1 << HealthLimits::WINDOW) - 1;
        self.recent_failures = (self.recent_failures << 1 | u32::from(failed)) & mask;
    }
}
