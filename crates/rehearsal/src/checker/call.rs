//! What a caller saw of one request.

use std::time::Duration;

use havengate_core::request::{BlockHash, IdempotencyKey, RequestId};
use havengate_core::world::ContractName;

/// What a caller was told about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is whole.
    Completed,
    /// The request has not run and never will; the code says why.
    NotRun(String),
    /// The request may have run; the code says why. A caller whose connection broke must assume this too.
    MayHaveRun(String),
}

/// The idempotency key of a request, and how its runs are known when its identity never reached the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedPrompt {
    /// The key.
    pub key: IdempotencyKey,
    /// The hash of the first block of the prompt. All requests with the key have the same prompt and no others have it.
    pub first_block: Option<BlockHash>,
}

/// One request of a caller and what came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRecord {
    /// Counts the requests of the run.
    pub number: u64,
    /// The request's identity, when the caller was told it.
    pub request: Option<RequestId>,
    /// Present when the request must run at most once.
    pub keyed: Option<KeyedPrompt>,
    /// Whether it repeats an earlier request with its key on purpose.
    pub is_repeat: bool,
    /// The class of service.
    pub contract: ContractName,
    /// When it was sent, since the start of the run.
    pub sent_at: Duration,
    /// When its outcome was known, since the start of the run.
    pub ended_at: Duration,
    /// Time to the first token; only streams tell.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens; only streams tell.
    pub token_interval: Option<Duration>,
    /// The answer's text, as far as it came.
    pub text: String,
    /// Tokens of the whole answer.
    pub answer_tokens: u32,
    /// Whether the node said that the answer is that of an earlier request with the same key.
    pub is_replayed: bool,
    /// What the caller was told.
    pub outcome: Outcome,
}

impl CallRecord {
    /// The code of a refusal or failure.
    pub fn reason(&self) -> Option<&str> {
        match &self.outcome {
            Outcome::Completed => None,
            Outcome::NotRun(code) | Outcome::MayHaveRun(code) => Some(code),
        }
    }
}
