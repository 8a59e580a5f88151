//! The identities of recent requests, bounded.

use std::collections::{HashSet, VecDeque};

use havengate_core::request::RequestId;

/// Remembers the last `maximum` requests that were added.
#[derive(Debug)]
pub(super) struct RecentRequests {
    maximum: usize,
    members: HashSet<RequestId>,
    by_age: VecDeque<RequestId>,
}

impl RecentRequests {
    pub(super) fn new(maximum: usize) -> Self {
        RecentRequests { maximum, members: HashSet::new(), by_age: VecDeque::new() }
    }

    pub(super) fn contains(&self, request: RequestId) -> bool {
        self.members.contains(&request)
    }

    pub(super) fn insert(&mut self, request: RequestId) {
        if !self.members.insert(request) {
            return;
        }
        self.by_age.push_back(request);
        if self.by_age.len() > self.maximum
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.members.remove(&oldest);
        }
    }
}
