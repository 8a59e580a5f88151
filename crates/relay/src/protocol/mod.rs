//! The interfaces of the relay: these traits abstract the protocols of callers, back ends and the store.

mod answers;
mod duties;
mod store;

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use havengate_core::authority::Term;
use havengate_core::back_ends::{BackEnd, BackEndNotice, EngineStage};
use havengate_core::relay::{Prompt, PromptPart, Urgency};
use havengate_core::routing::PresentedKey;
use havengate_core::stages::OrderAnswer;
use havengate_core::world::{Address, NodeName, StartMoment, TenantName};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

pub use self::answers::{AnswerFault, AnswerHead, AskedRequest};
pub use self::duties::{DutyReceiver, DutyRight};
pub use self::store::{
    BaselineRead, BlockRecord, ConfigurationRead, ControlStore, LeaseRead, LedgerRead, StoreChanges, StoreError,
    StoreListing, WriteOutcome,
};

/// The values of a caller's request head besides method, host and path.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's id for the request. It is forwarded unchanged and returned with the answer.
    pub id: HeaderValue,
    /// How long the caller waits from now; `None` when it states no deadline.
    pub deadline: Option<Duration>,
    /// The prompt's shape, for requests to model engines.
    pub prompt: Option<Prompt>,
    /// Whether the request takes up a stream that was interrupted, and which one; `None` for a new request.
    pub resumption: Option<Resumption>,
    /// The tokens that the caller states: prompt and longest output together; `None` when it states none.
    pub token_count: Option<u64>,
}

/// Which stream a request takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumption {
    /// The id of the request whose answer contained the stream's first event; `None` if the caller names none, or if
    /// the name is malformed.
    pub first_request: Option<HeaderValue>,
}

impl Resumption {
    /// The id of the first request as text, for logs; empty if it is not known.
    pub fn first_request_text(&self) -> &str {
        self.first_request.as_ref().map_or("", |id| id.to_str().unwrap_or("unprintable"))
    }
}

impl RequestHead {
    /// The id as text, for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unprintable")
    }
}

/// the head is malformed: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct MalformedHead(pub String);

/// A KV cache that another engine has computed: the engine and the handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheSource {
    /// The engine that holds it.
    pub address: Address,
    /// The engine's handle for it.
    pub handle: String,
}

/// The part of a request that is sent.
#[derive(Clone, Debug)]
pub enum SendStage {
    /// The complete request.
    Complete,
    /// Only the prefill of its prompt.
    Prefill,
    /// The complete request, after its prefill on another engine.
    Decode(CacheSource),
}

/// The values that are sent to a back end besides the caller's request.
#[derive(Clone, Debug)]
pub struct SendFacts<'a> {
    /// The addressed back end; no other may run the request.
    pub back_end: &'a BackEnd,
    /// How long the node waits for the answer from now.
    pub deadline: Duration,
    /// The part that is sent.
    pub stage: &'a SendStage,
    /// An engine that has cached a part of the prompt. The back end may fetch the part from it instead of running the
    /// prefill.
    pub cache_peer: Option<Address>,
    /// The urgency; `None` when it is not sent to the back end.
    pub urgency: Option<EngineUrgency>,
    /// The tenant of the request; `None` when it has none.
    pub tenant: Option<&'a TenantName>,
}

/// How urgent a request is among those at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineUrgency {
    /// Whether the request can meet its target; those that can run before all others.
    pub urgency: Urgency,
    /// The rank among requests of equal urgency, by the tenant's or else the route's priority; 0 is the most urgent.
    pub rank: u8,
}

/// The state that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// When it started, if it reports that.
    pub started: Option<StartMoment>,
    /// The stage that it serves.
    pub stage: EngineStage,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The orders that it has accepted in this incarnation.
    pub orders_taken: u64,
}

/// The cache contents that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheReport {
    /// When the engine started, if it reports that.
    pub started: Option<StartMoment>,
    /// The parts that it has cached.
    pub parts: Vec<PromptPart>,
}

/// An order to an engine to serve a stage.
#[derive(Clone, Copy, Debug)]
pub struct StageOrderFacts<'a> {
    /// The addressed engine; no other may execute the order.
    pub engine: &'a BackEnd,
    /// The stage that it is to serve.
    pub to: EngineStage,
    /// The node that gives the order.
    pub holder: &'a NodeName,
    /// The term of its lease.
    pub term: Term,
    /// The orders that the engine has accepted so far. It accepts this one only as the next.
    pub orders_taken: u64,
}

/// The protocol of callers and back ends.
pub trait Protocol: Clone + Send + 'static {
    /// Whether back ends need this header of a caller. A `Connection` header that lists it doesn't remove it.
    fn is_end_to_end(name: &HeaderName) -> bool;

    /// Parses a caller's head.
    ///
    /// # Errors
    /// When a part of it is malformed.
    fn read_head(&self, headers: &HeaderMap) -> Result<RequestHead, MalformedHead>;

    /// Removes a caller's key from its headers, so that it is not forwarded.
    fn take_key(&self, headers: &mut HeaderMap) -> PresentedKey;

    /// Turns a caller's headers into those of a request to a back end. Removes the hop-by-hop headers.
    fn rewrite_headers(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);

    /// Classifies the head of an answer that was received for `asked`.
    fn classify_answer(&self, asked: AskedRequest<'_>, status: hyper::StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// The notice of the back end in an answer that [is of its request](AnswerHead::is_of_request).
    fn read_notice(&self, status: hyper::StatusCode, headers: &HeaderMap) -> BackEndNotice;

    /// Names the engine that a call of the node's own is meant for, so that no other one at its address answers it.
    fn address_call(&self, headers: &mut HeaderMap, engine: &BackEnd);

    /// The path at which an engine reports its cached parts.
    fn cached_parts_path(&self) -> &'static str;

    /// Parses an engine's report of its cached parts; `None` when it is malformed.
    fn read_cached_parts(&self, body: &[u8]) -> Option<CacheReport>;

    /// The path at which an engine reports its state.
    fn report_path(&self) -> &'static str;

    /// Parses an engine's report of its state; `None` when it is malformed.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Builds the request that carries an order; `None` when a value can't be represented in it.
    fn stage_order(&self, facts: &StageOrderFacts<'_>) -> Option<hyper::Request<RequestBody>>;

    /// Classifies an engine's answer to an order by its status.
    fn classify_order_answer(&self, status: hyper::StatusCode) -> OrderAnswer;

    /// Parses the handle of the KV cache in the answer to a prefill.
    fn read_handle(&self, body: &[u8]) -> Option<String>;
}

/// A request's body, fully read.
pub type RequestBody = http_body_util::Full<Bytes>;
