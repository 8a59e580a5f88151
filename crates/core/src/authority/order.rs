//! Orders to engines, and the fence that makes an engine refuse orders of a holder that has lost its authority.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::target::EngineTarget;
use crate::world::{AdapterName, EngineRole, ModelName, ModelVersion};

/// The ordinal of a holder of the authority over a pool. The store allocates each term to one process only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Identifies an order at an engine by the term under which it was given and a sequence number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
pub struct OrderId {
    /// The term of the holder that gave the order.
    pub term: Term,
    /// The sequence number of the order, which rises over the holder's orders, from 1.
    pub sequence: u32,
}

/// The action that an order requests from an engine.
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
    /// The incarnation of the engine process that the order is for. A restarted engine has lost its fence, so only this
    /// field prevents a late order of an earlier holder from changing it.
    pub engine_incarnation: u64,
    /// The order that this one replaces, as last reported by the engine; `None` when the engine held none.
    pub replaces: Option<OrderId>,
    /// The requested action.
    pub action: OrderAction,
}

/// An engine's report of its state; the answer to a fence, an order or a query.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct EngineReport {
    /// The highest term that the engine has accepted; it refuses lower ones.
    pub fence: Term,
    /// The order that the engine holds, executed or being executed.
    pub order: Option<OrderId>,
    /// The engine's role; during a change, the role before it.
    pub role: EngineRole,
    /// The model that the engine serves.
    pub model: ModelName,
    /// The model version that the engine has loaded.
    pub version: ModelVersion,
    /// The adapter that the engine has loaded.
    pub adapter: Option<AdapterName>,
    /// Whether an order is being executed; meanwhile the engine serves no requests.
    pub changing: bool,
    /// Whether the engine is about to stop and accepts no new work.
    pub leaving: bool,
    /// The incarnation of the engine process: a restarted engine has lost its fence, order, cache and streams.
    pub incarnation: u64,
}

impl EngineReport {
    /// The report of an engine that has just started in the state `state`, without fence or order.
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

    /// The next action towards `target`; `None` when the engine matches it.
    pub fn next_action(&self, target: &EngineTarget) -> Option<OrderAction> {
        let loaded = self.model == target.model && self.version == target.version && self.adapter == target.adapter;
        if !loaded {
            let (model, adapter) = (target.model.clone(), target.adapter.clone());
            return Some(OrderAction::Load { model, version: target.version, adapter });
        }
        (self.role != target.role).then_some(OrderAction::SetRole(target.role))
    }
}

/// Why an engine refuses a fence or an order; the engine is unchanged.
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

/// The outcome of a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub enum OrderReply {
    /// The fence is raised, or the order is accepted and being executed.
    Accepted(EngineReport),
    /// The engine refused; the report contains its state.
    Refused(OrderRefusal, EngineReport),
    /// The engine can't be reached or did not answer in time: the order may have been accepted.
    Unknown,
}

impl OrderReply {
    /// The engine's report, if it answered.
    pub fn report(&self) -> Option<&EngineReport> {
        match self {
            OrderReply::Accepted(report) | OrderReply::Refused(_, report) => Some(report),
            OrderReply::Unknown => None,
        }
    }
}
