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
        while self.falling.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            self.falling.pop_front();
        }
    }

    /// The peak up to the last recorded value; 0 when nothing was recorded.
    pub(super) fn get(&self) -> u32 {
        self.falling.front().map_or(0, |(_, peak)| *peak)
    }
}
