//! Backoff between failed calls.

use std::time::Duration;

use havengate_core::time::Timestamp;

/// Pause after the first failure; each further failure doubles it, up to the maximum.
const PAUSE_MINIMUM: Duration = Duration::from_millis(400);
const PAUSE_MAXIMUM: Duration = Duration::from_secs(1);

/// Schedules the retry of a failed call.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    pause: Duration,
    retry_at: Option<Timestamp>,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { pause: PAUSE_MINIMUM, retry_at: None }
    }
}

impl Pacing {
    /// Whether the next call has to wait.
    pub fn is_waiting(&self, now: Timestamp) -> bool {
        self.retry_at.is_some_and(|retry_at| now < retry_at)
    }

    /// Records a failure and returns the pause before the retry, which is randomized by up to half of it.
    pub fn failed(&mut self, now: Timestamp) -> Duration {
        let pause = self.pause;
        self.retry_at = Some(now + pause.mul_f64(0.5 + fastrand::f64()));
        self.pause = (2 * pause).min(PAUSE_MAXIMUM);
        pause
    }

    /// Records a success.
    pub fn succeeded(&mut self) {
        *self = Pacing::default();
    }
}
