//! Identities of requests that are closed: they must never start, or never start again.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::request::RequestId;
use crate::time::Timestamp;
use crate::verdict::NotRun;

/// How a request was closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Closed {
    /// It never started; the refusal is repeated to a message that arrives later.
    NeverStarted(NotRun),
    /// It started and has ended.
    Ended,
}

/// Remembers closed requests for a time, and never more than a number of them.
///
/// Nothing is forgotten before its time: the caller asks [`ClosedRequests::has_room_for`] before it takes on something
/// that will have to be remembered. So a message that is under way for less than the retention never starts a request
/// that was closed.
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

    /// Whether one more request can be remembered besides `open` ones, each of which will be closed some time.
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

    pub(super) fn forget_old(&mut self, now: Timestamp) {
        while let Some(&(closed_at, request)) = self.by_time.front()
            && now.since(closed_at) >= self.retention
        {
            self.by_time.pop_front();
            self.by_request.remove(&request);
        }
    }
}
