//! The edges of the relay: what callers, back ends and the store speak is translated behind these traits.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use havengate_core::authority::Term;
use havengate_core::back_ends::{BackEnd, BackEndNotice, DirectoryChanges, DirectoryListing, EngineStage};
use havengate_core::duties::fleet::{FleetBaseline, FleetOrder};
use havengate_core::duties::usage::{LedgerWrite, UsageLedger, UsageReport};
use havengate_core::duties::{DutyAnswer, LeaseRecord, LeaseWrite};
use havengate_core::relay::{ContentId, Prompt, PromptPart, ReportedTermination, Urgency};
use havengate_core::routing::{PresentedKey, TrafficConfiguration};
use havengate_core::stages::OrderAnswer;
use havengate_core::store::{ObjectVersion, Position, Revision};
use havengate_core::world::{Address, NodeName, ServiceName, StartMoment, TenantName};
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
    pub cache_peer: Option<Address>,
    /// Who goes first; `None` where the back end is not told.
    pub urgency: Option<EngineUrgency>,
    /// Whose request it is; `None`: nobody's in particular.
    pub tenant: Option<&'a TenantName>,
}

/// Who goes first at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineUrgency {
    /// Whether the request can be in time; those that can go before all others.
    pub urgency: Urgency,
    /// The rank among requests alike, by the tenant's or else the route's priority; 0 is the most urgent.
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

/// What an engine tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// When it started, if it says so.
    pub started: Option<StartMoment>,
    /// The stage that it serves.
    pub stage: EngineStage,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// The orders that it has taken in its life.
    pub orders_taken: u64,
}

/// What an engine tells of its cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheReport {
    /// When the engine started, if it says so.
    pub started: Option<StartMoment>,
    /// The parts that it keeps.
    pub parts: Vec<PromptPart>,
}

/// An order to an engine to serve a stage.
#[derive(Clone, Copy, Debug)]
pub struct StageOrderFacts<'a> {
    /// The engine that is meant; no other may follow the order.
    pub engine: &'a BackEnd,
    /// The stage that it is to serve.
    pub to: EngineStage,
    /// The node that gives the order.
    pub holder: &'a NodeName,
    /// The term of its lease.
    pub term: Term,
    /// The orders that the engine has taken so far: it takes this one only as the next.
    pub orders_taken: u64,
}

/// What callers and back ends speak.
pub trait Protocol: Clone + Send + 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    /// When a part of it can't be understood.
    fn read_head(&self, headers: &HeaderMap) -> Result<RequestHead, MalformedHead>;

    /// Takes a caller's key out of its headers, so that it goes nowhere from here.
    fn take_key(&self, headers: &mut HeaderMap) -> PresentedKey;

    /// Makes a caller's headers those of a request to a back end. Headers that concern only one connection are gone.
    fn rewrite_headers(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);

    /// Judges the head of an answer to the request called `id`.
    fn classify_answer(&self, id: &HeaderValue, status: hyper::StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// What an answer to the request called `id` says of the back end that gave it; nothing where it is another one's.
    fn read_notice(&self, id: &HeaderValue, status: hyper::StatusCode, headers: &HeaderMap) -> BackEndNotice;

    /// The path at which an engine tells what its cache keeps.
    fn cached_parts_path(&self) -> &'static str;

    /// Reads what an engine's cache keeps out of its answer; `None` when that can't be understood.
    fn read_cached_parts(&self, body: &[u8]) -> Option<CacheReport>;

    /// The path at which an engine tells of itself.
    fn report_path(&self) -> &'static str;

    /// Reads what an engine tells of itself; `None` when that can't be understood.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// The request that carries an order; `None` when a value can't be put into it.
    fn stage_order(&self, facts: &StageOrderFacts<'_>) -> Option<hyper::Request<RequestBody>>;

    /// What the status of an engine's answer to an order means.
    fn classify_order_answer(&self, status: hyper::StatusCode) -> OrderAnswer;

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
    /// the answer is from before the store went back to an older copy
    PreviousEra,
    /// the store's answer can't be understood: {0}
    Malformed(String),
}

/// The configuration at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationRead {
    /// The store's position at which it was read.
    pub position: Position,
    /// The newest configuration; `None` when there is none (or, after a wait, no newer one).
    pub configuration: Option<TrafficConfiguration>,
}

/// The lease as the store holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseRead {
    /// The content; `None` when there is no object, or one that is no lease.
    pub record: Option<LeaseRecord>,
    /// The object as it was read.
    pub version: ObjectVersion,
}

/// The reports of usage as the store holds them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerRead {
    /// The reports; none when there is no object, `None` when it holds no reports that can be read.
    pub ledger: Option<UsageLedger>,
    /// The object as it was read.
    pub version: ObjectVersion,
}

/// What a service was sized for, as the store holds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BaselineRead {
    /// The content; `None` when there is no object, or one that tells no size.
    pub baseline: Option<FleetBaseline>,
    /// The object as it was read.
    pub version: ObjectVersion,
}

/// A request that is blocked, as the store keeps it for nodes that start when no other knows of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockRecord {
    /// The request.
    pub content: ContentId,
    /// When it was written, in milliseconds since 1970 by the writer's time of day.
    pub written_millis: u64,
    /// The engines that ended under it; their ages are those at the time of writing.
    pub terminations: Vec<ReportedTermination>,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and made this revision.
    Written(Revision),
    /// It did not and will not take effect: the object is another by now.
    Conflict,
}

/// A session with the store: one connection, one call at a time.
pub trait ControlStore: Clone + Send + 'static {
    /// Reads the whole directory.
    fn list_back_ends(&mut self) -> impl Future<Output = Result<DirectoryListing, StoreError>>;

    /// Waits for changes of the directory.
    fn watch_back_ends(
        &mut self,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<DirectoryChanges, StoreError>>;

    /// Reads the configuration.
    fn read_configuration(&mut self) -> impl Future<Output = Result<ConfigurationRead, StoreError>>;

    /// Reads the lease that orders to engines need.
    fn read_lease(&mut self) -> impl Future<Output = Result<LeaseRead, StoreError>>;

    /// Writes the lease if it still is what the write replaces. Any error leaves open whether it takes effect.
    fn write_lease(&mut self, write: &LeaseWrite) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Reads the reports of usage that are kept.
    fn read_usage(&mut self) -> impl Future<Output = Result<LedgerRead, StoreError>>;

    /// Keeps reports of usage if the ledger still is what the write replaces. Any error leaves open whether it takes effect.
    fn write_usage(&mut self, write: &LedgerWrite) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Reads what a service was sized for before any of its engines was ordered.
    fn read_baseline(&mut self, service: &ServiceName) -> impl Future<Output = Result<BaselineRead, StoreError>>;

    /// Keeps what a service was sized for, if what is kept still is `expected`.
    /// Any error leaves open whether it takes effect.
    fn write_baseline(
        &mut self,
        service: &ServiceName,
        baseline: FleetBaseline,
        expected: ObjectVersion,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Reads all requests that are blocked, as they were written.
    fn list_blocks(&mut self) -> impl Future<Output = Result<Vec<BlockRecord>, StoreError>>;

    /// Keeps a request that is blocked; does nothing where it is kept already.
    fn write_block(&mut self, record: &BlockRecord) -> impl Future<Output = Result<(), StoreError>>;

    /// Removes a request that is no longer blocked, if it is kept.
    fn remove_block(&mut self, content: ContentId) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits for a change of the configuration.
    fn watch_configuration(
        &mut self,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationRead, StoreError>>;
}

/// Who makes a call of a duty, and by which right.
#[derive(Clone, Copy, Debug)]
pub struct DutyRight<'a> {
    /// The node that holds the lease.
    pub holder: &'a NodeName,
    /// The term of the lease.
    pub term: Term,
    /// The longest that the answer may take.
    pub time_limit: Duration,
}

/// What takes the calls of duties: one session, one call at a time.
pub trait DutyReceiver: Clone + Send + 'static {
    /// Tells what tenants have used in a window.
    fn report_usage(&mut self, right: &DutyRight<'_>, report: &UsageReport) -> impl Future<Output = DutyAnswer>;

    /// Orders how many engines a service is to have in a zone. A conflict may also mean that there are none to be had.
    fn order_fleet(&mut self, right: &DutyRight<'_>, order: &FleetOrder) -> impl Future<Output = DutyAnswer>;
}

/// A request's body, read whole.
pub type RequestBody = http_body_util::Full<Bytes>;
