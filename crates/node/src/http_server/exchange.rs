//! One request and its response, from the end of the request's head on.

use super::hang_up::HangUpTrigger;
use super::monitor::{Monitor, Phase};

/// An exchange that is going on. hyper drops it when the connection breaks: that is how a hang-up is noticed, before
/// the response has started as well as in its midst.
pub(super) struct Exchange {
    monitor: Monitor,
    trigger: Option<HangUpTrigger>,
}

impl Exchange {
    pub(super) fn start(monitor: Monitor, trigger: HangUpTrigger) -> Self {
        monitor.enter(Phase::Exchange);
        Exchange { monitor, trigger: Some(trigger) }
    }

    pub(super) fn monitor(&self) -> &Monitor {
        &self.monitor
    }

    /// Says that the handler has no more to do: what happens to the client from now on is no hang-up.
    pub(super) fn complete(&mut self) {
        self.trigger = None;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(trigger) = self.trigger.take() {
            trigger.set();
        }
        self.monitor.enter(Phase::Idle);
    }
}
