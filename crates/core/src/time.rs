//! Time in the core: a number passed in by the caller, never read from a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// A duration in milliseconds, rounded down, for logs and messages; [`u64::MAX`] on overflow.
pub fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Exponential backoff: `first`, doubled `times` times and capped at `longest`.
pub fn doubled(first: Duration, times: u32, longest: Duration) -> Duration {
    let factor = 2_u32.checked_pow(times).unwrap_or(u32::MAX);
    first.saturating_mul(factor).min(longest)
}

/// A point in monotonic time, in microseconds since an origin that each process (or simulation) chooses for itself.
///
/// Timestamps of two processes must not be compared: messages carry durations instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the process's time.
    pub const ZERO: Timestamp = Timestamp(0);

    /// A timestamp `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// A timestamp `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp(millis * 1_000)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Seconds since the origin, as a fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The time elapsed since `earlier`; zero when `earlier` is later than `self`.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}
