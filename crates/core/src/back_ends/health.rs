//! Ejection of failing back ends, and their readmission by single probe requests.

use std::time::Duration;

use crate::time::Timestamp;

/// When a failing back end is ejected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthLimits {
    /// The number of failures among the last [`HealthLimits::WINDOW`] answers that ejects a back end. Some requests
    /// fail at every back end (an application's own errors), so a single failure proves nothing.
    pub failures: u32,
    /// How long a back end is ejected the first time; it doubles with each failed probe.
    pub back_off_minimum: Duration,
    /// The longest time between two probes.
    pub back_off_maximum: Duration,
}

impl HealthLimits {
    /// The number of recent answers that are considered.
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

/// The health of one incarnation of a back end, as observed in its answers to this node.
#[derive(Clone, Debug)]
pub struct BackEndHealth {
    limits: HealthLimits,
    state: State,
    /// One bit for each of the last answers, set for a failure; the newest answer is the lowest bit.
    recent_failures: u32,
}

/// After this time without an answer, a probe no longer blocks the next one.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

impl BackEndHealth {
    /// A back end without recorded failures.
    pub fn new(limits: HealthLimits) -> Self {
        BackEndHealth { limits, state: State::Admitted, recent_failures: 0 }
    }

    /// Whether the back end may get a request now. An ejected one gets a single request as a probe.
    pub fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            State::Admitted => true,
            State::Ejected { until, .. } => now >= until,
            State::Probed { since, .. } => now.since(since) >= PROBE_TIMEOUT,
        }
    }

    /// Whether the back end is ejected or being probed.
    pub fn is_ejected(&self) -> bool {
        self.state != State::Admitted
    }

    /// Records that a request is sent; for an ejected back end it is the probe.
    pub fn record_send(&mut self, now: Timestamp) {
        if let State::Ejected { back_off, .. } | State::Probed { back_off, .. } = self.state {
            self.state = State::Probed { since: now, back_off };
        }
    }

    /// Records a successful answer.
    pub fn record_success(&mut self) {
        self.record_outcome(false);
        if self.is_ejected() {
            *self = BackEndHealth::new(self.limits);
        }
    }

    /// Records an answer that reports a failure; returns whether it ejects the back end.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        self.record_outcome(true);
        let too_many = self.recent_failures.count_ones() >= self.limits.failures;
        if too_many || self.is_ejected() {
            return self.eject(now);
        }
        false
    }

    /// Records that the back end can't be reached or was replaced, and ejects it, so that no further request has to
    /// fail soon; returns whether it was newly ejected.
    pub fn record_unreachable(&mut self, now: Timestamp) -> bool {
        self.record_outcome(true);
        self.eject(now)
    }

    fn eject(&mut self, now: Timestamp) -> bool {
        let back_off = match self.state {
            State::Admitted => self.limits.back_off_minimum,
            // Results of requests that were in flight at the ejection don't extend it.
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
