//! How often peers may be told of readings: at once while that costs little, else as seldom as a number of bytes a second
//! allows.

use std::time::Duration;

use crate::time::Timestamp;

/// Limits of a [`TellingPace`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TellingPaceConfig {
    /// Bytes a second, over all receivers.
    pub bytes_per_second: f64,
    /// The time whose bytes may be spent at once after a quiet while.
    pub burst: Duration,
}

impl Default for TellingPaceConfig {
    fn default() -> Self {
        TellingPaceConfig { bytes_per_second: 64.0 * 1024.0, burst: Duration::from_millis(500) }
    }
}

/// A token bucket that goes into debt: what was sent is taken out, and nothing is sent while it is below zero.
///
/// Invariant: in any span of time, at most its bytes, the burst and one message to every receiver are sent.
#[derive(Clone, Copy, Debug)]
pub struct TellingPace {
    config: TellingPaceConfig,
    left: f64,
    at: Timestamp,
}

impl TellingPace {
    /// A pace of which nothing is spent.
    pub fn new(config: TellingPaceConfig, now: Timestamp) -> Self {
        TellingPace { config, left: config.bytes_per_second * config.burst.as_secs_f64(), at: now }
    }

    /// The time until something may be sent; zero: now.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.refill(now);
        if self.left >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.left / self.config.bytes_per_second)
    }

    /// Takes out what was sent to all receivers.
    pub fn spend(&mut self, bytes: usize, now: Timestamp) {
        self.refill(now);
        self.left -= bytes as f64;
    }

    fn refill(&mut self, now: Timestamp) {
        let full = self.config.bytes_per_second * self.config.burst.as_secs_f64();
        let gained = self.config.bytes_per_second * now.since(self.at).as_secs_f64();
        self.left = (self.left + gained).min(full);
        self.at = now;
    }
}
