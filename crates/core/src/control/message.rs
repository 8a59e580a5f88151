//! Inputs and outputs of a node's control plane.

use speedy::{Readable, Writable};

use crate::authority::{AuthorityMessage, CompletedChange, Order, OrderReply, PoolObservation, Term};
use crate::configuration::{ConfigurationMessage, ConfigurationRecord, StoreToken};
use crate::membership::{Member, MembershipMessage};
use crate::store::{StoreReply, StoreRequest};
use crate::time::Timestamp;
use crate::world::{Address, EngineName, PoolId};

/// A message between the control planes of two nodes, other than those of the failure detector.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ControlMessage {
    /// A message between two configuration replicas.
    Configuration(ConfigurationMessage),
    /// A message about the authority over a pool.
    Authority {
        /// The pool.
        pool: PoolId,
        /// The message.
        message: AuthorityMessage,
    },
}

/// The part of the control plane that made a store request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCaller {
    /// The configuration replica.
    Configuration(StoreToken),
    /// The authority over a pool.
    Pool(PoolId),
}

/// Inputs that the caller passes to the control plane.
#[derive(Clone, Debug)]
pub enum ControlInput {
    /// A message of another node's failure detector has been received.
    Datagram {
        /// The sender.
        from: Address,
        /// The message.
        message: MembershipMessage,
    },
    /// A message of another node's control plane has been received.
    Peer {
        /// The sender's current incarnation, as stated in its handshake.
        from: Member,
        /// The message.
        message: ControlMessage,
    },
    /// The reply to [`ControlAction::Store`].
    StoreReply {
        /// The part that made the request.
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
    /// The workload of a pool that this node dispatches for.
    Observation {
        /// The pool.
        pool: PoolId,
        /// The workload.
        observation: PoolObservation,
    },
    /// Machines that the platform's list marks as draining.
    MachinesLeaving(Vec<Address>),
    /// The store's record of the configuration after an operator's confirmation.
    Recorded(ConfigurationRecord),
    /// This node is about to stop and drains.
    Leave,
}

/// A verified change of an engine that this node has ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolChange {
    /// The engine's pool.
    pub pool: PoolId,
    /// The change.
    pub change: CompletedChange,
}

/// Actions that the caller must perform.
#[derive(Clone, Debug)]
pub enum ControlAction {
    /// Send a message to another node's failure detector, in one datagram.
    SendDatagram {
        /// The receiver.
        to: Address,
        /// The message.
        message: MembershipMessage,
    },
    /// Send a message to another node's control plane.
    SendPeer {
        /// The receiver.
        to: Member,
        /// The message.
        message: ControlMessage,
    },
    /// Send a request to the store.
    Store {
        /// The part that makes the request; to be returned with the reply.
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
    /// Send an order to an engine.
    SendOrder {
        /// The engine's pool.
        pool: PoolId,
        /// The engine.
        engine: EngineName,
        /// Where the engine listens.
        address: Address,
        /// The order.
        order: Order,
        /// Deadline: if the time right before sending is later, the caller must not send the order and must reply
        /// `Unknown`.
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
