//! A request as the core sees it: what it asks for and how much work it is, without its text.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::world::{ContractName, ModelName, TenantName};

/// Tokens in one block of prompt prefix, the unit in which engines cache and report prefixes.
pub const BLOCK_TOKENS: u32 = 128;

/// Identifies one caller's request from the gateway to the engine and back; unique in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// A caller's name for a request that must run at most once; unique within a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The tenant that the key belongs to: two tenants' equal keys are different keys.
    pub tenant: TenantName,
    /// The key as the caller wrote it.
    pub key: String,
}

/// The hash of a prompt prefix that ends at a block boundary; equal prefixes have equal hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// The hash of the prefix that `parent` ends, longer by one block with the content `block`.
    pub fn chain(parent: Option<BlockHash>, block: &[u8]) -> BlockHash {
        BlockHash(xxh3_64_with_seed(block, parent.map_or(0, |parent| parent.0)))
    }
}

/// What dispatch needs to know about a request.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
pub struct RequestProfile {
    /// The request's identity.
    pub id: RequestId,
    /// Who asks.
    pub tenant: TenantName,
    /// The class of service.
    pub contract: ContractName,
    /// The model asked for.
    pub model: ModelName,
    /// Tokens in the prompt, as estimated by the gateway.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u32,
    /// The prompt's prefixes at block boundaries, shortest first.
    pub blocks: Vec<BlockHash>,
    /// Present when the request must run at most once.
    pub key: Option<IdempotencyKey>,
    /// Time left, at the moment the message is sent, until an answer is of no use.
    pub time_left: Duration,
    /// Shed later when higher; the contract's priority, which a caller may lower.
    pub priority: u8,
}

/// One piece of an answer, as it passes from engine to caller.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct AnswerPiece {
    /// The request that the piece answers; a piece of another request is dropped and counted.
    pub request: RequestId,
    /// Tokens of the answer before this piece; pieces that repeat or skip tokens are detected by it.
    pub first_token: u32,
    /// Tokens in this piece.
    pub tokens: u32,
    /// The text of the tokens.
    pub text: String,
    /// Set on the last piece only.
    pub finish: Option<FinishReason>,
}

/// Why an answer is at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer has as many tokens as the request allowed.
    Length,
}
