//! What goes in and out of the authority over a pool.

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
/// Messages may be lost, doubled and reordered: each states facts that stay true.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AuthorityMessage {
    /// The holder tells a successor its term, ahead of time.
    Announce {
        /// Who holds the authority.
        holder: TermGrant,
        /// The record in which the successor finds its term.
        stored: RecordAt,
    },
    /// A successor knows its term; the holder need not tell it again.
    Acknowledge {
        /// The successor's term.
        term: Term,
    },
    /// The holder has given up its authority in favour of the receiver.
    HandOver {
        /// Who held the authority.
        holder: TermGrant,
        /// The record in which the receiver finds its term.
        stored: RecordAt,
    },
    /// The receiver is no longer the holder: a higher term is in use.
    Superseded {
        /// The term in use.
        term: Term,
    },
}

/// What the caller hands to [`super::PoolAuthority::step`].
///
/// Each action that asks the store or an engine gets exactly one reply, `Unknown` when none came in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityInput {
    /// The nodes that are alive and not leaving, best suited to own the pool first.
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
    /// What an engine said of itself on another occasion.
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

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Ask the store.
    Store(StoreRequest),
    /// Raise an engine's fence.
    RaiseFence {
        /// The engine.
        engine: EngineName,
        /// The term.
        term: Term,
    },
    /// Give an engine an order.
    SendOrder {
        /// The engine.
        engine: EngineName,
        /// The order.
        order: Order,
        /// When the caller reads a later time right before sending, it must not send, and reply `Unknown`.
        send_before: Timestamp,
    },
    /// Ask an engine for its report.
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

/// What has happened to the authority, for those who act under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// The authority is gained; orders carry the term.
    Gained {
        /// The term.
        term: Term,
        /// When the first order may go out.
        orders_from: Timestamp,
    },
    /// The authority is lost, or in doubt after a pause.
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

/// The part that a node plays in the authority over a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityRole {
    /// It does not seek the authority.
    Follower,
    /// It seeks the authority: it has asked for a term, or is raising fences.
    Candidate,
    /// It holds the authority.
    Holder,
}

/// An engine at which the holder has raised its fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedEngine {
    /// The engine.
    pub engine: EngineName,
    /// The life of its process; a restarted engine has lost the fence.
    pub incarnation: u64,
}

/// The authority over a pool as this node publishes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorityStatus {
    /// The pool.
    pub pool: PoolId,
    /// This node's part.
    pub role: AuthorityRole,
    /// The term under which this node acts or raises fences.
    pub term: Option<Term>,
    /// Engines at which the fence is raised.
    pub fenced: Vec<FencedEngine>,
    /// Engines that could not be reached yet, or have restarted: they get no order, and are tried again.
    pub unfenced: Vec<EngineName>,
    /// Whether orders may go out: this node is the holder, is ranked first, and most engines have confirmed its term.
    pub may_order: bool,
    /// Whether the store shows this node as holder; false while the store is down.
    pub stored: bool,
    /// Successors that know their terms.
    pub prepared_successors: Vec<Member>,
    /// The highest term that is known to be in use by another process.
    pub highest_foreign_term: Term,
    /// What was asked of the store.
    pub store: StoreCounters,
}
