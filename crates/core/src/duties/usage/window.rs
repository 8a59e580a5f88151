//! Windows of true time.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// The number of a window of true time: window k begins k window lengths after the start of 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The window after this one.
    pub fn next(self) -> Self {
        WindowNumber(self.0.saturating_add(1))
    }
}

impl fmt::Display for WindowNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// How usage is reported, as the billing system requires.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageConfig {
    /// The length of a window, in seconds.
    pub window_seconds: f64,
    /// The report of a window is due this many seconds after its end.
    pub late_seconds: f64,
}

/// a value of the usage settings is out of its range: {0}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct UsageConfigError(pub &'static str);

/// The number of past windows whose counts are kept. Reports are rarely delayed longer than this, as by a store outage of a
/// minute.
const WINDOWS_KEPT: u64 = 12;

/// The share of the time until a window is due in which its counts may still arrive. Counts arrive within a second of the end
/// of the window, or within the next second if a message is lost; the rest of the time allows for a holder that terminates and
/// for a store outage.
const SETTLING_SHARE: f64 = 0.15;

impl UsageConfig {
    /// Checks that each value is within its range.
    ///
    /// # Errors
    /// Names the first value that is out of range.
    pub fn validate(&self) -> Result<(), UsageConfigError> {
        if !(0.1..=86_400.0).contains(&self.window_seconds) {
            return Err(UsageConfigError("window_seconds: 0.1 to 86400"));
        }
        if !(0.1..=86_400.0).contains(&self.late_seconds) {
            return Err(UsageConfigError("late_seconds: 0.1 to 86400"));
        }
        Ok(())
    }

    /// The window that contains the time `true_time` after the start of 1970.
    pub fn window_at(&self, true_time: Duration) -> WindowNumber {
        WindowNumber((true_time.as_secs_f64() / self.window_seconds) as u64)
    }

    /// When `window` ends, since 1970.
    pub fn end_of(&self, window: WindowNumber) -> Duration {
        Duration::try_from_secs_f64((window.0.saturating_add(1)) as f64 * self.window_seconds).unwrap_or(Duration::MAX)
    }

    /// The last window whose counts have all arrived by `true_time`; `None`: there is none.
    pub fn last_settled(&self, true_time: Duration) -> Option<WindowNumber> {
        let settling = Duration::from_secs_f64(self.late_seconds * SETTLING_SHARE);
        self.window_at(true_time.checked_sub(settling)?).0.checked_sub(1).map(WindowNumber)
    }

    /// The first window that no node can have reported by `true_time`, even if its time of day is ahead.
    pub fn first_unreported(&self, true_time: Duration) -> WindowNumber {
        self.window_at(true_time).next()
    }

    /// The first window whose counts are still kept at `true_time`.
    pub fn first_kept(&self, true_time: Duration) -> WindowNumber {
        WindowNumber(self.window_at(true_time).0.saturating_sub(WINDOWS_KEPT))
    }
}
