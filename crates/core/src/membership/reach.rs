//! Which other zones a delegate can reach.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::ZoneName;

/// The time at which each other zone last answered this node. Tracked only while the node is a delegate.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneReach {
    answered_at: BTreeMap<ZoneName, Option<Timestamp>>,
}

impl ZoneReach {
    /// Sets the zones to watch. A new zone gets the full timeout, unless it is known to be unreachable.
    pub(super) fn watch(&mut self, zones: &[ZoneName], unreachable: &BTreeSet<ZoneName>, now: Timestamp) {
        self.answered_at.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            let first = (!unreachable.contains(zone)).then_some(now);
            self.answered_at.entry(zone.clone()).or_insert(first);
        }
    }

    /// Records that a member of the zone has answered.
    pub(super) fn record_answer(&mut self, zone: &ZoneName, now: Timestamp) {
        if let Some(answered_at) = self.answered_at.get_mut(zone) {
            *answered_at = Some(now);
        }
    }

    /// Whether the zone has not answered for `limit`.
    pub(super) fn is_silent(&self, zone: &ZoneName, limit: Duration, now: Timestamp) -> bool {
        self.answered_at.get(zone).is_some_and(|last| last.is_none_or(|last| now.since(last) >= limit))
    }

    /// The zones that have not answered for `timeout`.
    pub(super) fn unreachable(&self, timeout: Duration, now: Timestamp) -> Vec<ZoneName> {
        self.answered_at.keys().filter(|zone| self.is_silent(zone, timeout, now)).cloned().collect()
    }

    /// Stops watching all zones.
    pub(super) fn clear(&mut self) {
        self.answered_at.clear();
    }
}
