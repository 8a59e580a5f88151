//! What a node counts, for Prometheus. docs/OPERATORS-API.md lists the metrics as operators see them.

mod labels;
mod link;
mod pools;
mod registration;

use std::fmt;
use std::sync::Arc;

pub use labels::{
    ArmLabels, CauseLabel, ContractLabel, DirectionLabel, MemberStateLabel, OutcomeLabel, PoolLabel, RefusalLabels,
    RequestLabels, RoleChangeLabels, StoreLabels, TenantLabel, TokenLabels,
};
use prometheus_client::encoding::prometheus_text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use link::LinkCollector;
use pools::PoolCollector;
pub use pools::PoolCounts;

use crate::peers::LinkCounters;

/// Histograms of one metric, one for each set of labels.
pub type Histograms<Labels> = Family<Labels, Histogram, fn() -> Histogram>;

/// The media type of [`Metrics::encode`].
pub const METRICS_CONTENT_TYPE: &str = prometheus_text::CONTENT_TYPE;

/// All metrics of a node. Share it in an `Arc`; updating a metric takes a lock for a moment only.
pub struct Metrics {
    registry: Registry,
    /// Callers' requests that have ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from a request's arrival to the first piece of its answer, in seconds.
    pub time_to_first_token: Histograms<ContractLabel>,
    /// Mean time between two tokens of an answer after its first piece, in seconds, once for each answer.
    pub token_interval: Histograms<ContractLabel>,
    /// Tokens of prompts that were taken in and of answers that were passed on.
    pub tokens: Family<TokenLabels, Counter>,
    /// Callers' requests that are going on.
    pub streams_open: Gauge,
    /// Pieces of answers that were dropped on their way.
    pub pieces_dropped: Family<CauseLabel, Counter>,
    /// Answers given again from the record of an earlier request with the same idempotency key.
    pub replays: Counter,
    /// Requests that this node as a gateway sent to another dispatcher after the first.
    pub gateway_retries: Counter,
    /// Revocations of requests by this node as a gateway, by what they found.
    pub revocations: Family<OutcomeLabel, Counter>,
    /// Requests that wait in a pool that this node owns.
    pub queue_length: Family<PoolLabel, Gauge>,
    /// Requests placed on engines of a pool that this node owns.
    pub in_flight: Family<PoolLabel, Gauge>,
    /// Changes of engines' roles that this node has ordered.
    pub role_changes: Family<RoleChangeLabels, Counter>,
    /// Orders and fences given to engines, by the engine's answer.
    pub orders: Family<OutcomeLabel, Counter>,
    /// Members of the view.
    pub members: Family<MemberStateLabel, Gauge>,
    /// The version of the configuration in force at this node.
    pub configuration_version: Gauge,
    /// Claims of idempotency keys by this node as a gateway, by how they ended.
    pub claims: Family<OutcomeLabel, Counter>,
    /// The version of the slot map that this node goes by.
    pub slot_map_version: Gauge,
    /// Slots of which this node is a holder.
    pub claim_slots_held: Gauge,
    /// Slots in which this node votes.
    pub claim_slots_voting: Gauge,
    /// Keys that this node remembers.
    pub claim_records: Gauge,
    /// Bytes of recorded answers that this node keeps.
    pub claim_answer_bytes: Gauge,
    /// Requests of limited tenants that run through this node.
    pub tenant_permits: Family<TenantLabel, Gauge>,
    /// Calls to the platform's store.
    pub store_calls: Family<StoreLabels, Counter>,
    /// Requests that an HTTP server refused by itself.
    pub http_refusals: Family<RefusalLabels, Counter>,
}

impl Metrics {
    /// Metrics that all start at zero.
    pub fn new() -> Self {
        registration::registered()
    }

    /// Metrics that all start at zero, with those of the links that `counters` count.
    pub fn with_link_counters(counters: Arc<LinkCounters>) -> Self {
        let mut metrics = Metrics::new();
        metrics.registry.register_collector(Box::new(LinkCollector(counters)));
        metrics
    }

    /// Adds the metrics of the pools, which are read by `counts` whenever metrics are written.
    #[must_use]
    pub fn with_pool_counts(mut self, counts: impl Fn() -> Vec<PoolCounts> + Send + Sync + 'static) -> Self {
        self.registry.register_collector(Box::new(PoolCollector::new(counts)));
        self
    }

    /// The metrics in Prometheus's text format.
    ///
    /// # Errors
    /// When a metric can't be written as text.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        prometheus_text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
