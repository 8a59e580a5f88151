//! The largest value within a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// The largest of the values that were recorded within a window of time.
#[derive(Clone, Debug)]
pub(super) struct WindowPeak {
    window: Duration,
    /// Values that no later one reaches, each with the last time at which it was recorded.
    falling: VecDeque<(Timestamp, u32)>,
}

impl WindowPeak {
    pub(super) fn new(window: Duration) -> Self {
        WindowPeak { window, falling: VecDeque::new() }
    }

    pub(super) fn record(&mut self, value: u32, now: Timestamp) {
        while self.falling.back().is_some_and(|(_, recorded)| *recorded <= value) {
            self.falling.pop_back();
        }
        self.falling.push_back((now, value));
        self.expire(now);
    }

    /// Forgets the values that are no longer in the window.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while self.falling.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            self.falling.pop_front();
        }
    }

    /// Records a value that held at `at`, which may be before values that were recorded already.
    pub(super) fn record_earlier(&mut self, value: u32, at: Timestamp, now: Timestamp) {
        if now.since(at) > self.window
            || self.falling.iter().any(|(later, recorded)| *later >= at && *recorded >= value)
        {
            return;
        }
        self.falling.retain(|(earlier, recorded)| *earlier > at || *recorded > value);
        let index = self.falling.partition_point(|(earlier, _)| *earlier <= at);
        self.falling.insert(index, (at, value));
    }

    /// When the peak was last recorded; `None` when nothing was.
    pub(super) fn recorded_at(&self) -> Option<Timestamp> {
        self.falling.front().map(|(at, _)| *at)
    }

    /// The peak up to the last recorded value; 0 when nothing was recorded.
    pub(super) fn get(&self) -> u32 {
        self.falling.front().map_or(0, |(_, peak)| *peak)
    }
}
