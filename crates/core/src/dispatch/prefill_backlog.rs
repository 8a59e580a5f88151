//! Predicts when an engine will have read the prompts that were placed on it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::request::RequestId;
use crate::time::Timestamp;

/// How much each finished prompt moves the estimate of an engine's pace.
const PACE_SMOOTHING: f64 = 0.2;
/// The pace is kept within this factor of the configured performance, so that one odd prompt can't shut an engine out.
const PACE_LIMIT: f64 = 4.0;
/// Shorter readings are dominated by links and steps and tell nothing about the pace.
const SHORTEST_READING_MEASURED: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Unread {
    request: RequestId,
    tokens: u32,
    read_time: Duration,
}

/// The prompts that an engine has been given and has not finished reading.
///
/// Only the end of a reading is reported. In between the rest is predicted, at the pace that finished prompts have
/// shown: 1 is as configured, 2 takes twice as long.
#[derive(Debug)]
pub(super) struct PrefillBacklog {
    unread: VecDeque<Unread>,
    /// When the engine is predicted to have read all prompts.
    busy_until: Timestamp,
    /// When it began to read the first of `unread`, as far as is known.
    reading_since: Timestamp,
    pace: f64,
}

impl PrefillBacklog {
    pub(super) fn new() -> Self {
        PrefillBacklog {
            unread: VecDeque::new(),
            busy_until: Timestamp::ZERO,
            reading_since: Timestamp::ZERO,
            pace: 1.0,
        }
    }

    /// How much slower than configured the engine reads.
    pub(super) fn pace(&self) -> f64 {
        self.pace
    }

    pub(super) fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }

    /// Whether a prompt of more than `tokens` is unread.
    pub(super) fn has_longer_than(&self, tokens: u32) -> bool {
        self.unread.iter().any(|unread| unread.tokens > tokens)
    }

    pub(super) fn push(&mut self, request: RequestId, tokens: u32, read_time: Duration, now: Timestamp) {
        if self.unread.is_empty() {
            self.busy_until = now;
            self.reading_since = now;
        }
        self.unread.push_back(Unread { request, tokens, read_time });
        self.busy_until = self.busy_until.max(now) + read_time.mul_f64(self.pace);
    }

    /// Notes that a prompt has been read.
    pub(super) fn finish(&mut self, request: RequestId, now: Timestamp) {
        let was_first = self.unread.front().is_some_and(|first| first.request == request);
        if was_first && let Some(first) = self.unread.front() {
            let (expected, taken) = (first.read_time, now.since(self.reading_since));
            self.learn_pace(expected, taken);
        }
        self.drop_request(request, now);
    }

    /// Forgets a prompt that will not be read to its end here.
    pub(super) fn drop_request(&mut self, request: RequestId, now: Timestamp) {
        let before = self.unread.len();
        self.unread.retain(|unread| unread.request != request);
        if self.unread.len() < before {
            self.reading_since = now;
            self.busy_until = now + self.read_time().mul_f64(self.pace);
        }
    }

    /// Replaces the prediction by what the engine reported `age` ago.
    pub(super) fn correct(&mut self, read_time_left: Duration, age: Duration, now: Timestamp) {
        if self.unread.is_empty() && read_time_left.is_zero() {
            return;
        }
        self.busy_until = now + read_time_left.mul_f64(self.pace).saturating_sub(age);
    }

    /// Predicted time until the engine has read all prompts. When it is overdue, it is taken to need as long again as
    /// it is late.
    pub(super) fn wait(&self, now: Timestamp) -> Duration {
        let predicted = self.busy_until.since(now);
        let overdue = if self.unread.is_empty() { Duration::ZERO } else { now.since(self.busy_until) };
        predicted.max(overdue)
    }

    /// Time to read the prompts that come after that of `request`; `None` if its own is not unread.
    pub(super) fn read_after(&self, request: RequestId) -> Option<Duration> {
        let position = self.unread.iter().position(|unread| unread.request == request)?;
        Some(self.unread.iter().skip(position + 1).map(|unread| unread.read_time).sum::<Duration>().mul_f64(self.pace))
    }

    /// When the predicted wait falls to `wait`, if it is higher now.
    pub(super) fn falls_to(&self, wait: Duration) -> Timestamp {
        self.busy_until - wait
    }

    /// Prompt tokens that are predicted to be unread.
    pub(super) fn tokens(&self, now: Timestamp) -> u32 {
        let all: u32 = self.unread.iter().map(|unread| unread.tokens).sum();
        let full_time = self.read_time().mul_f64(self.pace).as_secs_f64();
        let share = if full_time > 0.0 { (self.wait(now).as_secs_f64() / full_time).min(1.0) } else { 1.0 };
        (f64::from(all) * share) as u32
    }

    fn read_time(&self) -> Duration {
        self.unread.iter().map(|unread| unread.read_time).sum()
    }

    fn learn_pace(&mut self, expected: Duration, taken: Duration) {
        if expected < SHORTEST_READING_MEASURED {
            return;
        }
        let measured = (taken.as_secs_f64() / expected.as_secs_f64()).clamp(1.0 / PACE_LIMIT, PACE_LIMIT);
        self.pace += PACE_SMOOTHING * (measured - self.pace);
    }
}
