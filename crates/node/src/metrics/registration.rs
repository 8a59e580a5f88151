//! The names under which metrics are published.

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

use super::Metrics;

/// The start of every metric's name.
const PREFIX: &str = "havengate";

/// 5 ms to 82 s, doubling: a quick question's first token up to a manuscript behind a full queue.
fn first_token_buckets() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 15))
}

/// 1 ms to 4 s, doubling: a single running request up to a stalled stream.
fn interval_buckets() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 13))
}

/// Registers metrics under their names.
struct Registration(Registry);

impl Registration {
    fn add<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        self.add_made(name, help, M::default())
    }

    fn add_made<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: M) -> M {
        self.0.register(name, help, metric.clone());
        metric
    }
}

/// Metrics at zero, registered. Counters get the suffix `_total` when they are written.
pub(super) fn registered() -> Metrics {
    let mut names = Registration(Registry::with_prefix(PREFIX));
    let first_token = Family::new_with_constructor(first_token_buckets as fn() -> Histogram);
    let interval = Family::new_with_constructor(interval_buckets as fn() -> Histogram);
    Metrics {
        requests: names.add("requests", "Callers' requests that have ended"),
        time_to_first_token: names.add_made(
            "time_to_first_token_seconds",
            "Time from a request's arrival to the first piece of its answer",
            first_token,
        ),
        token_interval: names.add_made(
            "token_interval_seconds",
            "Mean time between two tokens of an answer after its first piece",
            interval,
        ),
        tokens: names.add("tokens", "Tokens of prompts taken in and of answers passed on"),
        streams_open: names.add("streams_open", "Callers' requests that are going on"),
        pieces_dropped: names.add("pieces_dropped", "Pieces of answers that were dropped on their way"),
        replays: names.add("replays", "Answers given again from a record"),
        gateway_retries: names.add("gateway_retries", "Requests sent to another dispatcher after the first"),
        revocations: names.add("revocations", "Revocations of requests, by what they found"),
        queue_length: names.add("queue_length", "Requests that wait in a pool that this node owns"),
        in_flight: names.add("in_flight", "Requests placed on engines of a pool that this node owns"),
        role_changes: names.add("role_changes", "Changes of engines' roles that this node has ordered"),
        orders: names.add("orders", "Orders and fences given to engines, by the engine's answer"),
        members: names.add("members", "Members of the view, by state"),
        configuration_version: names.add("configuration_version", "The configuration version in force here"),
        claims: names.add("claims", "Claims of idempotency keys, by how they ended"),
        slot_map_version: names.add("slot_map_version", "The slot map version that the node goes by"),
        claim_slots_held: names.add("claim_slots_held", "Slots of which the node is a holder"),
        claim_slots_voting: names.add("claim_slots_voting", "Slots in which the node votes"),
        claim_records: names.add("claim_records", "Idempotency keys that the node remembers"),
        claim_answer_bytes: names.add("claim_answer_bytes", "Bytes of recorded answers that the node keeps"),
        tenant_permits: names.add("tenant_permits", "Requests of limited tenants that run through the node"),
        store_calls: names.add("store_calls", "Calls to the platform's store"),
        http_refusals: names.add("http_refusals", "Requests that an HTTP server refused by itself"),
        registry: names.0,
    }
}
