//! Interface between the callers' API and the rest of the node.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use havengate_core::request::{AnswerPiece, RequestProfile};
use havengate_core::verdict::Verdict;
use serde::{Deserialize, Serialize};

use super::directory::CallerDirectory;
use crate::http_server::{HangUp, HungUp};

/// A validated caller request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Attributes used for dispatch.
    pub profile: RequestProfile,
    /// The full prompt.
    pub prompt: String,
}

/// Receives the pieces of one answer and passes them to the caller.
pub trait AnswerSink {
    /// Marks the answer as replayed from an earlier request with the same idempotency key. Must be called before the
    /// first piece.
    fn replayed(&mut self);

    /// Passes one piece to the caller; blocks while the caller reads too slowly.
    ///
    /// A piece that belongs to another request, or that repeats or skips tokens, is dropped and counted without an
    /// error. The answer is then reported as cut unless the missing piece still arrives.
    ///
    /// # Errors
    /// When the caller has disconnected.
    fn piece(&mut self, piece: AnswerPiece) -> Result<(), HungUp>;
}

/// Runs callers' requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Runs a request to its end on the calling thread, which serves only this request, and returns the outcome.
    ///
    /// Pieces are passed to `answer` as they arrive. `hang_up` is set as soon as the caller disconnects;
    /// [`HangUp::over`] returns a channel that can be selected on with others. [`Verdict::Completed`] is reported to
    /// the caller only if `answer` has accepted every piece up to the last one.
    fn submit(&self, request: CallerRequest, answer: &mut dyn AnswerSink, hang_up: &HangUp) -> Verdict;

    /// Returns the models, tenants and contracts of the configuration in force.
    fn directory(&self) -> Arc<CallerDirectory>;

    /// Returns whether the node accepts requests.
    fn readiness(&self) -> Readiness;
}

/// Whether a node accepts requests, and if not, why.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// the node takes requests
    Ready,
    /// the node has no configuration yet
    Starting,
    /// the node can't tell whether its peers still count on it
    Suspended,
    /// the node is leaving
    Leaving,
}

/// Limits and defaults for caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Output token limit of a request that sets none.
    pub output_tokens_default: u32,
    /// Highest output token limit that a request may set. Bounded because output tokens are reserved in an engine's KV
    /// cache.
    pub output_tokens_maximum: u32,
    /// Deadline for the complete answer of a request that sets none.
    pub deadline_default: Duration,
    /// Longest deadline that a request may set; it bounds the duration of a planned shutdown.
    pub deadline_maximum: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            output_tokens_default: 256,
            output_tokens_maximum: 16_384,
            deadline_default: Duration::from_secs(60),
            deadline_maximum: Duration::from_secs(300),
        }
    }
}
