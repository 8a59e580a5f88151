//! An engine as its holder sees it: its work, its state, and why a change was given up.

use std::time::Duration;

use displaydoc::Display;

use super::order::OrderAction;
use crate::time::Timestamp;
use crate::world::{EngineName, EngineRole};

/// What is known about the work on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineActivity {
    /// Requests that this node has placed on the engine and that have not ended.
    pub in_flight: u32,
    /// Requests that run or wait at the engine, as it last reported. Other nodes may have placed them.
    pub reported: u32,
    /// When that report was true: its arrival less its age.
    pub reported_at: Timestamp,
}

impl EngineActivity {
    /// Whether nothing ran on the engine at some moment after `since`, when nothing new was placed any more.
    pub(super) fn idle_since(&self, since: Timestamp) -> bool {
        self.in_flight == 0 && self.reported == 0 && self.reported_at >= since
    }
}

/// A change that an engine has completed and that was verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedChange {
    /// The engine.
    pub engine: EngineName,
    /// What it was told to do.
    pub action: OrderAction,
    /// The role that it had before.
    pub role_before: EngineRole,
    /// From the start of the drain to the verified end.
    pub out_of_service: Duration,
}

/// Why a change of an engine was given up. The engine keeps what it has until its target changes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum GiveUpReason {
    /// the engine restarted each time that it was to change
    Crashed,
    /// the engine accepted the order but is not what the order asked for
    NotEffective,
    /// the engine refused the order
    Refused,
}

/// An engine of the pool as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The fence is not raised: it gets no order and no work from the holder.
    Unfenced,
    /// It serves and is what it should be, or waits for its turn to change.
    Serving,
    /// It finishes its streams and gets no new ones.
    Draining,
    /// An order was sent and no reply has come yet.
    OrderInDoubt,
    /// It is executing an order.
    Changing,
    /// It has been executing an order, or leaving one unanswered, for longer than the limit.
    Stuck,
    /// It does not answer.
    Lost,
    /// It serves, but its change was given up.
    GivenUp(GiveUpReason),
}

impl EngineState {
    /// The stable code for bodies, logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EngineState::Unfenced => "unfenced",
            EngineState::Serving => "serving",
            EngineState::Draining => "draining",
            EngineState::OrderInDoubt => "order_in_doubt",
            EngineState::Changing => "changing",
            EngineState::Stuck => "stuck",
            EngineState::Lost => "lost",
            EngineState::GivenUp(GiveUpReason::Crashed) => "given_up_crashed",
            EngineState::GivenUp(GiveUpReason::NotEffective) => "given_up_not_effective",
            EngineState::GivenUp(GiveUpReason::Refused) => "given_up_refused",
        }
    }
}
