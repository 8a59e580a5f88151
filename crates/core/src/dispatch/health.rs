//! Ejection of engines that fail, and probing them back in.

use std::time::Duration;

use crate::request::RequestId;
use crate::time::Timestamp;

/// When a failing engine is ejected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthConfig {
    /// Consecutive failures that eject an engine.
    pub consecutive_failures: u32,
    /// The share of failures among the last attempts that ejects an engine, from 0 to 1. It detects engines that fail
    /// often but not always.
    pub failure_share: f64,
    /// The number of attempts from which on `failure_share` is evaluated, at most 32.
    pub share_attempts_minimum: u32,
    /// How long an engine is ejected the first time; the time doubles with each failed probe.
    pub back_off_minimum: Duration,
    /// The longest time between two probes.
    pub back_off_maximum: Duration,
}

impl Default for HealthConfig {
    fn default() -> Self {
        HealthConfig {
            consecutive_failures: 3,
            failure_share: 0.5,
            share_attempts_minimum: 10,
            back_off_minimum: Duration::from_secs(1),
            back_off_maximum: Duration::from_secs(30),
        }
    }
}

impl HealthConfig {
    /// Whether the limits are valid.
    pub fn is_valid(&self) -> bool {
        self.consecutive_failures > 0
            && self.failure_share > 0.0
            && (1..=ATTEMPTS_RECORDED).contains(&self.share_attempts_minimum)
            && !self.back_off_minimum.is_zero()
            && self.back_off_minimum <= self.back_off_maximum
    }
}

const ATTEMPTS_RECORDED: u32 = u32::BITS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Admitted,
    Ejected { until: Timestamp, back_off: Duration },
    Probing { probe: RequestId, back_off: Duration },
}

/// The health of one engine, derived from the outcomes of its attempts.
#[derive(Clone, Debug)]
pub(super) struct EngineHealth {
    config: HealthConfig,
    state: State,
    consecutive_failures: u32,
    /// One bit per recent attempt, set if it failed; the lowest bit is the newest attempt.
    recent_failures: u32,
    recent_attempts: u32,
}

impl EngineHealth {
    pub(super) fn new(config: HealthConfig) -> Self {
        EngineHealth { config, state: State::Admitted, consecutive_failures: 0, recent_failures: 0, recent_attempts: 0 }
    }

    /// Whether a request may be placed on the engine now.
    ///
    /// An ejected engine gets one request at a time as a probe. A request that must not be repeated would be lost with
    /// a failed probe, so it is used as a probe only after twice the back-off, if no repeatable request has arrived.
    pub(super) fn admits(&self, repeatable: bool, now: Timestamp) -> bool {
        match self.state {
            State::Admitted => true,
            State::Ejected { until, back_off } => now >= if repeatable { until } else { until + back_off },
            State::Probing { .. } => false,
        }
    }

    /// Whether the engine counts as capacity.
    pub(super) fn is_admitted(&self) -> bool {
        self.state == State::Admitted
    }

    /// When an ejected engine may be probed: first by a repeatable request, then by any request.
    pub(super) fn probe_times(&self) -> Option<[Timestamp; 2]> {
        match self.state {
            State::Ejected { until, back_off } => Some([until, until + back_off]),
            _ => None,
        }
    }

    /// Records that a request starts on the engine; on an ejected engine it is the probe.
    pub(super) fn start(&mut self, request: RequestId) {
        if let State::Ejected { back_off, .. } = self.state {
            self.state = State::Probing { probe: request, back_off };
        }
    }

    /// Records that an attempt succeeded.
    pub(super) fn record_success(&mut self, request: RequestId) {
        self.consecutive_failures = 0;
        self.record_attempt(false);
        if matches!(self.state, State::Probing { probe, .. } if probe == request) {
            *self = EngineHealth::new(self.config);
        }
    }

    /// Records that an attempt failed; returns whether the engine was ejected by it.
    pub(super) fn record_failure(&mut self, request: RequestId, now: Timestamp) -> bool {
        self.consecutive_failures += 1;
        self.record_attempt(true);
        match self.state {
            State::Admitted if self.is_failing() => self.eject(self.config.back_off_minimum, now),
            State::Probing { probe, back_off } if probe == request => {
                self.eject((2 * back_off).min(self.config.back_off_maximum), now);
            }
            _ => return false,
        }
        true
    }

    /// Records that an attempt ended without evidence about the engine's health, for example by cancellation.
    pub(super) fn record_inconclusive(&mut self, request: RequestId, now: Timestamp) {
        if let State::Probing { probe, back_off } = self.state
            && probe == request
        {
            self.state = State::Ejected { until: now, back_off };
        }
    }

    fn record_attempt(&mut self, failed: bool) {
        self.recent_failures = self.recent_failures << 1 | u32::from(failed);
        self.recent_attempts = (self.recent_attempts + 1).min(ATTEMPTS_RECORDED);
    }

    fn is_failing(&self) -> bool {
        let share = f64::from(self.recent_failures.count_ones()) / f64::from(self.recent_attempts.max(1));
        let share_counts = self.recent_attempts >= self.config.share_attempts_minimum;
        self.consecutive_failures >= self.config.consecutive_failures
            || share_counts && share >= self.config.failure_share
    }

    fn eject(&mut self, back_off: Duration, now: Timestamp) {
        self.state = State::Ejected { until: now + back_off, back_off };
        self.recent_failures = 0;
        self.recent_attempts = 0;
    }
}
