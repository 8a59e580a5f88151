//! The seam between the callers' API and the rest of the node.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use havengate_core::request::{AnswerPiece, RequestProfile};
use havengate_core::verdict::Verdict;
use serde::{Deserialize, Serialize};

use super::directory::CallerDirectory;
use crate::http_server::{HangUp, HungUp};

/// A caller's request, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// What dispatch needs to know.
    pub profile: RequestProfile,
    /// The whole prompt.
    pub prompt: String,
}

/// Takes the pieces of one answer on their way to the caller.
pub trait AnswerSink {
    /// Says that the answer comes from the record of an earlier request with the same idempotency key. Only before the
    /// first piece.
    fn replayed(&mut self);

    /// Passes one piece on; waits while the caller reads too slowly.
    ///
    /// A piece of another request, or one that repeats or skips tokens, is dropped and counted here; it is no error,
    /// and the answer then ends as cut unless the missing piece comes after all.
    ///
    /// # Errors
    /// When the caller has hung up.
    fn piece(&mut self, piece: AnswerPiece) -> Result<(), HungUp>;
}

/// Runs callers' requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Runs a request to its end, on a thread of its own, and returns how it ended.
    ///
    /// Pieces go to `answer` as they come. `hang_up` is set as soon as the caller is gone; [`HangUp::over`] can be
    /// waited for next to other channels. [`Verdict::Completed`] reaches the caller as such only if `answer` has taken
    /// every piece up to the last one.
    fn submit(&self, request: CallerRequest, answer: &mut dyn AnswerSink, hang_up: &HangUp) -> Verdict;

    /// The models, tenants and contracts of the configuration in force.
    fn directory(&self) -> Arc<CallerDirectory>;

    /// Whether the node takes requests.
    fn readiness(&self) -> Readiness;
}

/// Whether a node takes requests, and if not, why.
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

/// Limits on what callers may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Output tokens of a request that names no maximum.
    pub output_tokens_default: u32,
    /// The most output tokens that a request may ask for: they are reserved in an engine's KV cache.
    pub output_tokens_maximum: u32,
    /// The time for a whole answer when the caller names none.
    pub deadline_default: Duration,
    /// The longest deadline that a caller may name; it bounds how long a planned stop takes.
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
