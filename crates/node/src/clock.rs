//! The process's monotonic clock, as the core's timestamps.

use std::time::{Duration, Instant};

use havengate_core::time::Timestamp;

/// Tells the time since it was made. Copies share their origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// The time at the origin.
    at_origin: Timestamp,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { origin: Instant::now(), at_origin: Timestamp::ZERO }
    }

    /// A clock that starts now and can also tell moments up to `past` before its start: what others saw then is told as an
    /// age, and has to have a time here.
    pub fn start_with_past(past: Duration) -> Self {
        Clock { origin: Instant::now(), at_origin: Timestamp::ZERO + past }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        self.at_origin + self.origin.elapsed()
    }
}
