//! Which other zones a delegate can reach.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::ZoneName;

/// When each other zone last answered this node. Kept only while the node is a delegate.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneReach {
    heard_at: BTreeMap<ZoneName, Option<Timestamp>>,
}

impl ZoneReach {
    /// Takes up the zones to be watched: a new one gets the full time, unless it is known to be unreachable.
    pub(super) fn watch(&mut self, zones: &[ZoneName], unreachable: &BTreeSet<ZoneName>, now: Timestamp) {
        self.heard_at.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            let first = (!unreachable.contains(zone)).then_some(now);
            self.heard_at.entry(zone.clone()).or_insert(first);
        }
    }

    /// A member of the zone has answered.
    pub(super) fn heard(&mut self, zone: &ZoneName, now: Timestamp) {
        if let Some(heard_at) = self.heard_at.get_mut(zone) {
            *heard_at = Some(now);
        }
    }

    /// Whether the zone has not answered for `limit`.
    pub(super) fn is_silent(&self, zone: &ZoneName, limit: Duration, now: Timestamp) -> bool {
        self.heard_at.get(zone).is_some_and(|heard| heard.is_none_or(|heard| now.since(heard) >= limit))
    }

    /// The zones that have not answered for `timeout`.
    pub(super) fn unreachable(&self, timeout: Duration, now: Timestamp) -> Vec<ZoneName> {
        self.heard_at.keys().filter(|zone| self.is_silent(zone, timeout, now)).cloned().collect()
    }

    /// Stops watching.
    pub(super) fn clear(&mut self) {
        self.heard_at.clear();
    }
}
