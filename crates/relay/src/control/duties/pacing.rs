//! Pauses between calls that fail.

use std::time::Duration;

use havengate_core::time::Timestamp;

/// The pause after a first failure, doubled with each further one up to the maximum.
const PAUSE_MINIMUM: Duration = Duration::from_millis(400);
const PAUSE_MAXIMUM: Duration = Duration::from_secs(1);

/// When a call that failed is made again.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    pause: Duration,
    again_at: Option<Timestamp>,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { pause: PAUSE_MINIMUM, again_at: None }
    }
}

impl Pacing {
    /// Whether nothing is to be called yet.
    pub fn pauses(&self, now: Timestamp) -> bool {
        self.again_at.is_some_and(|again_at| now < again_at)
    }

    /// Notes a failure, and tells the pause that follows, give or take half.
    pub fn failed(&mut self, now: Timestamp) -> Duration {
        let pause = self.pause;
        self.again_at = Some(now + pause.mul_f64(0.5 + fastrand::f64()));
        self.pause = (2 * pause).min(PAUSE_MAXIMUM);
        pause
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        *self = Pacing::default();
    }
}
