//! One node: its sockets and threads, from start to planned stop.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use displaydoc::Display;
use havengate_core::control::{ControlConfig, ControlConfigError, ControlInput, NodeControl, NodeIdentity};
use havengate_core::dispatch::DispatchConfig;
use havengate_core::membership::{Member, MembershipMessage};
use havengate_core::world::Address;

use crate::admission::{Admission, AdmissionParts};
use crate::callers::{CallerApi, CallerLimits};
use crate::clock::Clock;
use crate::control::{
    ControlEvent, ControlSnapshot, ControlThread, ControlThreadParts, CurrentMember, EVENTS_MAXIMUM, Outbox,
    OutboxParts, Publisher, PublisherParts, SharedSnapshot, new_incarnation,
};
use crate::engines::{EngineApi, EngineTimeouts, HttpEngineApi};
use crate::http_server::{HttpServer, HttpServerConfig, HttpServerHandle};
use crate::machine_list::watch_machine_list;
use crate::metrics::Metrics;
use crate::operations::{OperatorService, OperatorServiceParts};
use crate::operators::OperatorApi;
use crate::peers::{ControlLink, DatagramLink, ForwardClient, LinkCounters, LinkGate, OpenGate, PeerListener};
use crate::platform::{HttpPlatformApi, ObservedPlatform, PlatformApi, PlatformTimeouts};
use crate::service::NodeService;
use crate::settings::{Limits, Settings};
use crate::traffic::{Gateway, GatewayParts, Hops, PoolFactory, PoolRegistry};

/// How long a leaving node goes on answering callers with a refusal, so that all others have heard of its leaving and
/// callers are told when to come back, before its sockets close.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How long a stopping node waits at most until other holders have the claims that it holds. One that was restarted a moment ago takes them over within
/// seconds also on a busy machine; one that is away may not be back for long.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(10);

/// How often a stopping node looks whether its last request has ended.
const DRAIN_CHECK_EVERY: Duration = Duration::from_millis(20);

/// Why a node can't start.
#[derive(Debug, Display, thiserror::Error)]
pub enum StartError {
    /// the control's settings are wrong: {0}
    Control(#[from] ControlConfigError),
    /// a socket or thread can't be had: {0}
    Io(#[from] io::Error),
}

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Every request ended, and the last byte of every answer was written to its socket.
    Drained,
    /// The time limit passed, or the stop was forced, with requests still open.
    Forced {
        /// Requests that were cut off.
        open_requests: usize,
    },
}

/// What surrounds a node and is replaced in rehearsals.
pub struct Surroundings {
    /// Decides which peers can be reached.
    pub gate: Arc<dyn LinkGate>,
    /// Settings of control; the same on all nodes.
    pub control: ControlConfig,
}

impl Default for Surroundings {
    fn default() -> Self {
        Surroundings { gate: Arc::new(OpenGate), control: ControlConfig::default() }
    }
}

/// A running node.
pub struct Node {
    settings: Settings,
    control: ControlThread,
    events: Sender<ControlEvent>,
    snapshot: SharedSnapshot,
    registry: Arc<PoolRegistry>,
    admission: Arc<Admission>,
    listener: PeerListener,
    callers: Arc<HttpServerHandle>,
    operators: HttpServerHandle,
    drain_asked: Receiver<()>,
    counters: Arc<LinkCounters>,
    clock: Clock,
}

impl Node {
    /// Starts a node in service.
    ///
    /// # Errors
    /// When a socket or thread can't be had.
    pub fn start(settings: Settings) -> Result<Node, StartError> {
        Node::start_in(settings, Surroundings::default())
    }

    /// Starts a node in the given surroundings.
    ///
    /// # Errors
    /// As [`Node::start`], and when the control's settings are wrong.
    pub fn start_in(settings: Settings, surroundings: Surroundings) -> Result<Node, StartError> {
        let Surroundings { gate, control } = surroundings;
        let clock = Clock::start();
        let me = Member { address: settings.peers_address, incarnation: new_incarnation() };
        let member: CurrentMember = Arc::new(ArcSwap::from_pointee(me));
        let counters = Arc::new(LinkCounters::default());
        let snapshot: SharedSnapshot = Arc::new(ArcSwap::from_pointee(ControlSnapshot::starting(me)));
        let registry = Arc::new(PoolRegistry::new(Arc::clone(&snapshot), clock));
        let (events, incoming) = bounded(EVENTS_MAXIMUM);
        let engines: Arc<dyn EngineApi> = Arc::new(HttpEngineApi::new(engine_timeouts(&settings)));
        let pools = Arc::clone(&registry);
        let metrics = Metrics::with_link_counters(Arc::clone(&counters)).with_pool_counts(move || pools.counts());
        let metrics = Arc::new(metrics);
        let platform = HttpPlatformApi::new(settings.platform_address, platform_timeouts(&settings));
        let observed = Arc::new(ObservedPlatform::new(Arc::new(platform), Arc::clone(&metrics), clock));
        let platform: Arc<dyn PlatformApi> = Arc::<ObservedPlatform>::clone(&observed);
        let peers = Arc::new(ControlLink::new(Arc::clone(&member), Arc::clone(&gate), Arc::clone(&counters)));
        let admission =
            Admission::start(AdmissionParts { me, peers: Arc::clone(&peers), platform: Arc::clone(&platform), clock })?;
        let service = Arc::new(NodeService {
            member: Arc::clone(&member),
            pools: Arc::clone(&registry),
            admission: Arc::clone(&admission),
            events: events.clone(),
            counters: Arc::clone(&counters),
        });

        let datagrams = receive_datagrams(me.address, &gate, &counters, &service)?;
        let listener = PeerListener::start(me.address, service)?;
        let outbox = Outbox::start(OutboxParts {
            datagrams,
            peers,
            platform: Arc::clone(&platform),
            engines: Arc::clone(&engines),
            events: events.clone(),
            clock,
            metrics: Arc::clone(&metrics),
        })?;
        let identity = NodeIdentity { member: me, zone: settings.zone.clone(), seeds: settings.seeds.clone() };
        let control = NodeControl::new(control, identity, clock.now(), me.incarnation.0)?;
        let factory = PoolFactory::new(dispatch_config(&settings.limits), engines, clock);
        let publisher = Publisher::new(PublisherParts {
            snapshot: Arc::clone(&snapshot),
            registry: Arc::clone(&registry),
            admission: Arc::clone(&admission),
            factory,
            clock,
        });
        let parts = ControlThreadParts {
            control,
            outbox,
            publisher,
            events: incoming,
            member: Arc::clone(&member),
            clock,
            metrics: Arc::clone(&metrics),
        };
        let control = ControlThread::start(parts, events.clone())?;
        watch_machine_list(Arc::clone(&platform), Arc::clone(&snapshot), Arc::clone(&admission), events.clone())?;

        let remote = ForwardClient::new(member, gate);
        let gateway = Gateway::new(GatewayParts {
            snapshot: Arc::clone(&snapshot),
            hops: Hops::new(Arc::clone(&registry), remote),
            admission: Arc::clone(&admission),
            zone: settings.zone.clone(),
            seed: me.incarnation.0,
            clock,
            metrics: Arc::clone(&metrics),
        });
        let caller_api = CallerApi::new(Arc::new(gateway), caller_limits(&settings), Arc::clone(&metrics));
        let callers = HttpServer::bind(settings.callers_address.0, callers_server(&settings), Arc::new(caller_api))?;
        let (drain, drain_asked) = bounded(1);
        let open = Arc::clone(&metrics);
        let operator_service = OperatorService::new(OperatorServiceParts {
            events: events.clone(),
            snapshot: Arc::clone(&snapshot),
            registry: Arc::clone(&registry),
            admission: Arc::clone(&admission),
            platform,
            drain,
            open_streams: Box::new(move || u32::try_from(open.streams_open.get()).unwrap_or_default()),
            store_last_seen: Box::new(move || observed.store_last_seen()),
            callers_failure: callers.failure_watch(),
            clock,
        });
        let operator_api = OperatorApi::new(Arc::new(operator_service), metrics);
        let operators =
            HttpServer::bind(settings.operators_address.0, operators_server(&settings), Arc::new(operator_api))?;
        log::info!(
            member:% = me,
            zone:% = settings.zone,
            callers:% = callers.local_address(),
            operators:% = operators.local_address(); "node_started");
        Ok(Node {
            settings,
            control,
            events,
            snapshot,
            registry,
            admission,
            listener,
            callers: Arc::new(callers),
            operators,
            drain_asked,
            counters,
            clock,
        })
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> Address {
        Address(self.callers.local_address())
    }

    /// Where operators connect.
    pub fn operators_address(&self) -> Address {
        Address(self.operators.local_address())
    }

    /// Control's state.
    pub fn snapshot(&self) -> Arc<ControlSnapshot> {
        self.snapshot.load_full()
    }

    /// Control bytes and messages since the start.
    pub fn control_traffic(&self) -> crate::peers::LinkCounts {
        self.counters.counts()
    }

    /// The channel on which operators ask for a planned stop.
    pub fn drain_asked(&self) -> &Receiver<()> {
        &self.drain_asked
    }

    /// Stops in a planned way: announces the leaving, refuses new work, lets every open request end, and closes.
    ///
    /// `forced` may carry a message that ends the wait early.
    pub fn drain(self, forced: &Receiver<()>) -> StopOutcome {
        // Fails only when the control thread has ended; then there is no one to tell.
        let _ = self.events.send(ControlEvent::Input(ControlInput::Leave));
        self.admission.leave();
        log::info!(open_requests = self.registry.open_requests(); "drain_started");
        let outcome = match forced.recv_timeout(LEAVING_GRACE) {
            Ok(()) => StopOutcome::Forced { open_requests: self.open_requests() },
            Err(RecvTimeoutError::Timeout) => self.wait_for_requests(forced),
            Err(RecvTimeoutError::Disconnected) => {
                // Nobody can force this stop; the time to announce the leaving is needed all the same.
                thread::sleep(LEAVING_GRACE);
                self.wait_for_requests(forced)
            }
        };
        match outcome {
            StopOutcome::Drained => {
                self.hand_claims_over(forced);
                log::info!("drain_finished");
            }
            StopOutcome::Forced { open_requests } => {
                log::warn!(open_requests = open_requests; "drain_forced");
            }
        }
        self.stop();
        outcome
    }

    /// Stops at once: connections are cut and requests are lost.
    pub fn stop(self) {
        self.callers.close();
        self.operators.close();
        self.listener.stop();
        self.control.stop();
    }

    /// Both callers' connections and requests forwarded by peers have to end.
    fn wait_for_requests(&self, forced: &Receiver<()>) -> StopOutcome {
        let limit = self.clock.now() + self.settings.deadlines.drain;
        let callers_drained = self.drain_callers();
        loop {
            if self.registry.open_requests() == 0 && callers_drained.load(Ordering::Acquire) {
                return StopOutcome::Drained;
            }
            if self.clock.now() >= limit || forced.try_recv().is_ok() {
                return StopOutcome::Forced { open_requests: self.open_requests() };
            }
            thread::sleep(DRAIN_CHECK_EVERY);
        }
    }

    /// Waits until other holders have the claims that this node holds. Without this, a node that ended while a restarted one was taking its claims over left
    /// keys that no majority could vouch for until they lapsed.
    fn hand_claims_over(&self, forced: &Receiver<()>) {
        let limit = self.clock.now() + HAND_OVER_LIMIT;
        while self.admission.is_needed() {
            if self.clock.now() >= limit || forced.try_recv().is_ok() {
                log::warn!("claims_not_handed_over");
                return;
            }
            thread::sleep(DRAIN_CHECK_EVERY);
        }
    }

    /// Closes the callers' server for new connections and lets the open ones end, on a thread of its own. The flag is
    /// set once the last byte of every answer has been written.
    fn drain_callers(&self) -> Arc<AtomicBool> {
        let drained = Arc::new(AtomicBool::new(false));
        let (callers, flag, limit) = (Arc::clone(&self.callers), Arc::clone(&drained), self.settings.deadlines.drain);
        let drain = move || flag.store(callers.drain(limit).is_ok(), Ordering::Release);
        if let Err(error) = thread::Builder::new().name("drain-callers".to_owned()).spawn(drain) {
            log::error!(error:% = error; "drain_thread_failed");
        }
        drained
    }

    /// Requests that a forced stop cuts off.
    fn open_requests(&self) -> usize {
        self.registry.open_requests().max(self.callers.open_connections())
    }
}

fn receive_datagrams(
    address: Address,
    gate: &Arc<dyn LinkGate>,
    counters: &Arc<LinkCounters>,
    service: &Arc<NodeService>,
) -> io::Result<DatagramLink> {
    let service = Arc::clone(service);
    DatagramLink::start(address, Arc::clone(gate), Arc::clone(counters), move |from, message: MembershipMessage| {
        service.hand_over(ControlInput::Datagram { from, message });
    })
}

fn engine_timeouts(settings: &Settings) -> EngineTimeouts {
    EngineTimeouts {
        connect: settings.deadlines.engine_connect,
        first_answer: settings.deadlines.engine_silence,
        between_lines: settings.deadlines.engine_silence,
        ..EngineTimeouts::default()
    }
}

fn platform_timeouts(settings: &Settings) -> PlatformTimeouts {
    PlatformTimeouts { call: settings.deadlines.platform, ..PlatformTimeouts::default() }
}

fn dispatch_config(limits: &Limits) -> DispatchConfig {
    DispatchConfig { queue_maximum: limits.queue_maximum as usize, ..DispatchConfig::default() }
}

fn caller_limits(settings: &Settings) -> CallerLimits {
    CallerLimits {
        output_tokens_maximum: settings.limits.output_tokens_maximum,
        deadline_default: settings.deadlines.request_default,
        deadline_maximum: settings.deadlines.request_maximum,
        ..CallerLimits::default()
    }
}

fn callers_server(settings: &Settings) -> HttpServerConfig {
    let limits = &settings.limits;
    HttpServerConfig {
        name: "callers",
        requests_maximum: limits.streams_maximum as usize,
        connections_maximum: limits.caller_connections as usize,
        body_maximum: usize::try_from(limits.body_maximum.as_u64()).unwrap_or(usize::MAX),
        bodies_total_maximum: usize::try_from(limits.bodies_total_maximum.as_u64()).unwrap_or(usize::MAX),
        head_maximum: usize::try_from(limits.header_maximum.as_u64()).unwrap_or(usize::MAX),
        head_timeout: settings.deadlines.caller_read,
        body_timeout: settings.deadlines.caller_read,
        idle_timeout: settings.deadlines.caller_idle,
        write_stall_timeout: settings.deadlines.caller_write,
        ..HttpServerConfig::default()
    }
}

fn operators_server(settings: &Settings) -> HttpServerConfig {
    let requests = settings.limits.operator_requests as usize;
    HttpServerConfig {
        name: "operators",
        io_threads: 1,
        requests_maximum: requests,
        connections_maximum: requests * 4,
        ..HttpServerConfig::default()
    }
}
