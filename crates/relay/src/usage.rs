//! The usage of this node's callers, counted by the traffic thread and read by the control thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use havengate_core::duties::usage::{UsageConfig, UsageCounts};
use havengate_core::duties::{TrueTime, TrueTimeConfig};
use havengate_core::time::Timestamp;
use havengate_core::world::TenantName;
use havengate_node::clock::Clock;

struct OwnUsage {
    /// `None` disables counting.
    config: Option<UsageConfig>,
    counts: UsageCounts,
    true_time: TrueTime,
}

/// This node's own counts. Clones share them. Both threads hold the lock only while they add or copy numbers.
#[derive(Clone)]
pub struct SharedUsage {
    own: Arc<Mutex<OwnUsage>>,
    clock: Clock,
}

impl SharedUsage {
    /// The empty counts of a newly started node.
    pub fn new(config: Option<UsageConfig>, clock: Clock) -> Self {
        let true_time = TrueTime::new(TrueTimeConfig::default());
        let own = OwnUsage { config, counts: UsageCounts::default(), true_time };
        SharedUsage { own: Arc::new(Mutex::new(own)), clock }
    }

    /// Uses the windows of `config` from now on. Drops all counts if the length of the windows changes.
    pub fn set_config(&self, config: Option<UsageConfig>) {
        let mut own = self.lock();
        if own.config.map(|config| config.window_seconds) != config.map(|config| config.window_seconds) {
            own.counts = UsageCounts::default();
        }
        own.config = config;
    }

    /// Counts a request of `tenant` that an engine started at `began`.
    pub fn record(&self, tenant: &TenantName, began: Timestamp) {
        let now = self.clock.now();
        let mut own = self.lock();
        let Some(config) = own.config else {
            return;
        };
        let true_time = own.true_time.at(now, unix_time());
        let window = config.window_at(true_time.saturating_sub(now.since(began)));
        own.counts.record(window, tenant);
    }

    /// This node's estimate of the true time.
    pub fn true_time(&self) -> Duration {
        let now = self.clock.now();
        self.lock().true_time.at(now, unix_time())
    }

    /// Calls `read` with the counts, after removing expired windows.
    pub fn with_counts<T>(&self, read: impl FnOnce(&UsageCounts) -> T) -> T {
        let true_time = self.true_time();
        let mut own = self.lock();
        if let Some(config) = own.config {
            own.counts.forget_before(config.first_kept(true_time));
        }
        read(&own.counts)
    }

    fn lock(&self) -> MutexGuard<'_, OwnUsage> {
        // The numbers are consistent after every change, even if a thread panicked while it held the lock.
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The time since 1970 by the wall clock, which may jump.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
