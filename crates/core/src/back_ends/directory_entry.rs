//! A back end in the directory, and whether it may be sent to.

use std::time::Duration;

use super::back_end::{BackEnd, BackEndState};
use crate::time::Timestamp;

/// How long a back end that has just left, or vanished, may still be sent to when its service has no other.
///
/// Entries of back ends that are alive vanish for a while when the store is down, and a back end that leaves goes on
/// serving for at least two seconds. The time is well below those, since the news itself takes a while.
pub const LAST_RESORT: Duration = Duration::from_millis(1_000);

/// Whether a back end may be sent a request; of two, the greater one allows less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usability {
    /// It may.
    Usable,
    /// It left a moment ago: only when its service has no usable one.
    LastResort,
    /// It may not.
    Unusable,
}

/// A back end with what the node has noticed about its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The back end as last read.
    pub back_end: BackEnd,
    /// When the node learned that it leaves or that its entry vanished; ahead for one that is to be written again until then.
    pub retired_at: Option<Timestamp>,
    /// Whether the store still lists it.
    pub listed: bool,
    /// Until when it gets nothing, since the store lists it again only because it came back from an older copy.
    pub quarantined_until: Option<Timestamp>,
    /// Whether this life said that it leaves before the store went back: the copy may not know of it.
    pub drained_before_restore: bool,
}

impl DirectoryEntry {
    /// Whether the back end may be sent a request at `now`.
    pub fn usability(&self, now: Timestamp) -> Usability {
        if self.quarantined_until.is_some_and(|until| now < until) {
            return Usability::Unusable;
        }
        match self.retired_at {
            None => Usability::Usable,
            Some(retired_at) if now < retired_at => Usability::Usable,
            Some(retired_at) if now.since(retired_at) < LAST_RESORT => Usability::LastResort,
            Some(_) => Usability::Unusable,
        }
    }

    /// An entry that was just read; `left_before` is when the same life was known to leave.
    pub(super) fn read(back_end: BackEnd, retired_before: Option<Timestamp>, now: Timestamp) -> Self {
        let is_draining = back_end.state == BackEndState::Draining;
        let retired_at = is_draining.then(|| retired_before.unwrap_or(now));
        DirectoryEntry { back_end, retired_at, listed: true, quarantined_until: None, drained_before_restore: false }
    }

    /// Notes that the entry is gone from `at` on.
    pub(super) fn mark_unlisted(&mut self, at: Timestamp) {
        let retired_at = self.retired_at.map_or(at, |retired_at| retired_at.min(at));
        self.retired_at = Some(retired_at);
        self.listed = false;
    }
}
