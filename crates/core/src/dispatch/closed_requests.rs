//! Identities of closed requests, which must never start, or never start again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::request::RequestId;
use crate::time::Timestamp;
use crate::verdict::NotRun;

/// How a request was closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Closed {
    /// The request never started; a later message for it gets the same refusal.
    NeverStarted(NotRun),
    /// The request started and has ended.
    Ended,
}

/// Stores closed requests for the retention time, at most `maximum` of them.
///
/// No entry is removed before the retention ends: the dispatcher checks [`ClosedRequests::has_room_for`] before it
/// accepts a request that needs an entry later. So a message that is in transit for less than the retention never
/// starts a closed request.
#[derive(Debug)]
pub(super) struct ClosedRequests {
    maximum: usize,
    retention: Duration,
    by_request: BTreeMap<RequestId, Closed>,
    by_time: VecDeque<(Timestamp, RequestId)>,
}

impl ClosedRequests {
    pub(super) fn new(maximum: usize, retention: Duration) -> Self {
        ClosedRequests { maximum, retention, by_request: BTreeMap::new(), by_time: VecDeque::new() }
    }

    /// Whether there is room for one more request besides `open` ones, each of which needs an entry once it closes.
    pub(super) fn has_room_for(&self, open: usize) -> bool {
        self.by_request.len() + open < self.maximum
    }

    pub(super) fn get(&self, request: RequestId) -> Option<&Closed> {
        self.by_request.get(&request)
    }

    pub(super) fn insert(&mut self, request: RequestId, closed: Closed, now: Timestamp) {
        if self.by_request.insert(request, closed).is_none() {
            self.by_time.push_back((now, request));
        }
    }

    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        while let Some(&(closed_at, request)) = self.by_time.front()
            && now.since(closed_at) >= self.retention
        {
            self.by_time.pop_front();
            self.by_request.remove(&request);
        }
    }
}
