//! State that a directory keeps in case the store is restored from an older snapshot.
//!
//! In the snapshot, entries that were written later are missing, removed entries are present again, and draining back
//! ends may be listed as ready. Live back ends write their entries again; the entries of removed ones expire.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::{BackEndId, BackEndName};

/// How long an entry that is missing from the snapshot stays valid. After that the back end is a last resort for a
/// while. Live back ends write their entries again within about two seconds; a removed one must get no requests by
/// then.
pub const REWRITE_GRACE: Duration = Duration::from_millis(700);

/// How long a removed entry that the snapshot lists again gets no requests: without heartbeats it expires within that
/// time, after three heartbeat intervals.
pub const QUARANTINE: Duration = Duration::from_secs(5);

/// How long a departed incarnation is remembered; snapshots are a few seconds old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// The largest number of departed incarnations that is remembered: a full fleet may be replaced within the retention
/// time.
const DEPARTED_MAXIMUM: usize = 10_000;

#[derive(Clone, Debug)]
struct Departed {
    id: BackEndId,
    at: Timestamp,
}

/// The incarnations that had departed before the store was restored, and the time of the restore.
#[derive(Clone, Debug, Default)]
pub struct PreviousEra {
    departed: BTreeMap<BackEndName, Departed>,
    restored_at: Option<Timestamp>,
}

impl PreviousEra {
    /// Records that an incarnation has departed.
    pub fn record_departed(&mut self, id: &BackEndId, at: Timestamp) {
        if self.departed.len() >= DEPARTED_MAXIMUM {
            self.departed.retain(|_, departed| at.since(departed.at) < DEPARTED_RETENTION);
        }
        if self.departed.len() < DEPARTED_MAXIMUM {
            self.departed.insert(id.name().clone(), Departed { id: id.clone(), at });
        }
    }

    /// Records that an incarnation is present, and not only in a snapshot.
    pub fn record_present(&mut self, id: &BackEndId) {
        self.departed.remove(id.name());
    }

    /// Records that the store was restored from an older snapshot.
    pub fn begin(&mut self, now: Timestamp) {
        self.departed.retain(|_, departed| now.since(departed.at) < DEPARTED_RETENTION);
        self.restored_at = Some(now);
    }

    /// The time until which entries missing from the snapshot stay valid, if it is in the future.
    pub fn held_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.restored_at.map(|at| at + REWRITE_GRACE).filter(|until| now < *until)
    }

    /// The time until which a departed incarnation that is listed again, or an earlier one, gets no requests, if it is
    /// in the future.
    pub fn quarantined_until(&self, id: &BackEndId, now: Timestamp) -> Option<Timestamp> {
        let until = self.restored_at.map(|at| at + QUARANTINE).filter(|until| now < *until)?;
        let is_departed = |departed: &Departed| departed.id == *id || departed.id.started() > id.started();
        self.departed.get(id.name()).is_some_and(is_departed).then_some(until)
    }
}
