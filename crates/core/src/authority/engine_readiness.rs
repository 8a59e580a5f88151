//! Read-only queries on an engine's change: what may be done with the engine now.

use super::config::RoleChangeConfig;
use super::engine_change::{EngineChange, Phase};
use super::engine_state::{EngineActivity, EngineState};
use super::order::{EngineReport, OrderAction};
use crate::dispatch::EngineAvailability;
use crate::time::Timestamp;

/// Consecutive unanswered calls after which an engine counts as lost.
const LOST_AFTER_UNANSWERED_CALLS: u32 = 2;

impl EngineChange {
    /// Whether the engine accepts work and counts for the floors.
    pub(super) fn is_serving(&self) -> bool {
        let accepts_work = |report: &EngineReport| !report.changing && !report.leaving;
        self.phase == Phase::Steady && self.fenced && !self.is_lost() && self.report.as_ref().is_some_and(accepts_work)
    }

    /// Whether a drain may start.
    pub(super) fn can_start_drain(&self, now: Timestamp) -> bool {
        let differs = self.next_action().is_some();
        self.is_serving() && differs && self.given_up.is_none() && now >= self.retry_at
    }

    /// Whether the drain is complete: the minimum drain time has passed, no call is pending, and nothing runs on the
    /// engine.
    pub(super) fn is_drained(
        &self,
        activity: Option<&EngineActivity>,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> bool {
        let Phase::Draining { since } = self.phase else { return false };
        let minimum_end = since + config.drain_minimum;
        now >= minimum_end && self.call.is_none() && activity.is_some_and(|activity| activity.idle_since(minimum_end))
    }

    pub(super) fn drain_timed_out(&self, now: Timestamp, config: &RoleChangeConfig) -> bool {
        matches!(self.phase, Phase::Draining { since } if now.since(since) > config.drain_limit)
    }

    /// Whether the engine counts towards the limit on concurrent changes. A stuck engine does not, since it would block
    /// all other changes; it still doesn't count as serving.
    pub(super) fn occupies_slot(&self, now: Timestamp, config: &RoleChangeConfig) -> bool {
        match self.phase {
            Phase::Steady => false,
            Phase::Draining { .. } => true,
            Phase::Ordered { since, .. } | Phase::Changing { since, .. } => now.since(since) <= config.change_limit,
        }
    }

    /// The engine's availability for the dispatcher. An unfenced engine may still receive an earlier holder's order,
    /// which would cut its streams; `use_unfenced` states that no such order can be in transit.
    pub(super) fn availability(&self, use_unfenced: bool) -> EngineAvailability {
        let leaving = self.report.as_ref().is_some_and(|report| report.leaving);
        match self.phase {
            Phase::Ordered { .. } | Phase::Changing { .. } => EngineAvailability::Unavailable,
            _ if !self.fenced && !use_unfenced => EngineAvailability::Unavailable,
            _ if self.fenced && self.is_lost() => EngineAvailability::Unavailable,
            Phase::Draining { .. } => EngineAvailability::Draining,
            Phase::Steady if leaving => EngineAvailability::Draining,
            Phase::Steady => EngineAvailability::Serving,
        }
    }

    /// Whether the engine loads weights, will load them next, or may be loading them.
    pub(super) fn is_loading(&self) -> bool {
        let loads = |action: &OrderAction| matches!(action, OrderAction::Load { .. });
        match &self.phase {
            Phase::Steady => false,
            Phase::Draining { .. } => self.next_action().as_ref().is_some_and(loads),
            Phase::Ordered { order, .. } | Phase::Changing { order: Some(order), .. } => loads(&order.action),
            Phase::Changing { order: None, .. } => true,
        }
    }

    /// The engine's state for operators.
    pub(super) fn state(&self, now: Timestamp, config: &RoleChangeConfig) -> EngineState {
        match self.phase {
            _ if self.is_stuck(now, config) => EngineState::Stuck,
            Phase::Draining { .. } => EngineState::Draining,
            Phase::Ordered { .. } => EngineState::OrderUnresolved,
            Phase::Changing { .. } => EngineState::Changing,
            Phase::Steady if !self.fenced => EngineState::Unfenced,
            Phase::Steady if self.is_lost() => EngineState::Lost,
            Phase::Steady => self.given_up.map_or(EngineState::Serving, EngineState::GivenUp),
        }
    }

    fn is_stuck(&self, now: Timestamp, config: &RoleChangeConfig) -> bool {
        self.phase != Phase::Steady && !self.occupies_slot(now, config)
    }

    fn is_lost(&self) -> bool {
        self.unanswered_calls >= LOST_AFTER_UNANSWERED_CALLS
    }
}
