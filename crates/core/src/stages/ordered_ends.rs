//! Engines that ended after they were ordered to change their stage: when that goes on, orders are what ends them.
//!
//! Each change is limited by itself, and an engine that is gone makes room for the next change. An order that ends its
//! engine (a stage whose start fails, weights that don't load) would go through the whole fleet so.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::{Timestamp, doubled};
use crate::world::ServiceName;

/// Limits of [`OrderedEnds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedEndsConfig {
    /// Changes in a row that ended with their engine before no more begin. One or two may be chance.
    pub ends_until_paused: u32,
    /// How long no more begin then; doubled by each further end.
    pub first_pause: Duration,
    /// The longest pause.
    pub longest_pause: Duration,
}

impl Default for OrderedEndsConfig {
    fn default() -> Self {
        OrderedEndsConfig {
            ends_until_paused: 3,
            first_pause: Duration::from_secs(120),
            longest_pause: Duration::from_secs(3_600),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct EndsInRow {
    count: u32,
    paused_until: Timestamp,
}

/// The changes of each service that ended with their engine, since one last succeeded.
#[derive(Clone, Debug)]
pub struct OrderedEnds {
    config: OrderedEndsConfig,
    in_row: BTreeMap<ServiceName, EndsInRow>,
}

impl OrderedEnds {
    /// No engine has ended.
    pub fn new(config: OrderedEndsConfig) -> Self {
        OrderedEnds { config, in_row: BTreeMap::new() }
    }

    /// Notes that an engine serves the stage that it was ordered to.
    pub fn note_done(&mut self, service: &ServiceName) {
        self.in_row.remove(service);
    }

    /// Notes that engines are gone that had been ordered; those that are found gone at once count once, as engines of one rack.
    pub fn note_gone(&mut self, service: &ServiceName, now: Timestamp) {
        let row = self.in_row.entry(service.clone()).or_default();
        row.count += 1;
        let Some(further) = row.count.checked_sub(self.config.ends_until_paused) else {
            return;
        };
        row.paused_until = now + doubled(self.config.first_pause, further, self.config.longest_pause);
    }

    /// For how long no change of the service begins; zero when one may.
    pub fn pause(&self, service: &ServiceName, now: Timestamp) -> Duration {
        self.in_row.get(service).map_or(Duration::ZERO, |row| row.paused_until.since(now))
    }
}
