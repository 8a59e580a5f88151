//! What a node sees of the others, and for what share of the nodes it may grant, as the design page describes it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use havengate_core::time::Timestamp;
use havengate_core::world::Address;

const SEEN: Duration = Duration::from_secs(10);
const DIGEST_WINDOW: Duration = Duration::from_secs(2);
const DIGESTS_PER_SECOND: f64 = 5.0;
const RECEIVERS: usize = 3;
const ISOLATION: Duration = Duration::from_secs(12);
const STEP: f64 = 0.1;

pub struct Reach {
    started: Timestamp,
    seen: BTreeMap<Address, Timestamp>,
    most_peers: usize,
    digests: VecDeque<(Timestamp, f64)>,
    isolated_since: Option<Timestamp>,
}

impl Reach {
    pub fn new(now: Timestamp) -> Self {
        Reach { started: now, seen: BTreeMap::new(), most_peers: 0, digests: VecDeque::new(), isolated_since: None }
    }

    /// Records the nodes whose digests reach this one, each with the number of its peers.
    pub fn update(&mut self, reaching: impl Iterator<Item = (Address, usize)>, now: Timestamp) {
        let mut expected = 0.0;
        for (sender, peers) in reaching {
            self.seen.insert(sender, now);
            expected += DIGESTS_PER_SECOND * STEP * RECEIVERS.min(peers) as f64 / peers.max(1) as f64;
        }
        self.seen.retain(|_, at| now.since(*at) < SEEN);
        self.most_peers = self.most_peers.max(self.seen.len());
        self.digests.push_back((now, expected));
        while self.digests.front().is_some_and(|(at, _)| now.since(*at) >= DIGEST_WINDOW) {
            self.digests.pop_front();
        }
        let received: f64 = self.digests.iter().map(|(_, count)| count).sum();
        let normal = DIGEST_WINDOW.as_secs_f64() * DIGESTS_PER_SECOND * RECEIVERS.min(self.seen.len()) as f64;
        let is_isolated = received < normal / 2.0 && now.since(self.started) >= DIGEST_WINDOW;
        self.isolated_since = is_isolated.then(|| self.isolated_since.unwrap_or(now));
    }

    pub fn peers(&self) -> Vec<Address> {
        self.seen.keys().copied().collect()
    }

    pub fn peer_count(&self) -> usize {
        self.seen.len()
    }

    pub fn share(&self, now: Timestamp) -> f64 {
        let is_barred = self.isolated_since.is_some_and(|since| now.since(since) < ISOLATION);
        if is_barred || self.most_peers == 0 {
            0.0
        } else {
            (self.seen.len() + 1) as f64 / (self.most_peers + 1) as f64
        }
    }
}
