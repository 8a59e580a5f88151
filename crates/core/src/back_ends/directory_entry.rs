//! A back end in the directory, and whether requests may be sent to it.

use std::time::Duration;

use super::back_end::{BackEnd, BackEndState};
use crate::time::Timestamp;

/// How long a back end that started to drain, or whose entry was removed, may still get requests if its service has no
/// other.
///
/// Entries of live back ends disappear for a while when the store is down, and a draining back end keeps serving for at
/// least two seconds. This time is well below that, since the update itself takes a while to arrive.
pub const LAST_RESORT: Duration = Duration::from_millis(1_000);

/// Whether a back end may be sent a request. Greater values are more restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usability {
    /// It may get requests.
    Usable,
    /// It started to drain, or its entry was removed, a moment ago: only if its service has no usable back end.
    LastResort,
    /// It must not get requests.
    Unusable,
}

/// A back end with the node's observations of its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The back end as last read.
    pub back_end: BackEnd,
    /// When the node learned that it drains or that its entry was removed; in the future for an entry that should be
    /// written again until then.
    pub retired_at: Option<Timestamp>,
    /// Whether the store still lists the entry.
    pub listed: bool,
    /// Until when it gets no requests, because the store lists it again only as part of an older snapshot.
    pub quarantined_until: Option<Timestamp>,
    /// Whether this incarnation announced its drain before the store was restored: the snapshot may not contain it.
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

    /// An entry that was just read; `retired_before` is when the same incarnation was first known to drain.
    pub(super) fn read(back_end: BackEnd, retired_before: Option<Timestamp>, now: Timestamp) -> Self {
        let is_draining = back_end.state == BackEndState::Draining;
        let retired_at = is_draining.then(|| retired_before.unwrap_or(now));
        DirectoryEntry { back_end, retired_at, listed: true, quarantined_until: None, drained_before_restore: false }
    }

    /// Records that the store doesn't list the entry from `at` on.
    pub(super) fn mark_unlisted(&mut self, at: Timestamp) {
        let retired_at = self.retired_at.map_or(at, |retired_at| retired_at.min(at));
        self.retired_at = Some(retired_at);
        self.listed = false;
    }
}
