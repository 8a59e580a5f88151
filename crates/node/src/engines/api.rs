//! What the node asks of engines, whatever their dialect.

use displaydoc::Display;
use havengate_core::authority::{EngineReport, Order, OrderReply, Term};
use havengate_core::request::RequestId;
use havengate_core::world::Address;

use super::dialect::{CacheEvents, CancelAnswer, GenerateLine, GenerateRequest, KvHandle, LoadReport};

/// Why a call did not bring an answer, and whether the engine may have acted on it.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum EngineCallError {
    /// the engine did not get the request, or refused it: {0}
    NotRun(String),
    /// the engine may have started the request: {0}
    MayHaveRun(String),
}

/// Why a stream ended before its last line.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// the connection ended in the middle of the answer: {0}
    Cut(String),
    /// a line is no part of the engines' dialect: {0}
    Malformed(String),
}

/// The lines of an answer, as the engine generates them.
pub trait GenerateStream: Send {
    /// The next line. Blocks until it comes; not to be called again after the line with `finish`.
    ///
    /// # Errors
    /// When the stream ends without its last line.
    fn next_line(&mut self) -> Result<GenerateLine, StreamError>;
}

/// The calls that the node makes to engines. All of them block, within time limits.
pub trait EngineApi: Send + Sync {
    /// Starts a request and returns its stream once the engine has accepted it.
    ///
    /// # Errors
    /// Says whether the engine may have started the request.
    fn generate(&self, engine: Address, request: &GenerateRequest) -> Result<Box<dyn GenerateStream>, EngineCallError>;

    /// Reads a prompt and returns the handle of its KV cache.
    ///
    /// # Errors
    /// Says whether the engine may have started the request.
    fn prefill(&self, engine: Address, request: &GenerateRequest) -> Result<KvHandle, EngineCallError>;

    /// Cancels a request, or makes sure that it never starts. `None` when the engine did not answer.
    fn cancel(&self, engine: Address, request: RequestId) -> Option<CancelAnswer>;

    /// What the engine holds. `None` when it did not answer.
    fn state(&self, engine: Address) -> Option<EngineReport>;

    /// Raises the engine's fence to `term`.
    fn raise_fence(&self, engine: Address, term: Term) -> OrderReply;

    /// Gives the engine an order.
    fn order(&self, engine: Address, order: &Order) -> OrderReply;

    /// The engine's load. `None` when it did not answer.
    fn load(&self, engine: Address) -> Option<LoadReport>;

    /// The engine's cache events after number `after`. `None` when it did not answer.
    fn cache_events(&self, engine: Address, after: u64) -> Option<CacheEvents>;
}
