//! What goes in and out of a node's control.

use speedy::{Readable, Writable};

use crate::authority::{AuthorityMessage, CompletedChange, Order, OrderReply, PoolObservation, Term};
use crate::configuration::{ConfigurationMessage, ConfigurationRecord, StoreToken};
use crate::membership::{Member, MembershipMessage};
use crate::store::{StoreReply, StoreRequest};
use crate::time::Timestamp;
use crate::world::{Address, EngineName, PoolId};

/// A message between the controls of two nodes, other than those of the failure detector.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ControlMessage {
    /// Between two replicas of the configuration.
    Configuration(ConfigurationMessage),
    /// About the authority over a pool.
    Authority {
        /// The pool.
        pool: PoolId,
        /// The message.
        message: AuthorityMessage,
    },
}

/// Which part of control asked the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCaller {
    /// The configuration's replica.
    Configuration(StoreToken),
    /// The authority over a pool.
    Pool(PoolId),
}

/// What the caller hands to control.
#[derive(Clone, Debug)]
pub enum ControlInput {
    /// A message of a failure detector has come.
    Datagram {
        /// Where it came from.
        from: Address,
        /// The message.
        message: MembershipMessage,
    },
    /// A message of another node's control has come.
    Peer {
        /// The sender's present life, as it introduced itself.
        from: Member,
        /// The message.
        message: ControlMessage,
    },
    /// The reply to [`ControlAction::Store`].
    StoreReply {
        /// Who asked.
        caller: StoreCaller,
        /// The reply.
        reply: StoreReply,
    },
    /// The reply to [`ControlAction::RaiseFence`].
    FenceReply {
        /// The engine's pool.
        pool: PoolId,
        /// The engine.
        engine: EngineName,
        /// The reply.
        reply: OrderReply,
    },
    /// The reply to [`ControlAction::SendOrder`] or [`ControlAction::QueryEngine`].
    EngineReply {
        /// The engine's pool.
        pool: PoolId,
        /// The engine.
        engine: EngineName,
        /// The reply.
        reply: OrderReply,
    },
    /// The work on a pool that this node dispatches for.
    Observation {
        /// The pool.
        pool: PoolId,
        /// The work.
        observation: PoolObservation,
    },
    /// Machines that the platform's list shows as leaving.
    MachinesLeaving(Vec<Address>),
    /// The store's record of the configuration, as an operator's confirmation left it.
    Recorded(ConfigurationRecord),
    /// This node is about to stop.
    Leave,
}

/// A change of an engine that this node has ordered and that was verified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolChange {
    /// The engine's pool.
    pub pool: PoolId,
    /// The change.
    pub change: CompletedChange,
}

/// What the caller must do.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a message to a failure detector, in one datagram.
    SendDatagram {
        /// The receiver.
        to: Address,
        /// The message.
        message: MembershipMessage,
    },
    /// Send a message to another node's control.
    SendPeer {
        /// The receiver.
        to: Member,
        /// The message.
        message: ControlMessage,
    },
    /// Ask the store.
    Store {
        /// Who asks; to be returned with the reply.
        caller: StoreCaller,
        /// The request.
        request: StoreRequest,
    },
    /// Raise an engine's fence.
    RaiseFence {
        /// The engine's pool.
        pool: PoolId,
        /// The engine.
        engine: EngineName,
        /// Where the engine listens.
        address: Address,
        /// The term.
        term: Term,
    },
    /// Give an engine an order.
    SendOrder {
        /// The engine's pool.
        pool: PoolId,
        /// The engine.
        engine: EngineName,
        /// Where the engine listens.
        address: Address,
        /// The order.
        order: Order,
        /// When the caller reads a later time right before sending, it must not send, and reply `Unknown`.
        send_before: Timestamp,
    },
    /// Ask an engine for its report.
    QueryEngine {
        /// The engine's pool.
        pool: PoolId,
        /// The engine.
        engine: EngineName,
        /// Where the engine listens.
        address: Address,
    },
}
