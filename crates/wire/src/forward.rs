//! Messages that carry requests from the gateway to the dispatching node, and the answers back.

pub use havengate_core::gateway::PoolLoad;
use havengate_core::request::{AnswerPiece, RequestId, RequestProfile};
use havengate_core::verdict::Verdict;
use havengate_core::world::PoolId;
use speedy::{Readable, Writable};

/// A message from the gateway to the dispatching node.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
#[allow(clippy::large_enum_variant, reason = "nearly every message is the large variant")]
pub enum ForwardRequest {
    /// Dispatch this request.
    Submit {
        /// The pool that the gateway chose.
        pool: PoolId,
        /// The parameters of the request.
        profile: RequestProfile,
        /// The prompt's text.
        prompt: String,
        /// Tokens of the answer that the caller already has from an interrupted earlier attempt.
        resume_from: u32,
    },
    /// Revoke this request, whether it has arrived or not.
    Revoke {
        /// The request.
        request: RequestId,
    },
}

/// A message from the dispatching node to the gateway.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ForwardReply {
    /// A piece of the answer.
    Piece(AnswerPiece),
    /// The request has ended; no more pieces follow.
    Ended {
        /// The request.
        request: RequestId,
        /// Its verdict.
        verdict: Verdict,
        /// The pool's load, for the gateway's next choice.
        load: PoolLoad,
    },
    /// The answer to a revocation.
    Revoked {
        /// The request.
        request: RequestId,
        /// What the revocation found.
        outcome: RevocationOutcome,
    },
}

/// What a revocation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum RevocationOutcome {
    /// The request has not started and never will here, even if it arrives later.
    BeforeStart,
    /// The request may have started; if it runs, it is being cancelled.
    MayHaveStarted,
}
