//! Holds requests back, or gives them up, because engines have terminated while running them.

use std::time::{Duration, Instant};

use havengate_core::relay::NextStep;
use havengate_core::time::whole_millis;
use havengate_core::verdict::{MayHaveRun, NotRunReason};
use havengate_core::world::BackEndId;
use tokio::time::sleep_until;

use super::exchange_driver::Driver;
use crate::engine_terminations::PartBlock;
use crate::protocol::Protocol;

impl<P: Protocol> Driver<'_, P> {
    /// Gives a request up if its content is blocked because engines have terminated while running it, at any node: it
    /// would terminate the next engine too and interrupt all requests there. Without this check, each copy of such a
    /// request would terminate as many engines as its route allows attempts.
    pub(super) fn give_up_if_blocked(&mut self) -> Option<NextStep> {
        let notices = &self.traffic.peer_notices;
        let terminations = notices.engine_terminations();
        let is_blocked = terminations.blocked_for(self.request.content).is_some() || self.pause().is_some();
        let block = notices.part_terminations().blocking_part(&self.request.shared_parts);
        self.give_up_as_blocked(is_blocked, block)
    }

    /// Like `give_up_if_blocked`, for a request of which nothing was sent yet: if the block of one of its parts has
    /// lapsed, it is sent only if no other request tries the part.
    pub(super) fn give_up_if_not_admitted(&mut self) -> Option<NextStep> {
        let notices = &self.traffic.peer_notices;
        let is_blocked = notices.engine_terminations().blocked_for(self.request.content).is_some();
        let block = notices.admit_parts(&self.request.shared_parts);
        self.give_up_as_blocked(is_blocked, block)
    }

    fn give_up_as_blocked(&mut self, is_blocked: bool, part: Option<PartBlock>) -> Option<NextStep> {
        if let Some(record) = &mut self.record {
            record.blocking_part = part.map(|part| part.id);
        }
        self.part_wait = part.map(|part| part.wait);
        let gives_up = is_blocked || part.is_some();
        gives_up.then(|| self.exchange.give_up(NotRunReason::EndsEngines, MayHaveRun::EndsEngines))
    }

    /// How long the request is blocked, by its content or by a part of its prompt.
    pub(super) fn blocked_for(&self) -> Option<Duration> {
        let by_content = self.traffic.peer_notices.engine_terminations().blocked_for(self.request.content);
        by_content.max(self.pause()).max(self.part_wait)
    }

    /// How long the request must not be sent, as engines have just terminated while running it.
    fn pause(&self) -> Option<Duration> {
        self.traffic.peer_notices.engine_terminations().paused_for(self.request.content)
    }

    /// Waits until the request may be sent again after engines have terminated while running it; not at all if its deadline
    /// is before that.
    pub(super) async fn wait_while_paused(&self) {
        while let Some(pause) = self.pause() {
            let until = Instant::now() + pause;
            if until >= self.ends_at {
                return;
            }
            let (request, content, pause_ms) = (self.request.head.id_text(), self.request.content, whole_millis(pause));
            log::info!(event = "request_paused", request, content:% = content, pause_ms; "");
            sleep_until(until.into()).await;
        }
    }

    /// Waits until it is known whether `back_end` has terminated, if engines have terminated before while running this
    /// request; such a request is not sent again earlier. Other requests don't wait.
    pub(super) async fn wait_for_termination_check(&self, back_end: &BackEndId) {
        let notices = &self.traffic.peer_notices;
        let is_suspect = notices.engine_terminations().is_suspect(self.request.content)
            || notices.part_terminations().is_any_suspect(&self.request.shared_parts);
        if is_suspect {
            self.traffic.broken_runs.wait_for_liveness_check(back_end).await;
        }
    }
}
