//! Ejection of engines that fail, and probing them back in.

use std::time::Duration;

use crate::request::RequestId;
use crate::time::Timestamp;

/// When a failing engine is ejected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthConfig {
    /// Failures in a row that eject an engine.
    pub consecutive_failures: u32,
    /// The share of failures among the last attempts that ejects an engine, from 0 to 1: it catches engines that fail
    /// often but not always.
    pub failure_share: f64,
    /// The fewest attempts before the share counts, at most 32.
    pub share_attempts_minimum: u32,
    /// How long an engine is ejected the first time; it doubles with each failed probe.
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
    /// Whether the limits make sense.
    pub fn is_valid(&self) -> bool {
        self.consecutive_failures > 0
            && self.failure_share > 0.0
            && (1..=ATTEMPTS_REMEMBERED).contains(&self.share_attempts_minimum)
            && !self.back_off_minimum.is_zero()
            && self.back_off_minimum <= self.back_off_maximum
    }
}

const ATTEMPTS_REMEMBERED: u32 = u32::BITS;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Admitted,
    Ejected { until: Timestamp, back_off: Duration },
    Probed { by: RequestId, back_off: Duration },
}

/// The health of one engine, as its attempts show it.
#[derive(Clone, Debug)]
pub(super) struct EngineHealth {
    config: HealthConfig,
    state: State,
    consecutive_failures: u32,
    /// One bit for each of the last attempts, set when it failed; the newest is the lowest.
    recent_failures: u32,
    recent_attempts: u32,
}

impl EngineHealth {
    pub(super) fn new(config: HealthConfig) -> Self {
        EngineHealth { config, state: State::Admitted, consecutive_failures: 0, recent_failures: 0, recent_attempts: 0 }
    }

    /// Whether the engine may be given a request now.
    ///
    /// An ejected engine gets one request at a time as a probe. A request that must not be repeated would be lost with
    /// a failed probe, so it serves as one only after twice the back-off, when no repeatable request has come.
    pub(super) fn admits(&self, repeatable: bool, now: Timestamp) -> bool {
        match self.state {
            State::Admitted => true,
            State::Ejected { until, back_off } => now >= if repeatable { until } else { until + back_off },
            State::Probed { .. } => false,
        }
    }

    /// Whether the engine counts as capacity.
    pub(super) fn is_admitted(&self) -> bool {
        self.state == State::Admitted
    }

    /// When an ejected engine may be probed, by a repeatable request and by any.
    pub(super) fn probe_times(&self) -> Option<[Timestamp; 2]> {
        match self.state {
            State::Ejected { until, back_off } => Some([until, until + back_off]),
            _ => None,
        }
    }

    /// Notes that a request starts on the engine; on an ejected engine it is the probe.
    pub(super) fn start(&mut self, request: RequestId) {
        if let State::Ejected { back_off, .. } = self.state {
            self.state = State::Probed { by: request, back_off };
        }
    }

    /// Notes that an attempt succeeded.
    pub(super) fn record_success(&mut self, request: RequestId) {
        self.consecutive_failures = 0;
        self.remember(false);
        if matches!(self.state, State::Probed { by, .. } if by == request) {
            *self = EngineHealth::new(self.config);
        }
    }

    /// Notes that an attempt failed; returns whether that ejected the engine.
    pub(super) fn record_failure(&mut self, request: RequestId, now: Timestamp) -> bool {
        self.consecutive_failures += 1;
        self.remember(true);
        match self.state {
            State::Admitted if self.is_failing() => self.eject(self.config.back_off_minimum, now),
            State::Probed { by, back_off } if by == request => {
                self.eject((2 * back_off).min(self.config.back_off_maximum), now);
            }
            _ => return false,
        }
        true
    }

    /// Notes that an attempt ended in a way that tells nothing about the engine, for example by being cancelled.
    pub(super) fn record_nothing(&mut self, request: RequestId, now: Timestamp) {
        if let State::Probed { by, back_off } = self.state
            && by == request
        {
            self.state = State::Ejected { until: now, back_off };
        }
    }

    fn remember(&mut self, failed: bool) {
        self.recent_failures = self.recent_failures << 1 | u32::from(failed);
        self.recent_attempts = (self.recent_attempts + 1).min(ATTEMPTS_REMEMBERED);
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
