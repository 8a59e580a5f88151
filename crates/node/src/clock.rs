//! The process's own clock, as the core's timestamps.

use std::time::Duration;

use havengate_core::time::Timestamp;
use nix::time::{ClockId, clock_gettime};

/// Tells the time since it was made. Copies share their origin.
///
/// It counts the time in which the machine was suspended, as the clocks of all others do: what a node holds for a time (a lease,
/// knowledge that was confirmed, a caller's deadline) has run out meanwhile. The steady clock that timers go by stands
/// still then. No jump of the time of day shows in it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: ClockId,
    origin: Duration,
    /// The time at the origin.
    at_origin: Timestamp,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock::start_with_past(Duration::ZERO)
    }

    /// A clock that starts now and can also tell moments up to `past` before its start: what others saw then is told as an
    /// age, and has to have a time here.
    pub fn start_with_past(past: Duration) -> Self {
        // A system without this clock has the steady one.
        let (source, origin) = match read(ClockId::CLOCK_BOOTTIME) {
            Some(origin) => (ClockId::CLOCK_BOOTTIME, origin),
            None => (ClockId::CLOCK_MONOTONIC, read(ClockId::CLOCK_MONOTONIC).unwrap_or_default()),
        };
        Clock { source, origin, at_origin: Timestamp::ZERO + past }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        let now = read(self.source).unwrap_or(self.origin);
        self.at_origin + now.saturating_sub(self.origin)
    }
}

fn read(source: ClockId) -> Option<Duration> {
    clock_gettime(source).ok().map(Duration::from)
}
