//! Windows of true time.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// Numbers the windows of true time: the one with number k begins k lengths of a window after the start of 1970.
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

/// How usage is reported, as whoever bills asks for it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageConfig {
    /// The length of a window, in seconds.
    pub window_seconds: f64,
    /// A window is due so many seconds after its end.
    pub late_seconds: f64,
}

/// a value of the usage settings is out of its range: {0}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq, thiserror::Error)]
pub struct UsageConfigError(pub &'static str);

/// The windows before the present one of which counts are kept. Longer ones are rare: a store that is away for a minute.
const WINDOWS_KEPT: u64 = 12;

/// The part of the time until a window is due in which its counts may still come in. They come within a second of its end,
/// or of the next one where a message is lost; the rest of the time is for a holder that ends, and for a store that is away.
const SETTLING_SHARE: f64 = 0.15;

impl UsageConfig {
    /// Checks that each value can be reckoned with.
    ///
    /// # Errors
    /// Names the first value that can't.
    pub fn validate(&self) -> Result<(), UsageConfigError> {
        if !(0.1..=86_400.0).contains(&self.window_seconds) {
            return Err(UsageConfigError("window_seconds: 0.1 to 86400"));
        }
        if !(0.1..=86_400.0).contains(&self.late_seconds) {
            return Err(UsageConfigError("late_seconds: 0.1 to 86400"));
        }
        Ok(())
    }

    /// The window that holds the moment `true_time` after the start of 1970.
    pub fn window_at(&self, true_time: Duration) -> WindowNumber {
        WindowNumber((true_time.as_secs_f64() / self.window_seconds) as u64)
    }

    /// When `window` ends, since 1970.
    pub fn end_of(&self, window: WindowNumber) -> Duration {
        Duration::try_from_secs_f64((window.0.saturating_add(1)) as f64 * self.window_seconds).unwrap_or(Duration::MAX)
    }

    /// The last window whose counts have come in by `true_time`; `None`: none has.
    pub fn last_settled(&self, true_time: Duration) -> Option<WindowNumber> {
        let settling = Duration::from_secs_f64(self.late_seconds * SETTLING_SHARE);
        self.window_at(true_time.checked_sub(settling)?).0.checked_sub(1).map(WindowNumber)
    }

    /// The first window of which no node can have sent a report yet at `true_time`, also one whose time of day is ahead.
    pub fn first_unreported(&self, true_time: Duration) -> WindowNumber {
        self.window_at(true_time).next()
    }

    /// The first window that is still of interest at `true_time`.
    pub fn first_kept(&self, true_time: Duration) -> WindowNumber {
        WindowNumber(self.window_at(true_time).0.saturating_sub(WINDOWS_KEPT))
    }
}
