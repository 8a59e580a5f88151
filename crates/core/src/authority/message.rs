//! Inputs, actions, events and messages of the authority over a pool.

use speedy::{Readable, Writable};

use super::order::{EngineReport, Order, OrderReply, Term};
use super::record::{RecordAt, TermGrant};
use super::record_store::StoreCounters;
use crate::membership::Member;
use crate::store::{StoreReply, StoreRequest};
use crate::time::Timestamp;
use crate::world::{EngineName, PoolId};

/// A message between two nodes about one pool; the sender wraps it with the pool's identity.
///
/// Messages may be lost, duplicated and reordered: each states facts that remain true.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AuthorityMessage {
    /// The holder announces a successor's term to it, in advance.
    Announce {
        /// The holder of the authority.
        holder: TermGrant,
        /// The record that contains the successor's term.
        stored: RecordAt,
    },
    /// A successor knows its term; the holder stops announcing it.
    Acknowledge {
        /// The successor's term.
        term: Term,
    },
    /// The holder has handed its authority over to the receiver.
    HandOver {
        /// The previous holder of the authority.
        holder: TermGrant,
        /// The record that contains the receiver's term.
        stored: RecordAt,
    },
    /// The receiver is no longer the holder: a higher term is in use.
    Superseded {
        /// The term in use.
        term: Term,
    },
}

/// An input to [`super::PoolAuthority::step`].
///
/// Each call to the store or an engine gets exactly one reply, which is `Unknown` after a timeout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityInput {
    /// The nodes that are alive and not leaving, in order of preference as owner of the pool.
    OwnerRanking(Vec<Member>),
    /// The engines of the pool.
    Engines(Vec<EngineName>),
    /// The reply to [`AuthorityAction::Store`].
    StoreReply(StoreReply),
    /// The reply to [`AuthorityAction::RaiseFence`].
    FenceReply {
        /// The engine.
        engine: EngineName,
        /// Its reply.
        reply: OrderReply,
    },
    /// The reply to [`AuthorityAction::SendOrder`] or [`AuthorityAction::QueryEngine`].
    EngineReply {
        /// The engine.
        engine: EngineName,
        /// Its reply.
        reply: OrderReply,
    },
    /// An engine's report that is no reply to a call of the authority.
    EngineReport {
        /// The engine.
        engine: EngineName,
        /// Its report.
        report: EngineReport,
    },
    /// A peer's message about this pool.
    PeerMessage {
        /// The sender.
        from: Member,
        /// The message.
        message: AuthorityMessage,
    },
}

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Send a request to the store.
    Store(StoreRequest),
    /// Raise an engine's fence.
    RaiseFence {
        /// The engine.
        engine: EngineName,
        /// The term.
        term: Term,
    },
    /// Send an order to an engine.
    SendOrder {
        /// The engine.
        engine: EngineName,
        /// The order.
        order: Order,
        /// If the clock is past this time right before sending, the caller must not send the order, and must reply
        /// `Unknown`.
        send_before: Timestamp,
    },
    /// Query an engine for its report.
    QueryEngine {
        /// The engine.
        engine: EngineName,
    },
    /// Send a message to a peer.
    SendPeer {
        /// The receiver.
        to: Member,
        /// The message.
        message: AuthorityMessage,
    },
}

/// A change of the authority, for the components that act under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// The authority is gained; orders carry the term.
    Gained {
        /// The term.
        term: Term,
        /// When the first order may be sent.
        orders_from: Timestamp,
    },
    /// The authority is lost, or has to be confirmed after a pause.
    Lost,
    /// An engine's fence is raised and this is its report.
    EngineFenced {
        /// The engine.
        engine: EngineName,
        /// The term of the fence.
        term: Term,
        /// The engine's report.
        report: EngineReport,
    },
    /// An engine has restarted without a fence.
    EngineUnfenced {
        /// The engine.
        engine: EngineName,
    },
}

/// A node's role in the authority over a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityRole {
    /// It does not try to acquire the authority.
    Follower,
    /// It is acquiring the authority: it has requested a term, or is raising fences.
    Candidate,
    /// It holds the authority.
    Holder,
}

/// An engine at which the holder has raised its fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedEngine {
    /// The engine.
    pub engine: EngineName,
    /// The incarnation of its process; a restarted engine has lost the fence.
    pub incarnation: u64,
}

/// The authority over a pool as this node publishes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorityStatus {
    /// The pool.
    pub pool: PoolId,
    /// This node's role.
    pub role: AuthorityRole,
    /// The term under which this node acts or raises fences.
    pub term: Option<Term>,
    /// Engines at which the fence is raised.
    pub fenced: Vec<FencedEngine>,
    /// Engines that could not be reached yet, or have restarted: they get no order, and fencing is attempted again.
    pub unfenced: Vec<EngineName>,
    /// Whether orders may be sent: this node is the holder, is ranked first, and most engines have confirmed its term.
    pub may_order: bool,
    /// Whether the last known stored record names this node as holder; false while it couldn't be written because the
    /// store is down.
    pub stored: bool,
    /// Successors that know their terms.
    pub prepared_successors: Vec<Member>,
    /// The highest term known to be in use by another process.
    pub highest_foreign_term: Term,
    /// Counters of the requests to the store.
    pub store: StoreCounters,
}
