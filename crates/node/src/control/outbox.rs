//! Carries out what control wants done: messages to peers, calls to the store and to engines.

use std::io;
use std::sync::Arc;

use crossbeam::channel::Sender;
use havengate_core::authority::{EngineReport, OrderReply};
use havengate_core::control::{ControlAction, ControlInput, StoreCaller};
use havengate_core::store::{StoreReply, StoreRequest};
use havengate_core::world::{Address, EngineName, PoolId};
use havengate_wire::PeerMessage;

use super::thread::ControlEvent;
use super::workers::Workers;
use crate::clock::Clock;
use crate::engines::EngineApi;
use crate::metrics::{Metrics, OutcomeLabel};
use crate::peers::{ControlLink, DatagramLink};
use crate::platform::PlatformApi;

/// Threads for calls to the store. The store serves few readers, so there is no use for more.
const STORE_THREADS: usize = 2;

/// Threads for control calls to engines: a takeover raises the fences of a whole pool at once.
const ENGINE_THREADS: usize = 16;

/// Calls that may wait for a thread.
const QUEUE_MAXIMUM: usize = 1_024;

/// The ways out of the control thread.
pub struct Outbox {
    datagrams: DatagramLink,
    peers: Arc<ControlLink<PeerMessage>>,
    platform: Arc<dyn PlatformApi>,
    engines: Arc<dyn EngineApi>,
    store_workers: Workers,
    engine_workers: Workers,
    events: Sender<ControlEvent>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

/// What the outbox is made of.
pub struct OutboxParts {
    /// Datagrams to peers.
    pub datagrams: DatagramLink,
    /// Control messages to peers.
    pub peers: Arc<ControlLink<PeerMessage>>,
    /// The platform.
    pub platform: Arc<dyn PlatformApi>,
    /// The engines.
    pub engines: Arc<dyn EngineApi>,
    /// Where replies go.
    pub events: Sender<ControlEvent>,
    /// The node's clock.
    pub clock: Clock,
    /// Where the engines' answers are counted.
    pub metrics: Arc<Metrics>,
}

impl Outbox {
    /// Starts the threads for blocking calls.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(parts: OutboxParts) -> io::Result<Self> {
        let OutboxParts { datagrams, peers, platform, engines, events, clock, metrics } = parts;
        let store_workers = Workers::start("store", STORE_THREADS, QUEUE_MAXIMUM)?;
        let engine_workers = Workers::start("engine-control", ENGINE_THREADS, QUEUE_MAXIMUM)?;
        Ok(Outbox { datagrams, peers, platform, engines, store_workers, engine_workers, events, clock, metrics })
    }

    /// Carries out an action. Replies come back as events; each call gets exactly one.
    pub fn carry_out(&self, action: ControlAction) {
        match action {
            ControlAction::SendDatagram { to, message } => self.datagrams.send(to, &message),
            ControlAction::SendPeer { to, message } => self.peers.send(to.address, PeerMessage::Control(message)),
            ControlAction::Store { caller, request } => self.call_store(caller, request),
            ControlAction::RaiseFence { pool, engine, address, term } => {
                let metrics = Arc::clone(&self.metrics);
                let call = move |engines: &dyn EngineApi| counted(&metrics, engines.raise_fence(address, term));
                self.call_engine(call, fence_reply(pool, engine));
            }
            ControlAction::SendOrder { pool, engine, address, order, send_before } => {
                let (clock, metrics) = (self.clock, Arc::clone(&self.metrics));
                let call = move |engines: &dyn EngineApi| {
                    // A process that was paused here may have lost its authority meanwhile.
                    if clock.now() >= send_before {
                        return OrderReply::Unknown;
                    }
                    counted(&metrics, engines.order(address, &order))
                };
                self.call_engine(call, engine_reply(pool, engine));
            }
            ControlAction::QueryEngine { pool, engine, address } => {
                self.call_engine(move |engines| query(engines, address), engine_reply(pool, engine));
            }
        }
    }

    fn call_store(&self, caller: StoreCaller, request: StoreRequest) {
        let platform = Arc::clone(&self.platform);
        let events = self.events.clone();
        let replied = caller.clone();
        let job = move || {
            let reply = platform.call(&request);
            send(&events, ControlInput::StoreReply { caller: replied, reply });
        };
        if self.store_workers.run(job).is_err() {
            send(&self.events, ControlInput::StoreReply { caller, reply: StoreReply::Unknown });
        }
    }

    fn call_engine(
        &self,
        call: impl FnOnce(&dyn EngineApi) -> OrderReply + Send + 'static,
        input: impl Fn(OrderReply) -> ControlInput + Clone + Send + 'static,
    ) {
        let engines = Arc::clone(&self.engines);
        let events = self.events.clone();
        let answered = input.clone();
        let job = move || send(&events, answered(call(&*engines)));
        if self.engine_workers.run(job).is_err() {
            send(&self.events, input(OrderReply::Unknown));
        }
    }
}

/// Counts an engine's answer to an order or a fence that was sent, and passes it on.
fn counted(metrics: &Metrics, reply: OrderReply) -> OrderReply {
    metrics.orders.get_or_create(&OutcomeLabel::of_order(&reply)).inc();
    reply
}

fn fence_reply(pool: PoolId, engine: EngineName) -> impl Fn(OrderReply) -> ControlInput + Clone + Send {
    move |reply| ControlInput::FenceReply { pool: pool.clone(), engine: engine.clone(), reply }
}

fn engine_reply(pool: PoolId, engine: EngineName) -> impl Fn(OrderReply) -> ControlInput + Clone + Send {
    move |reply| ControlInput::EngineReply { pool: pool.clone(), engine: engine.clone(), reply }
}

fn query(engines: &dyn EngineApi, address: Address) -> OrderReply {
    let report: Option<EngineReport> = engines.state(address);
    report.map_or(OrderReply::Unknown, OrderReply::Accepted)
}

/// The control thread is gone only when the node stops; the reply then has no reader.
fn send(events: &Sender<ControlEvent>, input: ControlInput) {
    let _ = events.send(ControlEvent::Input(input));
}
