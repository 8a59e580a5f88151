//! Proves that a back end ended an answer on purpose when nothing but the end of the connection marks the answer's end.
//!
//! A back end that terminates closes its connections like one that has sent everything. The proof is that the same
//! process still serves a moment later. Through a tunnel, the end may also be that of the helping peer, so the peer has to
//! confirm that the back end closed the connection, and that it still serves.

use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::time::whole_millis;
use tokio::time::Instant;

use super::pool::{BackEndLiveness, ConnectionPool, Detour};

/// The longest time from the end of an answer to the proof: two attempts to connect, and the delays of a busy node.
/// Later the back end may have started again.
const PROOF_TIME_LIMIT: Duration = Duration::from_secs(1);

/// Whether a back end ended an answer on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// A process accepts connections at the back end's address, and a connection from before the request was sent is open
    /// still: it is the same process.
    KeptConnection,
    /// A process accepts connections at the back end's address.
    NewConnection,
    /// The peer that the answer came through confirms the end.
    ConfirmedByPeer,
    /// The back end has terminated.
    Terminated,
    /// It can't be known.
    Unknown,
}

impl EndProof {
    /// Whether the answer is complete.
    pub fn is_complete(self) -> bool {
        matches!(self, EndProof::KeptConnection | EndProof::NewConnection | EndProof::ConfirmedByPeer)
    }

    /// The name in logs.
    pub fn code(self) -> &'static str {
        match self {
            EndProof::KeptConnection => "kept_connection",
            EndProof::NewConnection => "new_connection",
            EndProof::ConfirmedByPeer => "confirmed_by_peer",
            EndProof::Terminated => "terminated",
            EndProof::Unknown => "unknown",
        }
    }
}

/// Proves the end of one answer.
#[derive(Clone)]
pub struct EndProver {
    pool: ConnectionPool,
    back_end: BackEnd,
    /// The peer that the answer comes through; `None` for a direct connection.
    detour: Option<Detour>,
    /// When the request was sent.
    sent_at: Instant,
    /// The id of the request, for the log.
    request: String,
}

impl EndProver {
    /// Proves the end of the answer of `back_end` to `request`, which was sent at `sent_at`.
    pub fn new(
        pool: ConnectionPool,
        back_end: BackEnd,
        detour: Option<Detour>,
        sent_at: Instant,
        request: String,
    ) -> Self {
        EndProver { pool, back_end, detour, sent_at, request }
    }

    /// Looks for a proof that the answer, which has just ended, is complete.
    pub async fn prove(self) -> EndProof {
        let began = Instant::now();
        let proof = match self.detour {
            Some(detour) if self.pool.confirms_tunnel_end(&self.back_end, detour).await => EndProof::ConfirmedByPeer,
            Some(_) => EndProof::Unknown,
            None => self.pool.prove_life_after_close(&self.back_end, self.sent_at, began).await,
        };
        let EndProver { back_end, request, .. } = &self;
        let (request, took_ms) = (request.as_str(), whole_millis(began.elapsed()));
        log::info!(event = "answer_end_checked", request, back_end:% = back_end.id, proof = proof.code(), took_ms; "");
        proof
    }
}

impl ConnectionPool {
    /// Whether the process of `back_end` that served at `served_at` serves on after it closed a connection at
    /// `closed_at`.
    pub async fn prove_life_after_close(&self, back_end: &BackEnd, served_at: Instant, closed_at: Instant) -> EndProof {
        let (liveness, kept) = self.liveness_after_close(back_end, served_at).await;
        match liveness {
            BackEndLiveness::Alive if kept => EndProof::KeptConnection,
            BackEndLiveness::Alive if self.may_be_replaced(back_end) => EndProof::Unknown,
            BackEndLiveness::Alive if closed_at.elapsed() > PROOF_TIME_LIMIT => EndProof::Unknown,
            BackEndLiveness::Alive => EndProof::NewConnection,
            BackEndLiveness::Terminated => EndProof::Terminated,
            BackEndLiveness::Unknown => EndProof::Unknown,
        }
    }
}
