//! Requests as the core represents them: properties and estimated size, without the prompt text.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::world::{ContractName, ModelName, TenantName};

/// Tokens in one block of prompt prefix, the unit in which engines cache and report prefixes.
pub const BLOCK_TOKENS: u32 = 128;

/// Identifies a caller's request on its way from the gateway to the engine and back; unique in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// A key chosen by the caller for a request that must run at most once; unique within a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The tenant that the key belongs to: equal keys of two tenants are different keys.
    pub tenant: TenantName,
    /// The key as sent by the caller.
    pub key: String,
}

/// The hash of a prompt prefix that ends at a block boundary; equal prefixes have equal hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct BlockHash(pub u64);

impl BlockHash {
    /// The hash of the prefix with the hash `parent` extended by one block with the content `block`.
    pub fn chain(parent: Option<BlockHash>, block: &[u8]) -> BlockHash {
        BlockHash(xxh3_64_with_seed(block, parent.map_or(0, |parent| parent.0)))
    }
}

/// The properties of a request that dispatch uses.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
pub struct RequestProfile {
    /// The request's identity.
    pub id: RequestId,
    /// The tenant that sent the request.
    pub tenant: TenantName,
    /// The contract (class of service) of the request.
    pub contract: ContractName,
    /// The requested model.
    pub model: ModelName,
    /// Tokens in the prompt, estimated by the gateway.
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the answer.
    pub max_output_tokens: u32,
    /// The hashes of the prompt's prefixes at block boundaries, shortest first.
    pub blocks: Vec<BlockHash>,
    /// Set when the request must run at most once.
    pub key: Option<IdempotencyKey>,
    /// The time left until the deadline when the message is sent; a later answer is of no use.
    pub time_left: Duration,
    /// Requests with a higher priority are shed later. It is the contract's priority, which a caller may lower.
    pub priority: u8,
}

/// One piece of an answer that is streamed from the engine to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct AnswerPiece {
    /// The request that the piece answers; a piece of another request is dropped and counted.
    pub request: RequestId,
    /// Tokens of the answer before this piece; used to detect pieces that repeat or skip tokens.
    pub first_token: u32,
    /// Tokens in this piece.
    pub tokens: u32,
    /// The text of the tokens.
    pub text: String,
    /// Set on the last piece only.
    pub finish: Option<FinishReason>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the maximum number of tokens that the request allowed.
    Length,
}
