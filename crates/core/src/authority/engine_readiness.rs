//! What may be done with an engine now: questions about its change that alter nothing.

use super::config::RoleChangeConfig;
use super::engine_change::{EngineChange, Phase};
use super::engine_state::{EngineActivity, EngineState};
use super::order::{EngineReport, OrderAction};
use crate::dispatch::EngineAvailability;
use crate::time::Timestamp;

/// Questions in a row that an engine leaves unanswered before it counts as lost.
const LOST_AFTER: u32 = 2;

impl EngineChange {
    /// Whether the engine takes work and can be counted on for the floors.
    pub(super) fn is_serving(&self) -> bool {
        let well = |report: &EngineReport| !report.changing && !report.leaving;
        self.phase == Phase::Steady && self.fenced && !self.is_lost() && self.report.as_ref().is_some_and(well)
    }

    /// Whether a drain may begin.
    pub(super) fn wants_change(&self, now: Timestamp) -> bool {
        let differs = self.next_action().is_some();
        self.is_serving() && differs && self.given_up.is_none() && now >= self.retry_at
    }

    /// Whether the drain is over: nothing runs on the engine and nothing new was placed for the shortest drain.
    pub(super) fn is_drained(
        &self,
        activity: Option<&EngineActivity>,
        now: Timestamp,
        config: &RoleChangeConfig,
    ) -> bool {
        let Phase::Draining { since } = self.phase else { return false };
        let quiet = since + config.drain_minimum;
        now >= quiet && self.call.is_none() && activity.is_some_and(|activity| activity.idle_since(quiet))
    }

    pub(super) fn drains_too_long(&self, now: Timestamp, config: &RoleChangeConfig) -> bool {
        matches!(self.phase, Phase::Draining { since } if now.since(since) > config.drain_limit)
    }

    /// Whether the engine counts as changing for the bound on concurrent changes. A stuck one no longer does, lest it
    /// stop all others; it still doesn't count as serving.
    pub(super) fn occupies_slot(&self, now: Timestamp, config: &RoleChangeConfig) -> bool {
        match self.phase {
            Phase::Steady => false,
            Phase::Draining { .. } => true,
            Phase::Ordered { since, .. } | Phase::Changing { since, .. } => now.since(since) <= config.change_limit,
        }
    }

    /// For the dispatcher. An engine that is not fenced may still get an earlier holder's order, which would cut its
    /// streams; `use_unfenced` tells that none can be on its way any more.
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

    /// Whether the engine loads weights, will do so next, or may be doing so.
    pub(super) fn is_loading(&self) -> bool {
        let loads = |action: &OrderAction| matches!(action, OrderAction::Load { .. });
        match &self.phase {
            Phase::Steady => false,
            Phase::Draining { .. } => self.next_action().as_ref().is_some_and(loads),
            Phase::Ordered { order, .. } | Phase::Changing { order: Some(order), .. } => loads(&order.action),
            Phase::Changing { order: None, .. } => true,
        }
    }

    /// The engine's state as the operators see it.
    pub(super) fn state(&self, now: Timestamp, config: &RoleChangeConfig) -> EngineState {
        match self.phase {
            _ if self.is_stuck(now, config) => EngineState::Stuck,
            Phase::Draining { .. } => EngineState::Draining,
            Phase::Ordered { .. } => EngineState::OrderInDoubt,
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
        self.unanswered >= LOST_AFTER
    }
}
