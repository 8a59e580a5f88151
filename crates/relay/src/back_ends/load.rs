//! What this node has under way at each back end, and how each has answered it lately.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use havengate_core::back_ends::{BackEndHealth, HealthLimits};
use havengate_core::time::Timestamp;
use havengate_core::world::BackEndId;

/// What is known of one back end from this node's own requests.
#[derive(Debug)]
struct BackEndLoad {
    in_flight: u32,
    health: BackEndHealth,
}

/// Loads of all back ends. Copies share the same counts.
#[derive(Clone, Debug, Default)]
pub struct BackEndLoads {
    loads: Rc<RefCell<HashMap<BackEndId, BackEndLoad>>>,
}

/// A back end that nothing was sent to for this many entries' worth of others is forgotten.
const LOADS_MAXIMUM: usize = 4_096;

impl BackEndLoads {
    /// Requests under way at `id`.
    pub fn in_flight(&self, id: &BackEndId) -> u32 {
        self.loads.borrow().get(id).map_or(0, |load| load.in_flight)
    }

    /// Whether the health of `id` lets it be used.
    pub fn admits(&self, id: &BackEndId, now: Timestamp) -> bool {
        self.loads.borrow().get(id).is_none_or(|load| load.health.admits(now))
    }

    /// Notes a send; the returned guard counts it as under way until it is dropped.
    pub fn begin(&self, id: &BackEndId, now: Timestamp) -> InFlight {
        let mut loads = self.loads.borrow_mut();
        if loads.len() >= LOADS_MAXIMUM {
            loads.retain(|_, load| load.in_flight > 0);
        }
        let load = loads
            .entry(id.clone())
            .or_insert_with(|| BackEndLoad { in_flight: 0, health: BackEndHealth::new(HealthLimits::default()) });
        load.in_flight += 1;

        load.health.record_send(now);
        InFlight { loads: self.clone(), id: id.clone() }
    }

    /// Notes a proper answer.
    pub fn succeeded(&self, id: &BackEndId) {
        self.with_health(id, |health| health.record_success());
    }

    /// Notes an answer that reports a failure.
    pub fn failed(&self, id: &BackEndId, now: Timestamp) {
        if self.with_health(id, |health| health.record_failure(now)) == Some(true) {
            log::warn!(event = "back_end_ejected", back_end:% = id, cause = "failures"; "");
        }
    }

    /// Notes that the back end can't be reached or is another one by now.
    pub fn unreachable(&self, id: &BackEndId, now: Timestamp, cause: &str) {
        if self.with_health(id, |health| health.record_unreachable(now)) == Some(true) {
            log::warn!(event = "back_end_ejected", back_end:% = id, cause; "");
        }
    }

    fn with_health<T>(&self, id: &BackEndId, change: impl FnOnce(&mut BackEndHealth) -> T) -> Option<T> {
        self.loads.borrow_mut().get_mut(id).map(|load| change(&mut load.health))
    }
}

/// A request that is under way at a back end.
#[derive(Debug)]
pub struct InFlight {
    loads: BackEndLoads,
    id: BackEndId,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(load) = self.loads.loads.borrow_mut().get_mut(&self.id) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }
}
