//! An estimate of the true time: the machine's time of day with jumps filtered out.

use std::time::Duration;

use crate::time::Timestamp;

/// Limits of a [`TrueTime`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrueTimeConfig {
    /// A change of the offset from the monotonic clock by more than this at once is a jump. Clocks drift by far less between
    /// two readings.
    pub jump_threshold: Duration,
    /// A jump that has lasted for this time is accepted: the time of day was wrong before. Faulty jumps are reversed within
    /// seconds, and requests counted in the meantime would be assigned to the wrong windows.
    pub accepted_after: Duration,
}

impl Default for TrueTimeConfig {
    fn default() -> Self {
        TrueTimeConfig { jump_threshold: Duration::from_millis(250), accepted_after: Duration::from_secs(60) }
    }
}

/// Derives the true time from a time of day that may jump, in microseconds since 1970.
#[derive(Clone, Copy, Debug)]
pub struct TrueTime {
    config: TrueTimeConfig,
    /// The time of day minus the monotonic clock, in microseconds.
    offset: Option<i128>,
    /// Another offset that the time of day has had since a jump, and since when.
    pending_offset: Option<(i128, Timestamp)>,
}

impl TrueTime {
    /// An estimate that starts from the first time of day passed to [`TrueTime::at`].
    pub fn new(config: TrueTimeConfig) -> Self {
        TrueTime { config, offset: None, pending_offset: None }
    }

    /// The true time since 1970 when the monotonic clock reads `now` and the time of day is `time_of_day` since 1970.
    pub fn at(&mut self, now: Timestamp, time_of_day: Duration) -> Duration {
        let observed_offset = micros(time_of_day) - i128::from(now.as_micros());
        let offset = match self.offset {
            Some(offset) if self.is_jump(offset, observed_offset) => {
                self.offset_after_jump(offset, observed_offset, now)
            }
            _ => {
                self.pending_offset = None;
                observed_offset
            }
        };
        self.offset = Some(offset);
        let micros = u64::try_from(offset + i128::from(now.as_micros())).unwrap_or(0);
        Duration::from_micros(micros)
    }

    fn offset_after_jump(&mut self, offset: i128, observed_offset: i128, now: Timestamp) -> i128 {
        match self.pending_offset {
            Some((pending_offset, since)) if !self.is_jump(pending_offset, observed_offset) => {
                if now.since(since) < self.config.accepted_after {
                    return offset;
                }
                self.pending_offset = None;
                observed_offset
            }
            _ => {
                self.pending_offset = Some((observed_offset, now));
                offset
            }
        }
    }

    fn is_jump(&self, one: i128, other: i128) -> bool {
        (one - other).unsigned_abs() > self.config.jump_threshold.as_micros()
    }
}

fn micros(duration: Duration) -> i128 {
    i128::try_from(duration.as_micros()).unwrap_or(i128::MAX)
}
