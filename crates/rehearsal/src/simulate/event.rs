//! Events in virtual time, in the order of their times, and of their making where the times are equal.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use havengate_core::authority::{Order, OrderReply, Term};
use havengate_core::dispatch::ReportedLoad;
use havengate_core::gateway::{AttemptNumber, GatewayEvent, PoolLoad};
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::store::{StoreReply, StoreRequest};
use havengate_core::time::Timestamp;
use havengate_node::engines::dialect::CacheEvents;

use super::attempt::{AttemptToken, AttemptUpdate, KvExport};
use crate::engine::model::GenerateWork;

/// The place of an engine in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EngineIndex(pub usize);

/// The place of a pool in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PoolIndex(pub usize);

/// The place of a gateway in the world; there is one on each machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GatewayIndex(pub usize);

/// Something that happens.
#[derive(Debug)]
pub(super) enum Event {
    /// The next client makes its request.
    Arrival,
    /// A request has reached its gateway.
    AtGateway(RequestId),
    /// A request's gateway looks at its deadlines.
    GatewayTimer(RequestId),
    /// Something about a request has reached its gateway.
    ToGateway { request: RequestId, event: GatewayEvent, load: Option<PoolLoad> },
    /// A request has reached the dispatcher of a pool.
    Submit(Box<Submission>),
    /// A revocation has reached the dispatcher of a pool.
    Revoke { pool: PoolIndex, request: RequestId, attempt: AttemptNumber, gateway: GatewayIndex },
    /// A dispatcher has to be polled.
    PoolTimer(PoolIndex),
    /// The control of a pool ticks.
    PoolTick(PoolIndex),
    /// A call has reached an engine.
    EngineCall { engine: EngineIndex, call: EngineCall },
    /// An engine has something to do or to hand out.
    EngineTimer(EngineIndex),
    /// News of an attempt have reached the dispatcher.
    AttemptUpdate { pool: PoolIndex, request: RequestId, token: AttemptToken, update: AttemptUpdate },
    /// An engine's reply has reached the control of its pool.
    ControlReply { pool: PoolIndex, engine: EngineIndex, reply: ControlReply },
    /// The dispatcher of a pool asks an engine for its load and its cache events.
    WatchEngine(EngineIndex),
    /// What the engine says of itself has reached the dispatcher.
    EngineSeen { engine: EngineIndex, load: ReportedLoad, cache: CacheEvents },
    /// A call has reached the store.
    StoreCall { pool: PoolIndex, request: StoreRequest },
    /// The store's reply has reached the control of a pool.
    StoreReply { pool: PoolIndex, reply: StoreReply },
    /// A fault of the experiment begins.
    FaultBegins(usize),
    /// A fault of the experiment ends.
    FaultEnds(usize),
}

/// A request on its way to a dispatcher.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) pool: PoolIndex,
    pub(super) gateway: GatewayIndex,
    pub(super) attempt: AttemptNumber,
    pub(super) profile: RequestProfile,
    pub(super) answer_tokens: u32,
    pub(super) resume_from: u32,
}

/// A call to an engine.
#[derive(Debug)]
pub(super) enum EngineCall {
    /// Run this.
    Run { pool: PoolIndex, token: AttemptToken, work: Box<GenerateWork>, import: Option<KvExport> },
    /// Cancel the request.
    Cancel(RequestId),
    /// Raise the fence.
    RaiseFence { pool: PoolIndex, term: Term },
    /// Execute an order.
    Order { pool: PoolIndex, order: Order },
    /// Report.
    Query { pool: PoolIndex },
}

/// What an engine answers to the control of its pool.
#[derive(Debug)]
pub(super) enum ControlReply {
    /// To a fence.
    Fence(OrderReply),
    /// To an order or a query.
    Order(OrderReply),
}

/// The events to come.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    now: Timestamp,
    made: u64,
    entries: BinaryHeap<Reverse<Entry>>,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    number: u64,
    event: Event,
}

impl EventQueue {
    /// The time of the last event.
    pub(super) fn now(&self) -> Timestamp {
        self.now
    }

    /// Lets `event` happen after `delay`.
    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    /// Lets `event` happen at `at`, or now when that has passed.
    pub(super) fn at(&mut self, at: Timestamp, event: Event) {
        self.made += 1;
        self.entries.push(Reverse(Entry { at: at.max(self.now), number: self.made, event }));
    }

    /// The next event; time moves on to it.
    pub(super) fn pop(&mut self) -> Option<Event> {
        let Reverse(entry) = self.entries.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}
