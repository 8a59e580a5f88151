//! Inputs and outputs of a [`super::GatewayRequest`].

use std::time::Duration;

use crate::dispatch::Revocation;
use crate::membership::Member;
use crate::request::AnswerPiece;
use crate::verdict::Verdict;
use crate::world::PoolId;

/// Numbers the attempts of one request from 1, one for each dispatcher that it is sent to. It identifies late events of
/// an earlier attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// A destination of a request: one hop, since a dispatcher never forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The pool to serve the request.
    pub pool: PoolId,
    /// The node that dispatches for the pool; the local node is called without a connection.
    pub dispatcher: Member,
}

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEvent {
    /// No byte of the request was sent: the dispatcher can't be reached.
    NotSent {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// A piece of the answer has arrived.
    Piece {
        /// The attempt that it belongs to.
        attempt: AttemptNumber,
        /// The piece.
        piece: AnswerPiece,
    },
    /// The dispatcher has reported how the request ended.
    Ended {
        /// The attempt.
        attempt: AttemptNumber,
        /// The dispatcher's verdict.
        verdict: Verdict,
    },
    /// The connection failed after bytes may have been sent, or nothing was received for too long.
    Lost {
        /// The attempt.
        attempt: AttemptNumber,
        /// The process that the request was sent to, as it introduced itself.
        peer: Member,
    },
    /// The answer to a revocation has arrived.
    Revoked {
        /// The attempt that was revoked.
        attempt: AttemptNumber,
        /// The process that answered, as it introduced itself.
        from: Member,
        /// The result of the revocation.
        revocation: Revocation,
    },
    /// The revocation failed.
    RevocationLost {
        /// The attempt whose revocation failed.
        attempt: AttemptNumber,
    },
    /// The caller has disconnected.
    CallerGone,
}

/// An action that the user of the state machine must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAction {
    /// Send the request to a dispatcher.
    Forward {
        /// Identifies the attempt in its events.
        attempt: AttemptNumber,
        /// The destination.
        target: Target,
        /// Number of tokens of the answer that the caller already has.
        resume_from: u32,
        /// Time left until the deadline.
        time_left: Duration,
    },
    /// Ask the process that the attempt was sent to, and no later process at its address, to withdraw the request.
    Revoke {
        /// The attempt.
        attempt: AttemptNumber,
        /// The process.
        peer: Member,
    },
    /// Pass a piece of the answer on to the caller.
    Deliver(AnswerPiece),
    /// Send the caller the final verdict immediately. No action follows it.
    Finish(Verdict),
}
