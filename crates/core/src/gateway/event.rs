//! What goes into a [`super::GatewayRequest`] and what comes out of it.

use std::time::Duration;

use crate::dispatch::Revocation;
use crate::membership::Member;
use crate::request::AnswerPiece;
use crate::verdict::Verdict;
use crate::world::PoolId;

/// Counts the dispatchers that one request is sent to, from 1. What an earlier attempt still sends is told by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Where a request may be sent: one hop, since a dispatcher never forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The pool that is to serve the request.
    pub pool: PoolId,
    /// The node that dispatches for it; this node itself is called without a connection.
    pub dispatcher: Member,
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEvent {
    /// No byte of the request has left: the dispatcher can't be reached.
    NotSent {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A piece of the answer has come.
    Piece {
        /// The attempt that it belongs to.
        attempt: AttemptNumber,
        /// The piece.
        piece: AnswerPiece,
    },
    /// The dispatcher has told how the request ended.
    Ended {
        /// The attempt.
        attempt: AttemptNumber,
        /// The dispatcher's verdict.
        verdict: Verdict,
    },
    /// The connection failed after bytes may have left, or nothing was heard for too long.
    Lost {
        /// The attempt.
        attempt: AttemptNumber,
        /// The process that the request was sent to, as it introduced itself.
        peer: Member,
    },
    /// The answer to a revocation has come.
    Revoked {
        /// The attempt that was revoked.
        attempt: AttemptNumber,
        /// The process that answered, as it introduced itself.
        from: Member,
        /// What it found.
        revocation: Revocation,
    },
    /// The revocation failed.
    RevocationLost {
        /// The attempt that was to be revoked.
        attempt: AttemptNumber,
    },
    /// The caller has hung up.
    CallerGone,
}

/// What the caller of the machine must do.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAction {
    /// Send the request to a dispatcher.
    Forward {
        /// Identifies the attempt in its events.
        attempt: AttemptNumber,
        /// Where to send it.
        target: Target,
        /// Tokens of the answer that the caller already has.
        resume_from: u32,
        /// Time left until the deadline.
        time_left: Duration,
    },
    /// Ask the process that the attempt was sent to, and no later one at its address, to withdraw the request.
    Revoke {
        /// The attempt.
        attempt: AttemptNumber,
        /// The process.
        peer: Member,
    },
    /// Pass a piece of the answer on to the caller.
    Deliver(AnswerPiece),
    /// Give the caller the final verdict, at once. Nothing follows.
    Finish(Verdict),
}
