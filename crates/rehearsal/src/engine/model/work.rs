//! Work that is handed to an engine, and what comes back.

use displaydoc::Display;
use havengate_core::request::{BlockHash, FinishReason, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::world::ModelName;

/// Which part of a request an engine is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// The prompt only: its KV cache is exported under a handle.
    Prefill,
    /// The answer: prompt and generation, or generation alone when the KV cache is imported.
    Generate,
}

/// A KV cache that comes from another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ImportedKv {
    /// Tokens that it covers, from the start of the prompt.
    pub tokens: u32,
}

/// A request as an engine gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateWork {
    /// The request.
    pub request: RequestId,
    /// The model asked for.
    pub model: ModelName,
    /// The part of the work.
    pub kind: WorkKind,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// The prompt's prefixes at block boundaries, shortest first.
    pub blocks: Vec<BlockHash>,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The tokens after which the model ends the answer, from 1 to `max_tokens`. A real engine finds out; the driver of
    /// a model knows, from [`crate::engine::answer_length`] or from its workload.
    pub answer_tokens: u32,
    /// Runs earlier when higher.
    pub priority: u8,
    /// Tokens of the answer that the caller already has: generation goes on after them.
    pub resume_from: u32,
    /// Present when a KV cache is imported instead of being computed.
    pub import: Option<ImportedKv>,
}

impl GenerateWork {
    /// Tokens whose KV cache must exist before the next token is generated.
    pub fn context_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.resume_from)
    }

    /// Tokens of KV cache that the work holds at its longest.
    pub fn longest_tokens(&self) -> u32 {
        match self.kind {
            WorkKind::Prefill => self.context_tokens(),
            WorkKind::Generate => self.prompt_tokens.saturating_add(self.max_tokens),
        }
    }
}

/// Why an engine does not take a request; it has not run there.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum EngineRefusalCode {
    /// the engine is leaving
    Leaving,
    /// the engine is executing an order
    Changing,
    /// the engine's role does not serve this kind of work
    WrongRole,
    /// the engine serves another model
    UnknownModel,
    /// the engine's queue is full
    Full,
    /// the request was cancelled before it started
    Revoked,
    /// the request can never run: it exceeds the KV capacity or contradicts itself
    Invalid,
    /// a request with the same identity waits or runs here; this copy was not started
    Duplicate,
    /// the KV cache to be imported is gone
    KvLost,
    /// the engine is down; on a socket nothing answers
    Down,
}

impl EngineRefusalCode {
    /// The stable code in the engines' dialect.
    pub fn code(self) -> &'static str {
        match self {
            EngineRefusalCode::Leaving => "leaving",
            EngineRefusalCode::Changing => "changing",
            EngineRefusalCode::WrongRole => "wrong_role",
            EngineRefusalCode::UnknownModel => "unknown_model",
            EngineRefusalCode::Full => "full",
            EngineRefusalCode::Revoked => "revoked",
            EngineRefusalCode::Invalid => "invalid",
            EngineRefusalCode::Duplicate => "duplicate",
            EngineRefusalCode::KvLost => "kv_lost",
            EngineRefusalCode::Down => "down",
        }
    }
}

/// Identifies an exported KV cache at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExportId(pub u64);

/// A KV cache that an engine holds for another one to import.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExportedKv {
    /// Its identity at the engine.
    pub id: ExportId,
    /// Tokens that it covers.
    pub tokens: u32,
}

/// What an engine has produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineOutput {
    /// When.
    pub at: Timestamp,
    /// For which request.
    pub request: RequestId,
    /// What.
    pub event: OutputEvent,
}

/// What has happened to a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputEvent {
    /// It has left the queue and runs. From here on it has run.
    Started,
    /// It left the queue without having run.
    Refused(EngineRefusalCode),
    /// A piece of its answer.
    Tokens {
        /// Tokens of the answer before this piece; equal to `resume_from` in the first piece.
        first_token: u32,
        /// Tokens in this piece.
        tokens: u32,
        /// Set on the last piece.
        finish: Option<FinishReason>,
    },
    /// Its prompt has been read and the KV cache is exported.
    PrefillDone(ExportedKv),
    /// It was cancelled while it ran.
    Cancelled,
    /// It was cut off by an order while it ran.
    Cut,
}

impl OutputEvent {
    /// Whether nothing more comes of the request.
    pub fn is_last(&self) -> bool {
        match self {
            OutputEvent::Started | OutputEvent::Tokens { finish: None, .. } => false,
            OutputEvent::Tokens { finish: Some(_), .. }
            | OutputEvent::Refused(_)
            | OutputEvent::PrefillDone(_)
            | OutputEvent::Cancelled
            | OutputEvent::Cut => true,
        }
    }
}

/// The answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The request has not started in this life of the engine, nor will it.
    NotStarted,
    /// The request had started in this life of the engine.
    Started,
}
