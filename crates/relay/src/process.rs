//! The process of a relaying node: start, reload, planned stop, readiness and metrics endpoints.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use havengate_core::time::whole_millis;
use havengate_core::world::Address;
use havengate_node::clock::Clock;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder as HttpBuilder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep};

use crate::back_ends::SharedNotices;
use crate::cache_survey::survey;
use crate::callers::planned_stop::StopPhase;
use crate::callers::{CallerServer, LAST_CONNECTIONS_GRACE, ServerPhase, Traffic, listen};
use crate::control::{BlockStoreLink, ControlSettings, DutySettings, Platform, SharedWithTraffic, block_links, spawn};
use crate::demand::SharedDemand;
use crate::engine_terminations::BlockScope;
use crate::fleet_reach::SharedFleetReach;
use crate::knowledge::{Knowledge, SharedKnowledge, SharedTimestamp};
use crate::metrics::{NodeMessageKind, NodeState, RelayMetrics};
use crate::paths::{SharedPathLoss, check_paths};
use crate::protocol::{ControlStore, DutyReceiver, Protocol};
use crate::settings::{RelaySettings, RelaySettingsError};
use crate::tunnels::serve_tunnels;
use crate::usage::SharedUsage;

/// The version of this build.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// How long new connections are still accepted after a planned stop has begun. In this time the load balancer in front
/// of the nodes checks readiness twice, a second apart, and then sends no more callers to this node.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(2_600);

/// Reserved from the grace period of a planned stop for the process's own exit.
const STOP_RESERVE: Duration = Duration::from_millis(300);

/// Reserved before that for writing the answers to requests that still run.
const LAST_ANSWERS_RESERVE: Duration = Duration::from_millis(200);

/// How often a planned stop checks for open requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often idle connections are closed.
const TIDY_INTERVAL: Duration = Duration::from_secs(2);

/// How often a node logs its estimates of engines and the bytes that it has sent to other nodes.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// The longest that a client of the readiness or metrics endpoint may take to send the request head.
const STATUS_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// How far a node's timestamps reach back before its start. Peers report no older events.
const REPORTABLE_PAST: Duration = Duration::from_secs(24 * 3_600);

/// Runs a node until a stop signal arrives and the stop has completed. `read_settings` reads the settings again for a
/// reload.
///
/// # Errors
/// When an address can't be bound, or a thread or signal handler can't be started.
pub fn run<P: Protocol, S: ControlStore, D: DutyReceiver>(
    settings: RelaySettings,
    read_settings: impl Fn() -> Result<RelaySettings, RelaySettingsError>,
    protocol: P,
    platform: Platform<S, D>,
) -> io::Result<()> {
    let (duties, duties_receiver) = watch::channel(settings.duty_settings());
    let (seeds, seeds_receiver) = watch::channel(settings.seeds.clone());
    let (enforces_limits, enforces_limits_receiver) = watch::channel(settings.tenant_limits.is_some());
    let clock = Clock::start_with_past(REPORTABLE_PAST);
    let metrics = RelayMetrics::new();
    let knowledge: SharedKnowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
    let demand = SharedDemand::default();
    let usage = SharedUsage::new(settings.usage, clock);
    let control = ControlSettings {
        node: settings.name.clone(),
        peers_address: settings.peers_address,
        notices_address: settings.notices_address,
        seeds: seeds_receiver,
        duties: duties_receiver,
        is_first_start: settings.first_start,
        enforces_tenant_limits: enforces_limits_receiver,
    };
    let shared = SharedWithTraffic {
        knowledge: Arc::clone(&knowledge),
        demand: demand.clone(),
        usage: usage.clone(),
        configuration_current_at: SharedTimestamp::default(),
        notices: SharedNotices::default(),
        fleet_reach: SharedFleetReach::new(clock.now()),
        engine_path_loss: SharedPathLoss::default(),
        topology: settings.topology(),
        clock,
        metrics: metrics.clone(),
    };
    let (request_blocks, request_keeper) = block_links(BlockScope::Requests);
    let (part_blocks, part_keeper) = block_links(BlockScope::Parts);
    let keepers = [request_keeper, part_keeper];
    let _control = spawn(control, protocol.clone(), platform, shared.clone(), keepers)?;
    let traffic =
        Rc::new(Traffic::new(protocol, shared, settings.retry_budget(), settings.placement, settings.machine));
    traffic.set_revocation_limit(settings.keys.revocation());
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let mut node = RunningNode { settings, read_settings, seeds, duties, enforces_limits, traffic };
    LocalSet::new().block_on(&runtime, node.serve([request_blocks, part_blocks]))
}

struct RunningNode<P, R> {
    settings: RelaySettings,
    read_settings: R,
    seeds: watch::Sender<Vec<Address>>,
    duties: watch::Sender<DutySettings>,
    enforces_limits: watch::Sender<bool>,
    traffic: Rc<Traffic<P>>,
}

impl<P: Protocol, R: Fn() -> Result<RelaySettings, RelaySettingsError>> RunningNode<P, R> {
    /// Applies the settings that a reload may change. Addresses and the name need a restart. Open requests and
    /// connections are not affected.
    fn reload(&mut self) {
        let read = match (self.read_settings)() {
            Ok(read) => read,
            Err(error) => {
                log::error!(event = "reload_refused", error:% = error; "");
                return;
            }
        };
        let needs_restart = !read.has_same_name_and_addresses(&self.settings);
        self.traffic.set_budget_config(read.retry_budget());
        self.traffic.set_placement(read.placement);
        self.seeds.send_replace(read.seeds.clone());
        self.duties.send_replace(read.duty_settings());
        self.traffic.usage.set_config(read.usage);
        self.traffic.set_revocation_limit(read.keys.revocation());
        self.settings = read;
        self.enforce_tenant_limits();
        let placement = self.traffic.placement();
        log::info!(event = "reloaded", seeds = self.settings.seeds.len(), placement:? = placement, stages:? = self.settings.stages, needs_restart; "");
    }

    /// Starts or stops the enforcement of tenants' limits according to the settings.
    fn enforce_tenant_limits(&self) {
        self.enforces_limits.send_replace(self.settings.tenant_limits.is_some());
        match (self.settings.quota_config(), self.traffic.peer_notices.sender()) {
            (Some(config), Some(own)) => self.traffic.quotas.enforce(config, own),
            _ => self.traffic.quotas.suspend(),
        }
    }

    async fn serve(&mut self, blocks: [BlockStoreLink; 2]) -> io::Result<()> {
        let (settings, traffic) = (self.settings.clone(), Rc::clone(&self.traffic));
        let mut stop_signal = signal(SignalKind::terminate())?;
        let mut reload_signal = signal(SignalKind::hangup())?;
        let server = CallerServer::bind(settings.callers_address.0)?;
        traffic.peer_notices.exchange(settings.notices_address).await?;
        traffic.peer_notices.exchange_quotas(&traffic.quotas);
        traffic.peer_notices.exchange_origins(&traffic.origins);
        // Tunnels arrive at the same address over TCP.
        tokio::task::spawn_local(serve_tunnels(Rc::clone(&traffic), listen(settings.notices_address.0)?));
        traffic.peer_notices.exchange_tunnels(&traffic.tunnels, traffic.paths.clone());
        self.enforce_tenant_limits();
        let [request_blocks, part_blocks] = blocks;
        let notices = &traffic.peer_notices;
        tokio::task::spawn_local(notices.engine_terminations().clone().sync_with_store(request_blocks));
        tokio::task::spawn_local(notices.part_terminations().clone().sync_with_store(part_blocks));
        tokio::task::spawn_local(survey(Rc::clone(&traffic)));
        let readmitting = Rc::clone(&traffic);
        tokio::task::spawn_local(async move { readmitting.readmit_after_losses().await });
        tokio::task::spawn_local(check_paths(traffic.paths.clone(), traffic.pool.clone()));
        serve_status(settings.readiness_address, Rc::clone(&traffic), readiness::<P>)?;
        if let Some(address) = settings.metrics_address {
            serve_status(address, Rc::clone(&traffic), metrics_text::<P>)?;
        }
        let (phase, phase_receiver) = watch::channel(ServerPhase::Serving);
        let accepting = tokio::task::spawn_local(server.serve(Rc::clone(&traffic), phase_receiver));
        log::info!(event = "started", node:% = settings.name, zone:% = settings.zone, version = VERSION, first_start = settings.first_start; "");
        let mut tidy = interval(TIDY_INTERVAL);
        let mut summary = interval(SUMMARY_INTERVAL);
        loop {
            tokio::select! {
                _ = stop_signal.recv() => break,
                _ = reload_signal.recv() => self.reload(),
                _ = tidy.tick() => remove_unused(&traffic),
                _ = summary.tick() => log_summary(&traffic),
            }
        }
        stop(self.settings.stop_grace(), &traffic, &phase).await;
        accepting.abort();
        Ok(())
    }
}

/// Closes idle connections and removes expired state.
fn remove_unused<P>(traffic: &Traffic<P>) {
    traffic.pool.tidy();
    traffic.tunnels.tidy();
    let knowledge = traffic.knowledge.load();
    let services = knowledge.configuration.iter().flat_map(|active| &active.configuration.services);
    traffic
        .peer_notices
        .refresh(services.filter_map(|service| service.engines).map(|engines| engines.cache_tokens).min());
}

/// Logs the estimates of engines, the bytes that the node has sent to other nodes since its start, and the limits of
/// tenants.
fn log_summary<P>(traffic: &Traffic<P>) {
    let [prefill, decode, moving] =
        traffic.peer_notices.with_index(|index| index.model().estimates(traffic.clock.now()));
    log::info!(
        event = "engines_believed",
        prefill_rate = prefill.1.value,
        prefill_samples = prefill.1.samples,
        decode_rate = decode.1.value,
        decode_samples = decode.1.samples,
        move_ms = moving.1.value,
        move_samples = moving.1.samples;
        ""
    );
    log::info!(
        event = "node_bytes_sent",
        readings = traffic.metrics.node_bytes(NodeMessageKind::Prefills),
        kept_parts = traffic.metrics.node_bytes(NodeMessageKind::CachedParts),
        digests = traffic.metrics.node_bytes(NodeMessageKind::Digest),
        feeds = traffic.metrics.node_bytes(NodeMessageKind::Feed),
        demand = traffic.metrics.node_bytes(NodeMessageKind::Demand),
        stages = traffic.metrics.node_bytes(NodeMessageKind::Stages),
        usage = traffic.metrics.node_bytes(NodeMessageKind::Usage),
        unreachable = traffic.metrics.node_bytes(NodeMessageKind::Unreachable),
        ends = traffic.metrics.node_bytes(NodeMessageKind::Terminations),
        leaving = traffic.metrics.node_bytes(NodeMessageKind::Draining),
        limits = traffic.metrics.node_bytes(NodeMessageKind::Limits),
        tenant_limits = traffic.metrics.node_bytes(NodeMessageKind::TenantLimits),
        quotas = traffic.metrics.node_bytes(NodeMessageKind::Quotas),
        locations = traffic.metrics.node_bytes(NodeMessageKind::Locations),
        tunnels = traffic.metrics.node_bytes(NodeMessageKind::Tunnels),
        duties = traffic.metrics.node_bytes(NodeMessageKind::Duties),
        versions = traffic.metrics.node_bytes(NodeMessageKind::Versions),
        origins = traffic.metrics.node_bytes(NodeMessageKind::Origins);
        ""
    );
    traffic.quotas.log_summary();
}

/// Runs a planned stop: reports not ready at once, then stops accepting connections and refuses requests that are not
/// read in full, then waits until all answers are written to their connections, and the tunnels of peers end.
async fn stop<P: 'static>(grace: Duration, traffic: &Rc<Traffic<P>>, phase: &watch::Sender<ServerPhase>) {
    let began = Instant::now();
    let deadline = began + grace.saturating_sub(STOP_RESERVE);
    traffic.stop.begin(StopPhase::Draining);
    log::info!(event = "stopping", open_requests = traffic.active.count(), tunnels = traffic.tunnels.open_for_peers(); "");
    let announcing = Rc::clone(traffic);
    tokio::task::spawn_local(async move { announcing.peer_notices.announce_tunnels_end().await });
    sleep(ACCEPT_WHILE_DRAINING.min(grace / 2)).await;
    phase.send_replace(ServerPhase::Closing);
    // Leaves time for the first request on connections that were just accepted, before open requests are counted.
    sleep(LAST_CONNECTIONS_GRACE + 2 * STOP_POLL_INTERVAL).await;
    traffic.stop.begin(StopPhase::Refusing);
    let has_unwritten = || traffic.connections.unwritten() > 0;
    let is_used = || traffic.active.count() > 0 || has_unwritten() || traffic.tunnels.open_for_peers() > 0;
    while is_used() && Instant::now() < deadline - LAST_ANSWERS_RESERVE {
        sleep(STOP_POLL_INTERVAL).await;
    }
    traffic.stop.begin(StopPhase::Ending);
    while is_used() && Instant::now() < deadline {
        sleep(STOP_POLL_INTERVAL).await;
    }
    // Lets the tasks of the connections run once more to write the last bytes of the last answer.
    sleep(STOP_POLL_INTERVAL).await;
    let took_ms = whole_millis(began.elapsed());
    let (open_requests, unwritten) = (traffic.active.count(), traffic.connections.unwritten());
    log::info!(event = "stopped", open_requests, unwritten_answers = unwritten, took_ms; "");
}

type StatusResponse = Response<Full<Bytes>>;

fn readiness<P>(traffic: &Traffic<P>) -> StatusResponse {
    let ready = !traffic.stop.has_begun(StopPhase::Draining) && traffic.knowledge.load().is_complete();
    let mut response = Response::new(Full::new(Bytes::from_static(if ready { b"ready" } else { b"not ready" })));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn metrics_text<P>(traffic: &Traffic<P>) -> StatusResponse {
    let now = traffic.clock.now();
    let confirmed_at = traffic.knowledge.load().directory_confirmed_at;
    traffic.peer_notices.with_index(|index| traffic.metrics.set_estimates(index.model(), now));
    traffic.quotas.set_metrics();
    traffic.metrics.set_state(&NodeState {
        open_requests: traffic.active.count(),
        answer_bytes: traffic.answers.used(),
        caller_connections: traffic.connections.count(),
        body_bytes: traffic.bodies.used(),
        connections: traffic.pool.open_total(),
        directory_age: confirmed_at.map(|confirmed_at| now.since(confirmed_at)),
        repeats_left: traffic.repeats_left(),
        late_stretch: traffic.late_stretch(),
        known_origins: traffic.origins.len(),
        blocked_contents: traffic.peer_notices.engine_terminations().blocked_count(),
        blocked_parts: traffic.peer_notices.part_terminations().blocked_count(),
    });
    match traffic.metrics.encode() {
        Ok(text) => Response::new(Full::new(Bytes::from(text))),
        Err(_) => {
            let mut response = Response::new(Full::new(Bytes::new()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

/// Answers every request at `address` with the response of `respond`, whatever its path.
fn serve_status<P: Protocol>(
    address: Address,
    traffic: Rc<Traffic<P>>,
    respond: fn(&Traffic<P>) -> StatusResponse,
) -> io::Result<()> {
    let listener: TcpListener = listen(address.0)?;
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(STOP_POLL_INTERVAL).await;
                continue;
            };
            let traffic = Rc::clone(&traffic);
            let service = service_fn(move |_: Request<Incoming>| {
                let response = respond(&traffic);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = HttpBuilder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(STATUS_REQUEST_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::task::spawn_local(async move {
                // The client notices a failed connection and retries.
                let _ = connection.await;
            });
        }
    });
    Ok(())
}
