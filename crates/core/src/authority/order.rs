//! Orders to engines, and the fence that makes an engine refuse those of a holder that has lost its authority.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::target::EngineTarget;
use crate::world::{AdapterName, EngineRole, ModelName, ModelVersion};

/// Orders the holders of the authority over a pool. The store allocates each term to one process only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Identifies an order at an engine: the term under which it was given and its place among that term's orders.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct OrderId {
    /// The term of the holder that gave the order.
    pub term: Term,
    /// Counts the holder's orders to this engine, from 1.
    pub sequence: u32,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Take a role. The engine is out of service for seconds.
    SetRole(EngineRole),
    /// Load a model version, with an adapter or without.
    Load {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        version: ModelVersion,
        /// The adapter.
        adapter: Option<AdapterName>,
    },
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct Order {
    /// The order's identity; its term must be no lower than the engine's fence.
    pub id: OrderId,
    /// The life of the engine process that the order is meant for. A restarted engine has lost its fence, so only this
    /// keeps a late order of an earlier holder from changing it.
    pub engine_incarnation: u64,
    /// The order that this one replaces, as the engine last reported it; none when the engine had none.
    pub replaces: Option<OrderId>,
    /// What to do.
    pub action: OrderAction,
}

/// What an engine says of itself; the answer to a fence, to an order and to a query.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct EngineReport {
    /// The highest term that the engine has seen: it refuses lower ones.
    pub fence: Term,
    /// The order that it holds, executed or being executed.
    pub order: Option<OrderId>,
    /// The role that it has, or had before the change that is going on.
    pub role: EngineRole,
    /// The model that it serves.
    pub model: ModelName,
    /// The version that it has loaded.
    pub version: ModelVersion,
    /// The adapter that it has loaded.
    pub adapter: Option<AdapterName>,
    /// Whether an order is being executed; the engine serves nothing meanwhile.
    pub changing: bool,
    /// Whether the engine is about to stop and wants no new work.
    pub leaving: bool,
    /// Distinguishes the engine process's lives: a restarted engine has lost its fence, order, cache and streams.
    pub incarnation: u64,
}

impl EngineReport {
    /// The report of an engine that has just started in the state `state` and has seen neither fence nor order.
    pub fn started(state: EngineTarget, incarnation: u64) -> Self {
        EngineReport {
            fence: Term::default(),
            order: None,
            role: state.role,
            model: state.model,
            version: state.version,
            adapter: state.adapter,
            changing: false,
            leaving: false,
            incarnation,
        }
    }

    /// The next step from here to `target`; `None` when the engine is what it should be.
    pub fn next_action(&self, target: &EngineTarget) -> Option<OrderAction> {
        let loaded = self.model == target.model && self.version == target.version && self.adapter == target.adapter;
        if !loaded {
            let (model, adapter) = (target.model.clone(), target.adapter.clone());
            return Some(OrderAction::Load { model, version: target.version, adapter });
        }
        (self.role != target.role).then_some(OrderAction::SetRole(target.role))
    }
}

/// Why an engine refuses a fence or an order; nothing has changed at the engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderRefusal {
    /// the order is meant for another life of the engine process
    OtherIncarnation,
    /// the term is lower than the engine's fence
    StaleTerm,
    /// the engine holds another order than the one to be replaced
    ReplacesOther,
    /// the engine is still executing an order
    Busy,
}

/// What comes back from an engine.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub enum OrderReply {
    /// The fence is raised, or the order is accepted and being executed.
    Accepted(EngineReport),
    /// The engine refused; the report tells what it holds.
    Refused(OrderRefusal, EngineReport),
    /// The engine can't be reached or did not answer in time: the order may have been accepted.
    Unknown,
}

impl OrderReply {
    /// What the engine said of itself, if it said anything.
    pub fn report(&self) -> Option<&EngineReport> {
        match self {
            OrderReply::Accepted(report) | OrderReply::Refused(_, report) => Some(report),
            OrderReply::Unknown => None,
        }
    }
}
