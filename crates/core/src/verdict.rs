//! The verdict on a request when it ends: it completed, did not run, or may have run.

use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

/// How a request ended. A request that must not be repeated may be retried only after [`Verdict::NotRun`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub enum Verdict {
    /// The complete answer reached the caller.
    Completed,
    /// No engine has started the request, and none will start it.
    NotRun(NotRun),
    /// An engine may have started the request; its answer is lost or incomplete.
    MayHaveRun(MayHaveRun),
}

impl Verdict {
    /// The stable code for the verdict in headers, bodies, logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Verdict::Completed => "completed",
            Verdict::NotRun(_) => "not_run",
            Verdict::MayHaveRun(_) => "may_have_run",
        }
    }
}

/// A refusal: the request is known not to have run.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct NotRun {
    /// Why the request was refused.
    pub reason: NotRunReason,
    /// The time after which a retry may succeed; `None` when no advice is given.
    pub retry_after: Option<Duration>,
}

impl NotRun {
    /// A refusal without advice on when to retry.
    pub fn new(reason: NotRunReason) -> Self {
        NotRun { reason, retry_after: None }
    }

    /// A refusal that advises the caller when to retry.
    pub fn retry_after(reason: NotRunReason, retry_after: Duration) -> Self {
        NotRun { reason, retry_after: Some(retry_after) }
    }
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// the request is malformed or exceeds a size limit
    InvalidRequest,
    /// the bearer key belongs to no tenant
    UnknownTenant,
    /// no engine serves the model
    UnknownModel,
    /// the tenant's limit is used up
    TenantLimit,
    /// the queue is full
    QueueFull,
    /// the deadline can't be met
    DeadlineUnreachable,
    /// the deadline passed before the request was started
    DeadlinePassed,
    /// the node is leaving
    NodeLeaving,
    /// the node can't tell whether its peers still count on it
    NodeSuspended,
    /// no engine can take the request now
    NoEngine,
    /// the request was revoked before it was started
    Revoked,
    /// the node that dispatches for the model can't be reached
    DispatcherUnreachable,
    /// the node does not dispatch for the pool, or no longer does
    NotOwner,
    /// a request with the same idempotency key is in progress
    KeyInProgress,
    /// the idempotency key can't be claimed at a majority of its holders
    KeyUnclaimable,
    /// the caller hung up before the request was started
    CallerGone,
    /// too many requests are repeated already
    RetryBudgetSpent,
    /// the engines that ran the request so far have ended under it
    EndsEngines,
    /// all back ends that could take the request have asked for rest, or are at their limit
    BackEndsRest,
    /// it is not known which software version began the stream
    StreamOriginUnknown,
    /// no back end of the software version that began the stream takes requests
    StreamOriginGone,
    /// the node has no memory left for the bodies of requests
    MemoryFull,
}

impl NotRunReason {
    /// The stable code for bodies, logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            NotRunReason::InvalidRequest => "invalid_request",
            NotRunReason::UnknownTenant => "unknown_tenant",
            NotRunReason::UnknownModel => "unknown_model",
            NotRunReason::TenantLimit => "tenant_limit",
            NotRunReason::QueueFull => "queue_full",
            NotRunReason::DeadlineUnreachable => "deadline_unreachable",
            NotRunReason::DeadlinePassed => "deadline_passed",
            NotRunReason::NodeLeaving => "node_leaving",
            NotRunReason::NodeSuspended => "node_suspended",
            NotRunReason::NoEngine => "no_engine",
            NotRunReason::Revoked => "revoked",
            NotRunReason::DispatcherUnreachable => "dispatcher_unreachable",
            NotRunReason::NotOwner => "not_owner",
            NotRunReason::KeyInProgress => "key_in_progress",
            NotRunReason::KeyUnclaimable => "key_unclaimable",
            NotRunReason::CallerGone => "caller_gone",
            NotRunReason::RetryBudgetSpent => "retry_budget_spent",
            NotRunReason::EndsEngines => "ends_engines",
            NotRunReason::BackEndsRest => "back_ends_rest",
            NotRunReason::StreamOriginUnknown => "stream_origin_unknown",
            NotRunReason::StreamOriginGone => "stream_origin_gone",
            NotRunReason::MemoryFull => "memory_full",
        }
    }

    /// Whether another engine or dispatcher may accept the request; the other reasons concern the request itself.
    pub fn worth_another_try(self) -> bool {
        matches!(
            self,
            NotRunReason::QueueFull
                | NotRunReason::NodeLeaving
                | NotRunReason::NodeSuspended
                | NotRunReason::NoEngine
                | NotRunReason::DispatcherUnreachable
                | NotRunReason::NotOwner
                | NotRunReason::RetryBudgetSpent
                | NotRunReason::BackEndsRest
                | NotRunReason::MemoryFull
        )
    }
}

/// Why it is unknown whether a request ran to completion.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MayHaveRun {
    /// the engine's stream ended before the answer was whole
    AnswerCut,
    /// the engine failed after the request was sent to it
    EngineFailed,
    /// the dispatching node was lost after the request was sent to it
    DispatcherLost,
    /// the deadline passed while the request was running
    DeadlinePassed,
    /// the caller hung up while the request was running
    CallerGone,
    /// an earlier request with the same idempotency key may have run
    KeyUsed,
    /// an engine failed, and too many requests are repeated already to send it again
    RetryBudgetSpent,
    /// the engines that ran the request have ended under it
    EndsEngines,
    /// the node stopped while the request was running
    NodeStopping,
}

impl MayHaveRun {
    /// The stable code for bodies, logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            MayHaveRun::AnswerCut => "answer_cut",
            MayHaveRun::EngineFailed => "engine_failed",
            MayHaveRun::DispatcherLost => "dispatcher_lost",
            MayHaveRun::DeadlinePassed => "deadline_passed",
            MayHaveRun::CallerGone => "caller_gone",
            MayHaveRun::KeyUsed => "key_used",
            MayHaveRun::RetryBudgetSpent => "retry_budget_spent",
            MayHaveRun::EndsEngines => "ends_engines",
            MayHaveRun::NodeStopping => "node_stopping",
        }
    }
}
