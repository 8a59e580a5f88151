//! What goes into a dispatcher and what comes out of it.

use std::time::Duration;

use crate::request::{BlockHash, RequestId};
use crate::verdict::{MayHaveRun, Verdict};
use crate::world::{EngineName, EnginePerformance, EngineRole};

/// Whether an engine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineAvailability {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new, before a role change, a load or its leaving.
    Draining,
    /// It can't serve: it is changing its role, loading, or lost.
    Unavailable,
}

/// An engine of the pool, as control hands it to the dispatcher.
#[derive(Clone, Debug)]
pub struct EngineSlot {
    /// The engine.
    pub name: EngineName,
    /// Its role.
    pub role: EngineRole,
    /// Whether it takes new work.
    pub availability: EngineAvailability,
    /// One-way latency from the dispatcher.
    pub link_latency: Duration,
    /// What the engine can do.
    pub performance: EnginePerformance,
}

/// The engines that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine that reads the prompt, when it is another than `decode`; the KV cache then moves by handle.
    pub prefill: Option<EngineName>,
    /// The engine that generates the answer.
    pub decode: EngineName,
}

impl Placement {
    /// The engines of the placement, the one that reads the prompt first.
    pub fn engines(&self) -> impl Iterator<Item = &EngineName> {
        self.prefill.iter().chain([&self.decode])
    }
}

/// How one attempt at a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Completed,
    /// The engine refused the request, or it was never sent.
    NotRun,
    /// The request was sent and its answer is cut or lost.
    MayHaveRun(MayHaveRun),
}

/// An engine's load as the engine reports it, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// How old the figures are.
    pub age: Duration,
    /// Requests that run or wait there, whoever sent them.
    pub requests: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_prefill_tokens: u32,
    /// Tokens of KV cache held by running requests.
    pub used_kv_tokens: u32,
}

/// What an engine did.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The prompt has been read by the prefill engine of a split placement; its KV cache is about to move.
    PrefillDone {
        /// The request.
        request: RequestId,
    },
    /// The prompt has been read and the first token was generated.
    FirstToken {
        /// The request.
        request: RequestId,
    },
    /// Tokens of the answer were passed on to the caller. Only these count as delivered: `FirstToken` carries none.
    Progress {
        /// The request.
        request: RequestId,
        /// Tokens since the last `Progress` of the request.
        tokens: u32,
    },
    /// The attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The engine reports its load as it was a while ago.
    Load {
        /// The engine.
        engine: EngineName,
        /// What it reports.
        load: ReportedLoad,
    },
    /// The engine reports that it has cached these prefixes.
    CacheStored {
        /// The engine.
        engine: EngineName,
        /// Prefixes, by the hash of their last block.
        blocks: Vec<BlockHash>,
    },
    /// The engine reports that it has dropped these prefixes.
    CacheRemoved {
        /// The engine.
        engine: EngineName,
        /// Prefixes, by the hash of their last block.
        blocks: Vec<BlockHash>,
    },
    /// Cache events of the engine were lost: what is believed to be cached there is no longer known.
    CacheGap {
        /// The engine.
        engine: EngineName,
    },
}

/// What the caller of the dispatcher must do.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Run the request on the engines of the placement.
    Start {
        /// The request.
        request: RequestId,
        /// Where it runs.
        placement: Placement,
        /// Counts the attempts at the request, from 1.
        attempt: u32,
        /// Tokens of the answer that the caller already has from an earlier attempt; generation goes on after them.
        resume_from: u32,
    },
    /// Tell the gateway how the request ended; the dispatcher has forgotten it.
    End {
        /// The request.
        request: RequestId,
        /// Its final verdict.
        verdict: Verdict,
    },
    /// Cancel the request at an engine; one [`EngineEvent::Ended`] for the request still has to follow.
    Cancel {
        /// The request.
        request: RequestId,
        /// The engine that has the request, or a part of it.
        engine: EngineName,
    },
}

/// The answer to a revocation.
///
/// It is an answer about this dispatcher's life only: the caller must know that the dispatcher is the one, in the same
/// life, to which it sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Revocation {
    /// The request has not started and never will, even if it arrives later.
    BeforeStart,
    /// The request had started, or has ended after its start; if it still runs, it is being cancelled.
    AfterStart,
    /// The dispatcher doesn't know the request and has no room to remember that it must not start: it may run.
    Unknown,
}
