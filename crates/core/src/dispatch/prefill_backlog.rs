//! Predicts when an engine finishes the prefill of the prompts that were placed on it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::request::RequestId;
use crate::time::Timestamp;

/// The weight of each finished prompt in the estimate of an engine's slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.2;
/// The slowdown is kept within this factor of the configured performance, so that one outlier can't exclude an engine.
const SLOWDOWN_LIMIT: f64 = 4.0;
/// Shorter prefills are dominated by link latency and step times and are no measure of the slowdown.
const SHORTEST_MEASURED_PREFILL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct PendingPrompt {
    request: RequestId,
    tokens: u32,
    prefill_time: Duration,
}

/// The prompts placed on an engine whose prefill isn't done.
///
/// Engines report only the end of a prefill. Until then the remaining time is predicted, with the slowdown that
/// finished prompts have shown: 1 is the configured performance, 2 takes twice as long.
#[derive(Debug)]
pub(super) struct PrefillBacklog {
    pending: VecDeque<PendingPrompt>,
    /// When the engine is predicted to finish all prompts.
    busy_until: Timestamp,
    /// The estimated time at which the prefill of the first pending prompt began.
    prefill_started_at: Timestamp,
    slowdown: f64,
}

impl PrefillBacklog {
    pub(super) fn new() -> Self {
        PrefillBacklog {
            pending: VecDeque::new(),
            busy_until: Timestamp::ZERO,
            prefill_started_at: Timestamp::ZERO,
            slowdown: 1.0,
        }
    }

    /// The factor by which prefill takes longer than configured.
    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether a prompt of more than `tokens` is pending.
    pub(super) fn has_longer_than(&self, tokens: u32) -> bool {
        self.pending.iter().any(|pending| pending.tokens > tokens)
    }

    pub(super) fn push(&mut self, request: RequestId, tokens: u32, prefill_time: Duration, now: Timestamp) {
        if self.pending.is_empty() {
            self.busy_until = now;
            self.prefill_started_at = now;
        }
        self.pending.push_back(PendingPrompt { request, tokens, prefill_time });
        self.busy_until = self.busy_until.max(now) + prefill_time.mul_f64(self.slowdown);
    }

    /// Records that the prefill of a prompt is done.
    pub(super) fn finish(&mut self, request: RequestId, now: Timestamp) {
        let was_first = self.pending.front().is_some_and(|first| first.request == request);
        if was_first && let Some(first) = self.pending.front() {
            let (expected, taken) = (first.prefill_time, now.since(self.prefill_started_at));
            self.update_slowdown(expected, taken);
        }
        self.drop_request(request, now);
    }

    /// Removes a prompt whose prefill won't be finished here.
    pub(super) fn drop_request(&mut self, request: RequestId, now: Timestamp) {
        let before = self.pending.len();
        self.pending.retain(|pending| pending.request != request);
        if self.pending.len() < before {
            self.prefill_started_at = now;
            self.busy_until = now + self.total_prefill_time().mul_f64(self.slowdown);
        }
    }

    /// Replaces the prediction by the remaining time that the engine reported `age` ago.
    pub(super) fn correct(&mut self, prefill_time_left: Duration, age: Duration, now: Timestamp) {
        if self.pending.is_empty() && prefill_time_left.is_zero() {
            return;
        }
        self.busy_until = now + prefill_time_left.mul_f64(self.slowdown).saturating_sub(age);
    }

    /// Predicted time until the engine has finished all prompts. An overdue engine is assumed to need as much more time
    /// as it is late.
    pub(super) fn wait(&self, now: Timestamp) -> Duration {
        let predicted = self.busy_until.since(now);
        let overdue = if self.pending.is_empty() { Duration::ZERO } else { now.since(self.busy_until) };
        predicted.max(overdue)
    }

    /// Time to prefill the prompts after that of `request`; `None` if the prompt of `request` isn't pending.
    pub(super) fn prefill_time_after(&self, request: RequestId) -> Option<Duration> {
        let position = self.pending.iter().position(|pending| pending.request == request)?;
        Some(
            self.pending
                .iter()
                .skip(position + 1)
                .map(|pending| pending.prefill_time)
                .sum::<Duration>()
                .mul_f64(self.slowdown),
        )
    }

    /// When the predicted wait falls to `wait`, if it is longer now.
    pub(super) fn wait_falls_to(&self, wait: Duration) -> Timestamp {
        self.busy_until - wait
    }

    /// The predicted number of prompt tokens that are still to prefill.
    pub(super) fn tokens(&self, now: Timestamp) -> u32 {
        let pending_tokens: u32 = self.pending.iter().map(|pending| pending.tokens).sum();
        let full_time = self.total_prefill_time().mul_f64(self.slowdown).as_secs_f64();
        let share = if full_time > 0.0 { (self.wait(now).as_secs_f64() / full_time).min(1.0) } else { 1.0 };
        (f64::from(pending_tokens) * share) as u32
    }

    fn total_prefill_time(&self) -> Duration {
        self.pending.iter().map(|pending| pending.prefill_time).sum()
    }

    fn update_slowdown(&mut self, expected: Duration, taken: Duration) {
        if expected < SHORTEST_MEASURED_PREFILL {
            return;
        }
        let measured = (taken.as_secs_f64() / expected.as_secs_f64()).clamp(1.0 / SLOWDOWN_LIMIT, SLOWDOWN_LIMIT);
        self.slowdown += SLOWDOWN_SMOOTHING * (measured - self.slowdown);
    }
}
