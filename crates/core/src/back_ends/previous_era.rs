//! What a directory remembers for the case that the store goes back to an older copy.
//!
//! In the copy an entry may be missing that was written since, one may be there again that was gone, and one may say ready that said it
//! leaves. The back ends that live write their entries again; those that are gone don't, and their entries lapse.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::{BackEndId, BackEndName};

/// How long an entry that the copy lacks counts as it was. After it the back end is a last resort for a while. Those that live are written
/// again within about two seconds; one that is gone must be sent nothing by then.
pub const REWRITE_GRACE: Duration = Duration::from_millis(700);

/// How long an entry that was gone and is there again gets nothing: it lapses until then if nobody keeps it, after three heartbeats.
pub const QUARANTINE: Duration = Duration::from_secs(5);

/// How long a life that is gone is remembered; copies are some seconds old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Lives that are remembered: a fleet may be replaced as a whole in that time.
const DEPARTED_MAXIMUM: usize = 10_000;

#[derive(Clone, Debug)]
struct Departed {
    id: BackEndId,
    at: Timestamp,
}

/// Which lives were gone before the store went back, and when it did.
#[derive(Clone, Debug, Default)]
pub struct PreviousEra {
    departed: BTreeMap<BackEndName, Departed>,
    restored_at: Option<Timestamp>,
}

impl PreviousEra {
    /// Notes that a life is gone.
    pub fn record_departed(&mut self, id: &BackEndId, at: Timestamp) {
        if self.departed.len() >= DEPARTED_MAXIMUM {
            self.departed.retain(|_, departed| at.since(departed.at) < DEPARTED_RETENTION);
        }
        if self.departed.len() < DEPARTED_MAXIMUM {
            self.departed.insert(id.name().clone(), Departed { id: id.clone(), at });
        }
    }

    /// Notes that a life is there, and not only by way of a copy.
    pub fn record_present(&mut self, id: &BackEndId) {
        self.departed.remove(id.name());
    }

    /// Notes that the store has gone back.
    pub fn begin(&mut self, now: Timestamp) {
        self.departed.retain(|_, departed| now.since(departed.at) < DEPARTED_RETENTION);
        self.restored_at = Some(now);
    }

    /// The moment until which entries that the copy lacks count as they were, while that lies ahead.
    pub fn held_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.restored_at.map(|at| at + REWRITE_GRACE).filter(|until| now < *until)
    }

    /// The moment until which nothing is sent to a life that was gone and is listed again, or to one before it, while that lies ahead.
    pub fn quarantined_until(&self, id: &BackEndId, now: Timestamp) -> Option<Timestamp> {
        let until = self.restored_at.map(|at| at + QUARANTINE).filter(|until| now < *until)?;
        let is_departed = |departed: &Departed| departed.id == *id || departed.id.started() > id.started();
        self.departed.get(id.name()).is_some_and(is_departed).then_some(until)
    }
}
