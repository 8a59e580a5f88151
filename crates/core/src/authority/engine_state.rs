//! The holder's view of an engine: its work, its state, and why a change was given up.

use std::time::Duration;

use displaydoc::Display;

use super::order::OrderAction;
use crate::time::Timestamp;
use crate::world::{EngineName, EngineRole};

/// The known work on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineActivity {
    /// Unfinished requests that this node has placed on the engine.
    pub in_flight: u32,
    /// Requests that run or wait at the engine according to its last report. Other nodes may have placed them.
    pub reported: u32,
    /// When that report was made: its arrival time minus its age.
    pub reported_at: Timestamp,
}

impl EngineActivity {
    /// Whether the engine was idle at some time after `since`, from when on nothing new was placed on it.
    pub(super) fn idle_since(&self, since: Timestamp) -> bool {
        self.in_flight == 0 && self.reported == 0 && self.reported_at >= since
    }
}

/// A completed and verified change of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedChange {
    /// The engine.
    pub engine: EngineName,
    /// The action that was ordered.
    pub action: OrderAction,
    /// The engine's role before the change.
    pub role_before: EngineRole,
    /// Time from the start of the drain to the verified end of the change.
    pub out_of_service: Duration,
}

/// Why a change of an engine was given up. The engine keeps its role and weights until its target changes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum GiveUpReason {
    /// the engine restarted each time that it was to change
    Crashed,
    /// the engine accepted the order but is not what the order asked for
    NotEffective,
    /// the engine refused the order
    Refused,
}

/// The state of one of the pool's engines, as the holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The fence is not raised: the holder sends the engine no order and no work.
    Unfenced,
    /// It serves, and matches its target or waits for its change to start.
    Serving,
    /// It finishes its streams and receives no new ones.
    Draining,
    /// An order was sent and no reply has come yet.
    OrderUnresolved,
    /// It is executing an order.
    Changing,
    /// It has been executing an order, or has not answered one, for longer than the limit.
    Stuck,
    /// It does not answer.
    Lost,
    /// It serves, but its change was given up.
    GivenUp(GiveUpReason),
}

impl EngineState {
    /// The stable code for response bodies, logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EngineState::Unfenced => "unfenced",
            EngineState::Serving => "serving",
            EngineState::Draining => "draining",
            EngineState::OrderUnresolved => "order_in_doubt",
            EngineState::Changing => "changing",
            EngineState::Stuck => "stuck",
            EngineState::Lost => "lost",
            EngineState::GivenUp(GiveUpReason::Crashed) => "given_up_crashed",
            EngineState::GivenUp(GiveUpReason::NotEffective) => "given_up_not_effective",
            EngineState::GivenUp(GiveUpReason::Refused) => "given_up_refused",
        }
    }
}
