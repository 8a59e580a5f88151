//! What an engine tells of itself, late and with gaps: load reports and cache events.

use std::collections::VecDeque;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::time::Timestamp;
use havengate_node::engines::dialect::{CacheEvent, CacheEvents, LoadReport};

use super::config::EngineModelConfig;
use super::memory::CacheChange;

/// The shortest time between two samples of the load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The load of the last seconds, read with a lag.
#[derive(Debug)]
pub(super) struct LoadSamples {
    lag: Duration,
    samples: VecDeque<(Timestamp, LoadReport)>,
}

impl LoadSamples {
    pub(super) fn new(lag: Duration) -> Self {
        LoadSamples { lag, samples: VecDeque::new() }
    }

    /// Whether a sample is due after a change at `now`.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.samples.back().is_none_or(|(at, _)| now.since(*at) >= SAMPLE_INTERVAL)
    }

    pub(super) fn add(&mut self, now: Timestamp, load: LoadReport) {
        self.samples.push_back((now, load));
        while self.samples.get(1).is_some_and(|(at, _)| now.since(*at) >= self.lag) {
            self.samples.pop_front();
        }
    }

    /// The newest sample that is at least as old as the lag; an idle report when there is none.
    pub(super) fn read(&self, now: Timestamp) -> LoadReport {
        let is_old = |(at, _): &&(Timestamp, LoadReport)| now.since(*at) >= self.lag;
        let Some((at, load)) = self.samples.iter().rev().find(is_old) else {
            return LoadReport { age_ms: self.lag.as_millis() as u64, ..LoadReport::default() };
        };
        LoadReport { age_ms: now.since(*at).as_millis() as u64, ..load.clone() }
    }
}

/// Cache events that readers ask for by sequence number.
#[derive(Debug)]
pub(super) struct CacheFeed {
    lag: Duration,
    loss: f64,
    maximum: usize,
    random: Rng,
    newest: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

impl CacheFeed {
    pub(super) fn new(config: &EngineModelConfig, incarnation: u64) -> Self {
        CacheFeed {
            lag: config.cache_event_lag,
            loss: config.cache_event_loss,
            maximum: config.cache_events_maximum,
            random: Rng::with_seed(config.seed ^ incarnation),
            newest: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event. A lost one leaves a gap in the sequence numbers.
    pub(super) fn add(&mut self, now: Timestamp, change: CacheChange) {
        self.newest += 1;
        if self.random.f64() < self.loss {
            return;
        }
        let event = CacheEvent { sequence: self.newest, stored: change.stored, removed: change.removed };
        self.events.push_back((now + self.lag, event));
        if self.events.len() > self.maximum {
            self.events.pop_front();
        }
    }

    /// The events after number `after` that are visible by `now`.
    pub(super) fn read(&self, after: u64, now: Timestamp) -> CacheEvents {
        let visible = self.events.iter().take_while(|(visible_at, _)| *visible_at <= now);
        let events: Vec<CacheEvent> =
            visible.map(|(_, event)| event).filter(|event| event.sequence > after).cloned().collect();
        let next = events.last().map_or(after.min(self.newest), |event| event.sequence);
        CacheEvents { events, next }
    }
}
