//! This node's requests in flight at each back end, and the health of each as seen from its recent answers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use havengate_core::back_ends::{BackEndHealth, HealthLimits};
use havengate_core::time::Timestamp;
use havengate_core::world::BackEndId;

use crate::paths::PathUse;

/// The state of one back end, as observed from this node's own requests.
#[derive(Debug)]
struct BackEndLoad {
    in_flight: u32,
    health: BackEndHealth,
}

/// Loads of all back ends. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct BackEndLoads {
    loads: Rc<RefCell<HashMap<BackEndId, BackEndLoad>>>,
}

/// The number of entries from which on those of back ends without a request in flight are removed.
const LOADS_MAXIMUM: usize = 4_096;

impl BackEndLoads {
    /// Requests in flight at `id`.
    pub fn in_flight(&self, id: &BackEndId) -> u32 {
        self.loads.borrow().get(id).map_or(0, |load| load.in_flight)
    }

    /// Whether the health of `id` admits requests.
    pub fn admits(&self, id: &BackEndId, now: Timestamp) -> bool {
        self.loads.borrow().get(id).is_none_or(|load| load.health.admits(now))
    }

    /// Records a send over `path`; the returned guard counts it as in flight until it is dropped.
    pub fn begin(&self, id: &BackEndId, path: PathUse, now: Timestamp) -> InFlight {
        let mut loads = self.loads.borrow_mut();
        if loads.len() >= LOADS_MAXIMUM {
            loads.retain(|_, load| load.in_flight > 0);
        }
        let load = loads
            .entry(id.clone())
            .or_insert_with(|| BackEndLoad { in_flight: 0, health: BackEndHealth::new(HealthLimits::default()) });
        load.in_flight += 1;

        load.health.record_send(now);
        InFlight { loads: self.clone(), id: id.clone(), path }
    }

    /// Records a successful answer.
    pub fn succeeded(&self, id: &BackEndId) {
        self.with_health(id, |health| health.record_success());
    }

    /// Records an answer that reports a failure.
    pub fn failed(&self, id: &BackEndId, now: Timestamp) {
        if self.with_health(id, |health| health.record_failure(now)) == Some(true) {
            log::warn!(event = "back_end_ejected", back_end:% = id, cause = "failures"; "");
        }
    }

    /// Records that the back end can't be reached or has been replaced by another one.
    pub fn unreachable(&self, id: &BackEndId, now: Timestamp, cause: &str) {
        if self.with_health(id, |health| health.record_unreachable(now)) == Some(true) {
            log::warn!(event = "back_end_ejected", back_end:% = id, cause; "");
        }
    }

    /// Admits requests to `id` again: the failures were those of this node's own path.
    pub fn readmit(&self, id: &BackEndId) {
        self.with_health(id, |health| *health = BackEndHealth::new(HealthLimits::default()));
    }

    fn with_health<T>(&self, id: &BackEndId, change: impl FnOnce(&mut BackEndHealth) -> T) -> Option<T> {
        self.loads.borrow_mut().get_mut(id).map(|load| change(&mut load.health))
    }
}

/// Counts a request as in flight at a back end until it is dropped.
pub struct InFlight {
    loads: BackEndLoads,
    id: BackEndId,
    path: PathUse,
}

impl InFlight {
    /// Records that the back end didn't complete its answer.
    pub fn record_failure(&self, now: Timestamp) {
        self.loads.failed(&self.id, now);
    }

    /// Records that the back end has sent a piece of its answer.
    pub fn record_contact(&self) {
        self.path.record_contact();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(load) = self.loads.loads.borrow_mut().get_mut(&self.id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }
}
