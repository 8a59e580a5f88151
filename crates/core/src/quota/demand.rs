//! A tenant's demand at one node.

use std::time::Duration;

use crate::time::Timestamp;

/// The period over which demand is counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Units and requests in the current and in the previous second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    start: Timestamp,
    current: Count,
    previous: Count,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    units: u64,
    requests: u32,
}

impl Demand {
    pub(super) fn record(&mut self, units: u64, now: Timestamp) {
        self.advance(now);
        self.current.units = self.current.units.saturating_add(units);
        self.current.requests = self.current.requests.saturating_add(1);
    }

    /// The units to expect in the next second; 0 if there were fewer than `requests_minimum` requests in the last one.
    pub(super) fn expected_units(&mut self, requests_minimum: u32, now: Timestamp) -> u64 {
        self.advance(now);
        if self.previous.requests < requests_minimum { 0 } else { self.previous.units }
    }

    /// Begins a new period when the current one is over.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.start);
        if elapsed >= WINDOW {
            self.previous = if elapsed < WINDOW * 2 { self.current } else { Count::default() };
            self.current = Count::default();
            self.start = now;
        }
    }
}
