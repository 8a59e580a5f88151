//! Limits how often prefills are announced to peers: immediately while the traffic is low, otherwise at the rate that a
//! limit in bytes per second allows.

use std::time::Duration;

use crate::limits::TokenBucket;
use crate::time::Timestamp;

/// Limits of an [`AnnouncementPace`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncementPaceConfig {
    /// Bytes per second, over all receivers.
    pub bytes_per_second: f64,
    /// The burst after an idle period, as the time whose bytes may be spent at once.
    pub burst: Duration,
}

impl Default for AnnouncementPaceConfig {
    fn default() -> Self {
        AnnouncementPaceConfig { bytes_per_second: 64.0 * 1024.0, burst: Duration::from_millis(500) }
    }
}

/// A token bucket of bytes that may become negative: sent bytes are taken out, and nothing is sent while it is below zero.
///
/// Invariant: the bytes sent in any time span are at most those of the rate, the burst and one message to every receiver.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementPace {
    bytes: TokenBucket,
}

impl AnnouncementPace {
    /// An unspent pace.
    pub fn new(config: AnnouncementPaceConfig, now: Timestamp) -> Self {
        let mut bytes = TokenBucket::new(config.burst, now);
        bytes.set_rate(config.bytes_per_second, now);
        bytes.add(config.bytes_per_second * config.burst.as_secs_f64());
        AnnouncementPace { bytes }
    }

    /// The time until the next message may be sent; zero: now.
    pub fn wait(&mut self, now: Timestamp) -> Duration {
        self.bytes.take(0.0, now);
        self.bytes.wait_for(0.0).unwrap_or_default()
    }

    /// Takes out the bytes sent to all receivers.
    pub fn spend(&mut self, bytes: usize, now: Timestamp) {
        self.bytes.take(bytes as f64, now);
    }
}
