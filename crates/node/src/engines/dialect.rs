//! The engines' HTTP dialect, as typed bodies. The stand-in engine of the rehearsal speaks the same.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/generate` | [`GenerateRequest`] | 200 and lines of JSON, each a [`GenerateLine`], or 409 [`EngineRefusal`] |
//! | `POST /v1/prefill` | [`GenerateRequest`] | 200 [`PrefillAnswer`], or 409 [`EngineRefusal`] |
//! | `POST /v1/cancel` | [`CancelRequest`] | 200 [`CancelAnswer`] |
//! | `GET /v1/state` | | 200 [`havengate_core::authority::EngineReport`] |
//! | `POST /v1/fence` | [`FenceRequest`] | 200 [`OrderAnswer`] or 409 [`OrderAnswer`] |
//! | `POST /v1/orders` | [`havengate_core::authority::Order`] | 200 [`OrderAnswer`] or 409 [`OrderAnswer`] |
//! | `GET /v1/load` | | 200 [`LoadReport`] |
//! | `GET /v1/cache-events?after=N` | | 200 [`CacheEvents`] |

use havengate_core::authority::{EngineReport, OrderRefusal, Term};
use havengate_core::request::{BlockHash, FinishReason};
use serde::{Deserialize, Serialize};

/// Asks an engine to run a request, or its prompt only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The request, as 32 hexadecimal digits.
    pub request: String,
    /// The model.
    pub model: String,
    /// The whole prompt.
    pub prompt: String,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// Runs earlier when higher.
    pub priority: u8,
    /// Tokens of the answer that the caller already has: generation goes on after them.
    #[serde(default)]
    pub resume_from: u32,
    /// The prompt's KV cache on another engine, to be imported instead of reading the prompt.
    #[serde(default)]
    pub import: Option<KvHandle>,
}

/// One line of an engine's stream. The last has `finish`; a stream that ends without it is cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateLine {
    /// The request that the line answers.
    pub request: String,
    /// Tokens of the answer before this line.
    pub first_token: u32,
    /// Tokens in this line.
    pub tokens: u32,
    /// Their text.
    pub text: String,
    /// Set on the last line.
    #[serde(default)]
    pub finish: Option<FinishReason>,
}

/// A KV cache that an engine exports for another one to import.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// The address of the engine that holds it.
    pub engine: String,
    /// Its identity there.
    pub id: u64,
    /// Prompt tokens that it covers.
    pub tokens: u32,
}

/// The answer to a prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillAnswer {
    /// The request.
    pub request: String,
    /// Where the KV cache is.
    pub handle: KvHandle,
}

/// A refusal by an engine: the request has not run there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// A stable code: `leaving`, `changing`, `wrong_role`, `unknown_model`, `full`, `revoked`, `invalid`, `kv_lost` when
    /// the KV cache to be imported is gone, `duplicate` when another copy of the request waits or runs there: that copy may
    /// run, this one has not.
    pub code: String,
}

/// Cancels a request. An engine that doesn't know the request remembers that it must not start it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request, as 32 hexadecimal digits.
    pub request: String,
}

/// The answer to a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAnswer {
    /// Whether the request had started before it was cancelled, in this life of the engine's process.
    pub started: bool,
    /// How long the engine's process has been alive, in milliseconds, rounded down. An engine that has restarted knows
    /// nothing of what its earlier life started; so `started` counts only for requests that were sent later than this.
    #[serde(default)]
    pub alive_ms: u64,
}

/// Raises an engine's fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The new holder's term.
    pub term: Term,
}

/// The answer to a fence or an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Why the engine refused; `None` when it accepted.
    pub refusal: Option<OrderRefusal>,
    /// What the engine holds now.
    pub report: EngineReport,
}

/// An engine's load, as it was a while ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait to be read.
    pub waiting_prefill_tokens: u32,
    /// Tokens of KV cache in use.
    pub used_kv_tokens: u32,
}

/// Cache events since a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first. Numbers may be missing: events are lost.
    pub events: Vec<CacheEvent>,
    /// The number to ask after next time.
    pub next: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events without gaps; a gap seen by the reader is a loss.
    pub sequence: u64,
    /// Prefixes that are cached from now on.
    pub stored: Vec<BlockHash>,
    /// Prefixes that are no longer cached.
    pub removed: Vec<BlockHash>,
}
