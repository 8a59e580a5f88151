//! How often peers may be told of readings: at once while that costs little, else as seldom as a number of bytes a second
//! allows.

use std::time::Duration;

use crate::limits::TokenBucket;
use crate::time::Timestamp;

/// Limits of a [`AnnouncementPace`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncementPaceConfig {
    /// Bytes a second, over all receivers.
    pub bytes_per_second: f64,
    /// The time whose bytes may be spent at once after a quiet while.
    pub burst: Duration,
}

impl Default for AnnouncementPaceConfig {
    fn default() -> Self {
        AnnouncementPaceConfig { bytes_per_second: 64.0 * 1024.0, burst: Duration::from_millis(500) }
    }
}

/// A bucket of bytes that goes into debt: what was sent is taken out, and nothing is sent while it is below zero.
///
/// Invariant: in any span of time, at most its bytes, the burst and one message to every receiver are sent.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementPace {
    bytes: TokenBucket,
}

impl AnnouncementPace {
    /// A pace of which nothing is spent.
    pub fn new(config: AnnouncementPaceConfig, now: Timestamp) -> Self {
        let mut bytes = TokenBucket::new(config.burst, now);
        bytes.set_rate(config.bytes_per_second, now);
        bytes.add(config.bytes_per_second * config.burst.as_secs_f64());
        AnnouncementPace { bytes }
    }

    /// The time until something may be sent; zero: now.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.bytes.take(0.0, now);
        self.bytes.wait_for(0.0).unwrap_or_default()
    }

    /// Takes out what was sent to all receivers.
    pub fn spend(&mut self, bytes: usize, now: Timestamp) {
        self.bytes.take(bytes as f64, now);
    }
}
