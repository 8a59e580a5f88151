//! The process's monotonic clock, as the core's timestamps.

use std::time::Instant;

use havengate_core::time::Timestamp;

/// Tells the time since it was made. Copies share their origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { origin: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
