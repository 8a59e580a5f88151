//! The edges of the relay: what callers, back ends and the store speak is translated behind these traits.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use havengate_core::back_ends::{BackEnd, DirectoryChanges, DirectoryListing};
use havengate_core::relay::{Prompt, PromptPart, Urgency};
use havengate_core::routing::TrafficConfiguration;
use havengate_core::store::Revision;
use havengate_core::world::Address;
use hyper::header::{HeaderMap, HeaderValue};

/// What a caller's head says beside method, host and path.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's own name for the request; it is passed on unchanged and comes back with the answer.
    pub id: HeaderValue,
    /// How long the caller waits from now; `None` when it doesn't say.
    pub deadline: Option<Duration>,
    /// The prompt's shape, for requests to model engines.
    pub prompt: Option<Prompt>,
}

impl RequestHead {
    /// The identity as text, for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unprintable")
    }
}

/// the head is malformed: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct MalformedHead(pub String);

/// A KV cache that another engine has read: who keeps it, and under which handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSource {
    /// The engine that keeps it.
    pub address: Address,
    /// The engine's name for it.
    pub handle: String,
}

/// The part of a request that is sent.
#[derive(Clone, Debug)]
pub enum SendStage {
    /// All of it.
    Whole,
    /// Only its prompt is read.
    Prefill,
    /// All of it, with the prompt already read elsewhere.
    Decode(CacheSource),
}

/// What a back end is told beside the caller's request.
#[derive(Clone, Debug)]
pub struct SendFacts<'a> {
    /// The back end that is meant; no other may run the request.
    pub back_end: &'a BackEnd,
    /// How long the answer is waited for from now.
    pub deadline: Duration,
    /// The part that is sent.
    pub stage: &'a SendStage,
    /// An engine that keeps a part of the prompt, from which the back end may take it instead of reading it.
    pub keeper: Option<Address>,
    /// Who goes first; `None` where the back end is not told.
    pub urgency: Option<EngineUrgency>,
}

/// Who goes first at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineUrgency {
    /// Whether the request can be in time; those that can go before all others.
    pub urgency: Urgency,
    /// The route's rank among requests alike; 0 is the most urgent.
    pub rank: u8,
}

/// What an answer's head proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerHead {
    /// The back end's answer to this request.
    Proper,
    /// The back end's answer to this request, which reports that running it failed.
    Failure,
    /// The back end did not run the request, nor will: it has no room.
    Declined,
    /// The back end did not run the request, nor will: it is not the one that was meant.
    WrongBackEnd,
    /// The bytes are not an answer to this request.
    Foreign,
}

/// What callers and back ends speak.
pub trait Protocol: 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    /// When a part of it can't be understood.
    fn read_head(&self, headers: &HeaderMap) -> Result<RequestHead, MalformedHead>;

    /// Makes a caller's headers those of a request to a back end. Headers that concern only one connection are gone.
    fn dress(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);

    /// Judges the head of an answer to the request called `id`.
    fn judge(&self, id: &HeaderValue, status: hyper::StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// The path at which an engine tells what its cache keeps.
    fn kept_parts_path(&self) -> &'static str;

    /// Reads what an engine's cache keeps out of its answer; `None` when that can't be understood.
    fn read_kept_parts(&self, body: &[u8]) -> Option<Vec<PromptPart>>;

    /// Reads the handle out of the answer to a prompt that was read.
    fn read_handle(&self, body: &[u8]) -> Option<String>;
}

/// Why the store did not do what it was asked for.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// the store can't be reached: {0}
    Unreachable(String),
    /// the store refuses: {0}
    Refused(String),
    /// the store takes no more calls now
    Throttled,
    /// the store has forgotten the history after the revision
    HistoryGone,
    /// the store's answer can't be understood: {0}
    Malformed(String),
}

/// The configuration at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationRead {
    /// The store's revision at which it was read.
    pub revision: Revision,
    /// The newest configuration; `None` when there is none (or, after a wait, no newer one).
    pub configuration: Option<TrafficConfiguration>,
}

/// A session with the store: one connection, one call at a time.
pub trait ControlStore: Clone + Send + 'static {
    /// Reads the whole directory.
    fn list_back_ends(&mut self) -> impl Future<Output = Result<DirectoryListing, StoreError>>;

    /// Waits for changes of the directory.
    fn watch_back_ends(
        &mut self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<DirectoryChanges, StoreError>>;

    /// Reads the configuration.
    fn read_configuration(&mut self) -> impl Future<Output = Result<ConfigurationRead, StoreError>>;

    /// Waits for a change of the configuration.
    fn watch_configuration(
        &mut self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationRead, StoreError>>;
}

/// A request's body, read whole.
pub type RequestBody = http_body_util::Full<Bytes>;
