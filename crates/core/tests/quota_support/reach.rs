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
const DISCOVERY_PAUSE: Duration = Duration::from_secs(1);
const RELEVANT_SHARE: f64 = 0.75;
const STEP: f64 = 0.1;

/// A report: how many peers a node sees, and the most that any has seen.
#[derive(Clone, Copy)]
pub struct Report {
    pub peers: usize,
    pub most_peers: usize,
}

pub struct Reach {
    started: Timestamp,
    seen: BTreeMap<Address, Timestamp>,
    most_peers: usize,
    risen_at: Timestamp,
    reported_peers: usize,
    digests: VecDeque<(Timestamp, f64)>,
    isolated_since: Option<Timestamp>,
}

impl Reach {
    pub fn new(now: Timestamp) -> Self {
        Reach {
            started: now,
            seen: BTreeMap::new(),
            most_peers: 0,
            risen_at: now,
            reported_peers: 0,
            digests: VecDeque::new(),
            isolated_since: None,
        }
    }

    /// Records the nodes whose digests reach this one, each with its report.
    pub fn update(&mut self, reaching: impl Iterator<Item = (Address, Report)>, now: Timestamp) {
        let mut expected = 0.0;
        for (sender, Report { peers, most_peers }) in reaching {
            self.reported_peers = self.reported_peers.max(most_peers);
            self.seen.insert(sender, now);
            expected += DIGESTS_PER_SECOND * STEP * RECEIVERS.min(peers) as f64 / peers.max(1) as f64;
        }
        self.seen.retain(|_, at| now.since(*at) < SEEN);
        if self.seen.len() > self.most_peers {
            (self.most_peers, self.risen_at) = (self.seen.len(), now);
        }
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

    /// The report that this node sends its peers.
    pub fn report(&self) -> Report {
        Report { peers: self.seen.len(), most_peers: self.most_peers.max(self.reported_peers) }
    }

    pub fn share(&self, now: Timestamp) -> f64 {
        let is_barred = self.isolated_since.is_some_and(|since| now.since(since) < ISOLATION);
        if is_barred || self.most_peers == 0 {
            0.0
        } else {
            let is_discovering = now.since(self.risen_at) < DISCOVERY_PAUSE;
            let is_relevant = ((self.most_peers + 1) as f64) < RELEVANT_SHARE * (self.reported_peers + 1) as f64;
            let most = if is_relevant && !is_discovering { self.reported_peers } else { self.most_peers };
            (self.seen.len() + 1) as f64 / (most + 1) as f64
        }
    }
}
