//! Inputs and outputs of a dispatcher.

use std::time::Duration;

use crate::request::{BlockHash, RequestId};
use crate::verdict::{MayHaveRun, Verdict};
use crate::world::{EngineName, EnginePerformance, EngineRole};

/// Whether an engine accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineAvailability {
    /// The engine accepts new work.
    Serving,
    /// The engine finishes its requests and accepts no new ones, before a role change, a model load or its removal.
    Draining,
    /// The engine can't serve: it is changing its role, loading a model, or lost.
    Unavailable,
}

/// An engine of the pool, as pool control describes it to the dispatcher.
#[derive(Clone, Debug)]
pub struct EngineSlot {
    /// The engine.
    pub name: EngineName,
    /// The engine's role.
    pub role: EngineRole,
    /// Whether it accepts new work.
    pub availability: EngineAvailability,
    /// One-way latency from the dispatcher.
    pub link_latency: Duration,
    /// The engine's performance.
    pub performance: EnginePerformance,
}

/// The engines that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine that prefills the prompt, if it is another than `decode`; the KV cache is then moved by handle.
    pub prefill: Option<EngineName>,
    /// The engine that generates the answer.
    pub decode: EngineName,
}

impl Placement {
    /// The engines of the placement, with the one that prefills the prompt first.
    pub fn engines(&self) -> impl Iterator<Item = &EngineName> {
        self.prefill.iter().chain([&self.decode])
    }
}

/// How one attempt at a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer is complete.
    Completed,
    /// The engine refused the request, or the request was never sent.
    NotRun,
    /// The request was sent and its answer is truncated or lost.
    MayHaveRun(MayHaveRun),
}

/// An engine's load as the engine reports it, with a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// How old the figures are.
    pub age: Duration,
    /// Requests that run or wait there, from all senders.
    pub requests: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u32,
    /// Tokens of KV cache held by running requests.
    pub used_kv_tokens: u32,
}

/// An event at an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The prefill engine of a split placement has finished the prompt; its KV cache is about to move.
    PrefillDone {
        /// The request.
        request: RequestId,
    },
    /// Prefill is done and the first token was generated.
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
    /// The engine reports a past load; [`ReportedLoad::age`] says how old it is.
    Load {
        /// The engine.
        engine: EngineName,
        /// The reported load.
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
    /// Cache events of the engine were lost, so the estimate of its cached prefixes is no longer valid.
    CacheGap {
        /// The engine.
        engine: EngineName,
    },
}

/// An action that the owner of the dispatcher must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Run the request on the engines of the placement.
    Start {
        /// The request.
        request: RequestId,
        /// The engines that run it.
        placement: Placement,
        /// The number of this attempt at the request, from 1.
        attempt: u32,
        /// Tokens of the answer that the caller already has from an earlier attempt; generation resumes after them.
        resume_from: u32,
    },
    /// Report to the gateway how the request ended; the dispatcher has closed it.
    End {
        /// The request.
        request: RequestId,
        /// Its final verdict.
        verdict: Verdict,
    },
    /// Cancel the request at an engine; one [`EngineEvent::Ended`] for the request must still follow.
    Cancel {
        /// The request.
        request: RequestId,
        /// The engine that runs the request or a stage of it.
        engine: EngineName,
    },
}

/// The answer to a revocation.
///
/// It is valid for this incarnation of the dispatcher only: the caller must know that it sent the request to the same
/// incarnation of the same dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Revocation {
    /// The request has not started and never starts, even if it arrives later.
    BeforeStart,
    /// The request had started, or has ended after its start; if it still runs, it is being cancelled.
    AfterStart,
    /// The dispatcher doesn't know the request and has no room to record that it must not start: it may still run.
    Unknown,
}
