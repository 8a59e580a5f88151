//! The rate of requests that a back end accepts.

use std::fmt;
use std::time::Duration;

use speedy::{Readable, Writable};

/// Requests per second, in thousandths; never 0, so that the interval between two requests is always finite.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// The lowest rate: one request in some 17 minutes.
    pub const MINIMUM: RequestRate = RequestRate { thousandths: 1 };

    /// A rate in requests per second; `None` unless it is finite and not negative. Lower values are raised to the
    /// lowest rate.
    pub fn per_second(requests: f64) -> Option<Self> {
        let is_rate = requests.is_finite() && requests >= 0.0;
        // The conversion saturates at the largest value.
        is_rate.then_some(RequestRate { thousandths: (requests * 1e3) as u32 }.max(RequestRate::MINIMUM))
    }

    /// Requests per second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.thousandths) / 1e3
    }

    /// One of `parts` equal parts, at least the lowest rate.
    pub fn divided_by(self, parts: usize) -> Self {
        let parts = u32::try_from(parts.max(1)).unwrap_or(u32::MAX);
        RequestRate { thousandths: self.thousandths / parts }.max(RequestRate::MINIMUM)
    }

    /// The time from one request to the next at this rate.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_per_second())
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.as_per_second())
    }
}
