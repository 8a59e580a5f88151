//! Circuit breaker for stage orders: pauses the changes of a service when ordered engines terminate one after the
//! other.
//!
//! The limits on concurrent changes don't prevent this, since an engine that is gone makes room for the next change.
//! Without a breaker, an order that terminates its engine (a stage that fails to start, weights that don't load) would
//! go through the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::{Timestamp, doubled};
use crate::world::ServiceName;

/// Limits of [`OrderCircuitBreaker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderCircuitBreakerConfig {
    /// Consecutive changes ended by their engine's termination after which changes are paused. One or two may be
    /// chance.
    pub failure_threshold: u32,
    /// The first pause; each further termination doubles it.
    pub initial_pause: Duration,
    /// Upper limit of the pause.
    pub maximum_pause: Duration,
}

impl Default for OrderCircuitBreakerConfig {
    fn default() -> Self {
        OrderCircuitBreakerConfig {
            failure_threshold: 3,
            initial_pause: Duration::from_secs(120),
            maximum_pause: Duration::from_secs(3_600),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ConsecutiveTerminations {
    count: u32,
    paused_until: Timestamp,
}

/// Counts, for each service, the changes ended by their engine's termination since the last successful one.
#[derive(Clone, Debug)]
pub struct OrderCircuitBreaker {
    config: OrderCircuitBreakerConfig,
    terminations: BTreeMap<ServiceName, ConsecutiveTerminations>,
}

impl OrderCircuitBreaker {
    /// Creates a breaker without recorded terminations.
    pub fn new(config: OrderCircuitBreakerConfig) -> Self {
        OrderCircuitBreaker { config, terminations: BTreeMap::new() }
    }

    /// Records that an engine serves the stage that it was ordered to, which resets the count of `service`.
    pub fn record_success(&mut self, service: &ServiceName) {
        self.terminations.remove(service);
    }

    /// Records that ordered engines are gone. Engines found gone at the same time count once, as they may share a rack.
    pub fn record_termination(&mut self, service: &ServiceName, now: Timestamp) {
        let entry = self.terminations.entry(service.clone()).or_default();
        entry.count += 1;
        let Some(excess) = entry.count.checked_sub(self.config.failure_threshold) else {
            return;
        };
        entry.paused_until = now + doubled(self.config.initial_pause, excess, self.config.maximum_pause);
    }

    /// Remaining time for which no change of `service` may start; zero if one may.
    pub fn pause(&self, service: &ServiceName, now: Timestamp) -> Duration {
        self.terminations.get(service).map_or(Duration::ZERO, |entry| entry.paused_until.since(now))
    }
}
