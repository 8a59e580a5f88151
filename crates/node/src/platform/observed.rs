//! The platform with an eye on it: counts the calls to its store and remembers when the store last answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use havengate_core::store::{ObjectKey, Revision, StoreReply, StoreRequest, StoredObject};
use havengate_core::time::Timestamp;

use super::api::PlatformApi;
use super::dialect::MachineEntry;
use crate::clock::Clock;
use crate::metrics::{Metrics, StoreLabels};

/// Stands for "never" among the microseconds since the start; real answers come later than at zero.
const NEVER: u64 = 0;

/// A platform whose store is watched. All of a node's calls go through one, whoever makes them.
pub struct ObservedPlatform {
    platform: Arc<dyn PlatformApi>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// When the store last answered, in microseconds of the node's clock.
    answered_at: AtomicU64,
}

impl ObservedPlatform {
    /// A platform that has not answered yet. Calls are counted in `metrics`.
    pub fn new(platform: Arc<dyn PlatformApi>, metrics: Arc<Metrics>, clock: Clock) -> Self {
        ObservedPlatform { platform, metrics, clock, answered_at: AtomicU64::new(NEVER) }
    }

    /// Time since the store last answered; `None` when it never has. The list of machines does not count: it is no part
    /// of the store.
    pub fn store_last_seen(&self) -> Option<Duration> {
        let answered_at = self.answered_at.load(Ordering::Relaxed);
        (answered_at != NEVER).then(|| self.clock.now().since(Timestamp::from_micros(answered_at)))
    }

    fn note_answer(&self) {
        let now = self.clock.now().as_micros().max(NEVER + 1);
        self.answered_at.fetch_max(now, Ordering::Relaxed);
    }
}

impl PlatformApi for ObservedPlatform {
    fn call(&self, request: &StoreRequest) -> StoreReply {
        let reply = self.platform.call(request);
        let labels = StoreLabels { operation: operation(request), outcome: outcome(&reply) };
        self.metrics.store_calls.get_or_create(&labels).inc();
        if reply != StoreReply::Unknown {
            self.note_answer();
        }
        reply
    }

    fn watch(&self, key: &ObjectKey, after: Revision, wait: Duration) -> Option<StoredObject> {
        let object = self.platform.watch(key, after, wait);
        if object.is_some() {
            self.note_answer();
        }
        object
    }

    fn machines(&self) -> Option<Vec<MachineEntry>> {
        self.platform.machines()
    }
}

fn operation(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Read { .. } => "read",
        StoreRequest::CompareAndSet { .. } => "write",
    }
}

fn outcome(reply: &StoreReply) -> &'static str {
    match reply {
        StoreReply::Object(_) | StoreReply::Written(_) => "ok",
        StoreReply::Conflict(_) => "conflict",
        StoreReply::Unknown => "unknown",
    }
}
