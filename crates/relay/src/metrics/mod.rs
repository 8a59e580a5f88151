//! Prometheus metrics of a relaying node.

mod labels;
mod paths;
mod tenants;

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use havengate_core::relay::EngineModel;
use havengate_core::store::Position;
use havengate_core::time::Timestamp;
use havengate_core::world::ServiceName;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

pub use self::labels::NodeMessageKind;
use self::labels::{
    AnswerEndLabels, AnswerFaultLabel, BrokenRunLabel, DropLabel, DutyLabels, EndLabels, EstimateLabel, MessageLabel,
    NoticeLabel, ResumedStreamLabels, RouteLabel, SendLabels, ServiceLabel, SourceLabel, StageChangeLabels,
    StageOrderLabel, StoreLabels, SuspectLabel,
};
pub use self::paths::PathMetrics;
pub use self::tenants::QuotaOutcome;
use self::tenants::TenantLimitMetrics;
use crate::process::VERSION;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// The values of gauges that are set when the metrics are read.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeState {
    /// Open requests of callers.
    pub open_requests: usize,
    /// The bytes of buffered answers.
    pub answer_bytes: usize,
    /// Open connections of callers.
    pub caller_connections: usize,
    /// The bytes that the bodies of callers' requests use.
    pub body_bytes: usize,
    /// Open connections to back ends.
    pub connections: u32,
    /// The time since the directory was last confirmed; `None` if it never was.
    pub directory_age: Option<Duration>,
    /// The remaining repeats of each service's budget.
    pub repeats_left: Vec<(ServiceName, f64)>,
    /// The factor by which late prefills exceed their expected time.
    pub late_stretch: f64,
    /// Requests that are blocked because engines terminated while running them.
    pub blocked_contents: usize,
    /// Parts of prompts that are blocked because engines terminated while running requests with them.
    pub blocked_parts: usize,
    /// The streams whose origin the node knows.
    pub known_origins: usize,
}

type Latencies = Family<RouteLabel, Histogram, fn() -> Histogram>;

struct Metrics {
    registry: Registry,
    ends: Family<EndLabels, Counter>,
    sends: Family<SendLabels, Counter>,
    repeats: Family<ServiceLabel, Counter>,
    answer_ends: Family<AnswerEndLabels, Counter>,
    answer_faults: Family<AnswerFaultLabel, Counter>,
    broken_runs: Family<BrokenRunLabel, Counter>,
    suspects: Family<SuspectLabel, Counter>,
    resumed_streams: Family<ResumedStreamLabels, Counter>,
    known_origins: Gauge,
    notices: Family<NoticeLabel, Counter>,
    ineligible_sends: Family<NoticeLabel, Counter>,
    blocked_contents: Gauge,
    blocked_parts: Gauge,
    malformed_entries: Counter,
    new_incarnations: Counter,
    outdated_updates: Family<SourceLabel, Counter>,
    store_restores: Counter,
    era: Gauge,
    store_calls: Family<StoreLabels, Counter>,
    node_messages: Family<MessageLabel, Counter>,
    node_bytes: Family<MessageLabel, Counter>,
    dropped_messages: Family<DropLabel, Counter>,
    request_seconds: Latencies,
    first_piece_seconds: Latencies,
    configuration: Gauge,
    directory: Gauge,
    nodes: Gauge,
    open_requests: Gauge,
    answer_bytes: Gauge,
    caller_connections: Gauge,
    body_bytes: Gauge,
    connections: Gauge,
    directory_age_millis: Gauge,
    repeats_left: Family<ServiceLabel, Gauge>,
    late_stretch: Gauge<f64, AtomicU64>,
    estimates: Family<EstimateLabel, Gauge<f64, AtomicU64>>,
    estimate_samples: Family<EstimateLabel, Gauge>,
    stage_changes: Family<StageChangeLabels, Counter>,
    stage_orders: Family<StageOrderLabel, Counter>,
    duty_calls: Family<DutyLabels, Counter>,
    stage_change_seconds: Counter<f64, AtomicU64>,
    tenant_limits: TenantLimitMetrics,
    paths: PathMetrics,
}

/// The metrics of a node. Clones share them.
#[derive(Clone)]
pub struct RelayMetrics {
    metrics: Arc<Metrics>,
}

impl RelayMetrics {
    /// Creates the metrics, all of them zero.
    pub fn new() -> Self {
        let latencies: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS);
        let mut metrics = Metrics {
            registry: Registry::with_prefix("havengate"),
            ends: Family::default(),
            sends: Family::default(),
            repeats: Family::default(),
            answer_ends: Family::default(),
            answer_faults: Family::default(),
            broken_runs: Family::default(),
            suspects: Family::default(),
            resumed_streams: Family::default(),
            known_origins: Gauge::default(),
            notices: Family::default(),
            ineligible_sends: Family::default(),
            blocked_contents: Gauge::default(),
            blocked_parts: Gauge::default(),
            malformed_entries: Counter::default(),
            new_incarnations: Counter::default(),
            outdated_updates: Family::default(),
            store_restores: Counter::default(),
            era: Gauge::default(),
            store_calls: Family::default(),
            node_messages: Family::default(),
            node_bytes: Family::default(),
            dropped_messages: Family::default(),
            request_seconds: Family::new_with_constructor(latencies),
            first_piece_seconds: Family::new_with_constructor(latencies),
            configuration: Gauge::default(),
            directory: Gauge::default(),
            nodes: Gauge::default(),
            open_requests: Gauge::default(),
            answer_bytes: Gauge::default(),
            caller_connections: Gauge::default(),
            body_bytes: Gauge::default(),
            connections: Gauge::default(),
            directory_age_millis: Gauge::default(),
            repeats_left: Family::default(),
            late_stretch: Gauge::default(),
            estimates: Family::default(),
            estimate_samples: Family::default(),
            stage_changes: Family::default(),
            stage_orders: Family::default(),
            duty_calls: Family::default(),
            stage_change_seconds: Counter::default(),
            tenant_limits: TenantLimitMetrics::new(),
            paths: PathMetrics::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("build", "The build that runs", Info::new([("version", VERSION)]));
        registry.register("requests", "Requests that ended, by how", metrics.ends.clone());
        registry.register("sends", "Sends to back ends, by how they ended", metrics.sends.clone());
        registry.register(
            "repeats",
            "Repeats that the budget paid for, of requests that ended",
            metrics.repeats.clone(),
        );
        let answer_ends = metrics.answer_ends.clone();
        registry.register("answer_ends", "Ends of back ends' answers, by framing and by what they show", answer_ends);
        let answer_faults = metrics.answer_faults.clone();
        registry.register("answer_faults", "Answers that prove nothing about their request, by cause", answer_faults);
        registry.register(
            "broken_runs",
            "Runs that back ends broke off, by what has become of the back end",
            metrics.broken_runs.clone(),
        );
        registry.register(
            "suspects",
            "Requests under which engines ended, by what became of them here",
            metrics.suspects.clone(),
        );
        let notices = metrics.notices.clone();
        let resumed = metrics.resumed_streams.clone();
        registry.register(
            "resumed_streams",
            "Streams that callers took up again, by how their origin was known",
            resumed,
        );
        let origins = metrics.known_origins.clone();
        registry.register("known_origins", "Streams of this node and of peers whose origin is known", origins);
        registry.register("back_end_notices", "What back ends said of themselves and was not known before", notices);
        let ineligible = metrics.ineligible_sends.clone();
        registry.register("unwelcome_sends", "Sends that the back end's own word speaks against", ineligible);
        registry.register(
            "blocked_contents",
            "Requests that are sent to no engine, since engines ended under them",
            metrics.blocked_contents.clone(),
        );
        let blocked_parts = metrics.blocked_parts.clone();
        registry.register("blocked_parts", "Parts of prompts whose requests are sent to no engine", blocked_parts);
        let malformed = metrics.malformed_entries.clone();
        registry.register("spoiled_entries", "Entries of back ends that name none, as they were told", malformed);
        let incarnations = metrics.new_incarnations.clone();
        registry.register("new_lives", "Back ends that were seen to have started again under their name", incarnations);
        let outdated = metrics.outdated_updates.clone();
        registry.register("directory_news_old", "News of the directory that were older than it, by who told", outdated);
        let restores = metrics.store_restores.clone();
        registry.register(
            "store_went_back",
            "Times that the directory became one of an older copy of the store",
            restores,
        );
        registry.register("store_era", "The era of the directory; 0: none is told", metrics.era.clone());
        registry.register("store_calls", "Calls to the store, by how they ended", metrics.store_calls.clone());
        registry.register("node_messages", "Messages sent to other nodes, by kind", metrics.node_messages.clone());
        registry.register("node_bytes", "Bytes sent to other nodes, by kind", metrics.node_bytes.clone());
        let dropped = metrics.dropped_messages.clone();
        registry.register("dropped_messages", "Messages between nodes that were dropped, by cause", dropped);
        registry.register("request_seconds", "From arrival to the end of the answer", metrics.request_seconds.clone());
        registry.register(
            "first_piece_seconds",
            "From arrival to the first piece",
            metrics.first_piece_seconds.clone(),
        );
        registry.register("configuration_version", "The configuration in force", metrics.configuration.clone());
        registry.register("directory_revision", "The revision of the directory", metrics.directory.clone());
        registry.register("nodes", "Nodes that share the budgets", metrics.nodes.clone());
        registry.register("open_requests", "Callers' requests that are open", metrics.open_requests.clone());
        registry.register("answer_bytes", "Bytes of buffered answers", metrics.answer_bytes.clone());
        registry.register("caller_connections", "Connections of callers", metrics.caller_connections.clone());
        registry.register("body_bytes", "Bytes of the bodies of callers' requests", metrics.body_bytes.clone());
        registry.register("connections", "Connections to back ends", metrics.connections.clone());
        let age = metrics.directory_age_millis.clone();
        registry.register("directory_age_milliseconds", "Since the directory was confirmed; -1: never", age);
        registry.register("repeats_left", "Repeats that this node may still send", metrics.repeats_left.clone());
        let stretch = metrics.late_stretch.clone();
        registry.register("late_stretch", "By how much more than expected late prompts take to be read", stretch);
        registry.register("engine_estimate", "What is believed of engines", metrics.estimates.clone());
        let samples = metrics.estimate_samples.clone();
        registry.register("engine_estimate_samples", "What a belief rests on; 0: the prior", samples);
        let changes = metrics.stage_changes.clone();
        registry.register(
            "stage_changes",
            "Changes of engines' stages that this node decided, by how they ended",
            changes,
        );
        let orders = metrics.stage_orders.clone();
        registry.register("stage_orders", "Orders to engines, by how they were answered", orders);
        registry.register("duty_calls", "Calls of duties, by how they were answered", metrics.duty_calls.clone());
        let seconds = metrics.stage_change_seconds.clone();
        registry.register("stage_change_seconds", "Engines' time from a change's announcement to its end", seconds);
        metrics.tenant_limits.register(registry);
        metrics.paths.register(registry);
        RelayMetrics { metrics: Arc::new(metrics) }
    }

    /// The counters of the paths to back ends.
    pub fn paths(&self) -> &PathMetrics {
        &self.metrics.paths
    }

    /// Counts the end of a change of an engine's stage and adds its duration.
    pub fn record_stage_change(&self, to: &'static str, outcome: &'static str, took: Duration) {
        self.metrics.stage_changes.get_or_create(&StageChangeLabels { to, outcome }).inc();
        self.metrics.stage_change_seconds.inc_by(took.as_secs_f64());
    }

    /// Counts an order to an engine.
    pub fn record_stage_order(&self, answer: &'static str) {
        self.metrics.stage_orders.get_or_create(&StageOrderLabel { answer }).inc();
    }

    /// Counts a call that a duty made.
    pub fn record_duty_call(&self, duty: &'static str, answer: &'static str) {
        self.metrics.duty_calls.get_or_create(&DutyLabels { duty, answer }).inc();
    }

    /// Counts the end of a request and records its latencies.
    pub fn record_end(
        &self,
        route: &str,
        outcome: &'static str,
        cause: &'static str,
        took: Duration,
        first: Option<Duration>,
    ) {
        let labels = EndLabels { route: route.to_owned(), outcome, cause };
        self.metrics.ends.get_or_create(&labels).inc();
        let label = RouteLabel { route: route.to_owned() };
        self.metrics.request_seconds.get_or_create(&label).observe(took.as_secs_f64());
        if let Some(first) = first {
            self.metrics.first_piece_seconds.get_or_create(&label).observe(first.as_secs_f64());
        }
    }

    /// Counts a send to a back end.
    pub fn record_send(&self, service: &str, stage: &'static str, outcome: &'static str) {
        self.metrics.sends.get_or_create(&SendLabels { service: service.to_owned(), stage, outcome }).inc();
    }

    /// Counts the repeats that the budget paid for one request.
    pub fn record_repeats(&self, service: &ServiceName, repeats: u32) {
        let label = ServiceLabel { service: service.to_string() };
        self.metrics.repeats.get_or_create(&label).inc_by(u64::from(repeats));
    }

    /// Counts the end of an answer, by how it is marked and by what it shows.
    pub fn record_answer_end(&self, framing: &'static str, end: &'static str) {
        self.metrics.answer_ends.get_or_create(&AnswerEndLabels { framing, end }).inc();
    }

    /// Counts an answer that proves nothing about the request that it was received for.
    pub fn record_answer_fault(&self, fault: &'static str) {
        self.metrics.answer_faults.get_or_create(&AnswerFaultLabel { fault }).inc();
    }

    /// Counts runs that one back end interrupted, by the later state of the back end.
    pub fn record_broken_runs(&self, back_end: &'static str, runs: usize) {
        self.metrics.broken_runs.get_or_create(&BrokenRunLabel { back_end }).inc_by(runs as u64);
    }

    /// Counts a request under which engines terminated, by its outcome.
    pub fn record_suspect(&self, outcome: &'static str) {
        self.metrics.suspects.get_or_create(&SuspectLabel { outcome }).inc();
    }

    /// Counts a stream that a caller takes up again.
    pub fn record_resumed_stream(&self, known: &'static str, verdict: &'static str) {
        self.metrics.resumed_streams.get_or_create(&ResumedStreamLabels { known, verdict }).inc();
    }

    /// Counts a notice of a back end about itself that was not known before.
    pub fn record_notice(&self, notice: &'static str) {
        self.metrics.notices.get_or_create(&NoticeLabel { notice }).inc();
    }

    /// Counts a send to a back end that is ineligible by its own notice.
    pub fn record_ineligible_send(&self, notice: &'static str) {
        self.metrics.ineligible_sends.get_or_create(&NoticeLabel { notice }).inc();
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, call: &'static str, outcome: &'static str) {
        self.metrics.store_calls.get_or_create(&StoreLabels { call, outcome }).inc();
    }

    /// Counts messages to other nodes and their bytes.
    pub fn record_node_messages(&self, kind: NodeMessageKind, messages: usize, bytes: usize) {
        let label = MessageLabel { kind: kind.code() };
        self.metrics.node_messages.get_or_create(&label).inc_by(messages as u64);
        self.metrics.node_bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    /// The bytes sent to other nodes so far, of one kind.
    pub fn node_bytes(&self, kind: NodeMessageKind) -> u64 {
        self.metrics.node_bytes.get_or_create(&MessageLabel { kind: kind.code() }).get()
    }

    /// Counts malformed directory entries, which name no back end.
    pub fn record_malformed_entries(&self, count: usize) {
        self.metrics.malformed_entries.inc_by(count as u64);
    }

    /// Counts a new incarnation of a back end under the same name.
    pub fn record_new_incarnation(&self) {
        self.metrics.new_incarnations.inc();
    }

    /// Counts a directory that is restored from an older snapshot of the store.
    pub fn record_store_restore(&self) {
        self.metrics.store_restores.inc();
    }

    /// Counts an update of the directory that is older than the directory.
    pub fn record_outdated_update(&self, source: &'static str) {
        self.metrics.outdated_updates.get_or_create(&SourceLabel { source }).inc();
    }

    /// Counts a message between nodes that was dropped.
    pub fn record_dropped_message(&self, cause: &'static str) {
        self.metrics.dropped_messages.get_or_create(&DropLabel { cause }).inc();
    }

    /// Sets the versions of the configuration and the directory, and the number of nodes.
    pub fn set_knowledge(&self, configuration: u64, directory: Position, nodes: u32) {
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.metrics.configuration.set(gauge(configuration));
        self.metrics.directory.set(gauge(directory.revision.0));
        self.metrics.era.set(gauge(directory.era.number()));
        self.metrics.nodes.set(i64::from(nodes));
    }

    /// Sets the gauges of the node's current state.
    pub fn set_state(&self, state: &NodeState) {
        self.metrics.open_requests.set(i64::try_from(state.open_requests).unwrap_or(i64::MAX));
        self.metrics.answer_bytes.set(i64::try_from(state.answer_bytes).unwrap_or(i64::MAX));
        self.metrics.caller_connections.set(i64::try_from(state.caller_connections).unwrap_or(i64::MAX));
        self.metrics.body_bytes.set(i64::try_from(state.body_bytes).unwrap_or(i64::MAX));
        self.metrics.connections.set(i64::from(state.connections));
        let age = state.directory_age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.metrics.directory_age_millis.set(age);
        self.metrics.late_stretch.set(state.late_stretch);
        self.metrics.blocked_contents.set(i64::try_from(state.blocked_contents).unwrap_or(i64::MAX));
        self.metrics.blocked_parts.set(i64::try_from(state.blocked_parts).unwrap_or(i64::MAX));
        self.metrics.known_origins.set(i64::try_from(state.known_origins).unwrap_or(i64::MAX));
        for (service, left) in &state.repeats_left {
            let label = ServiceLabel { service: service.to_string() };
            self.metrics.repeats_left.get_or_create(&label).set(*left as i64);
        }
    }

    /// Sets the estimates about engines.
    pub fn set_estimates(&self, model: &EngineModel, now: Timestamp) {
        for (name, estimate) in model.estimates(now) {
            let label = EstimateLabel { name };
            self.metrics.estimates.get_or_create(&label).set(estimate.value);
            self.metrics.estimate_samples.get_or_create(&label).set(i64::from(estimate.samples));
        }
    }

    /// Encodes the metrics in Prometheus's text format.
    ///
    /// # Errors
    /// When a metric can't be written as text.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut buffer = String::new();
        text::encode(&mut buffer, &self.metrics.registry)?;
        Ok(buffer)
    }
}

impl Default for RelayMetrics {
    fn default() -> Self {
        RelayMetrics::new()
    }
}
