//! An early estimate of the number of reachable peers, from how often the same peers are sighted.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::Address;

/// Sightings older than this are not used.
const LONGEST_WINDOW: Duration = Duration::from_secs(4);

/// Sightings younger than this are always used, so that peers that are suspended for a second still count.
const SHORTEST_WINDOW: Duration = Duration::from_secs(1);

/// Of the sightings between the shortest and the longest window, no more are used than this many for each expected peer.
/// With this number, the standard deviation of an estimate for 60 peers is 6 %, and estimates fall sooner after a
/// partition than with more.
const SIGHTINGS_PER_PEER: usize = 2;

/// With fewer sightings than one for this number of expected peers, an estimate would be too inaccurate.
const PEERS_PER_SIGHTING: usize = 4;

/// The most sightings that are kept, which bounds the memory that forged digests can take. At 330 nodes, 540 arrive
/// within the longest window.
const SIGHTINGS_MAXIMUM: usize = 4_096;

/// The latest sightings of peers: a peer is sighted when a digest comes from it or lists it.
#[derive(Clone, Debug, Default)]
pub(super) struct Sightings {
    latest: VecDeque<(Timestamp, Address)>,
}

impl Sightings {
    pub(super) fn record(&mut self, peer: Address, now: Timestamp) {
        let is_old = |at: Timestamp| now.since(at) >= LONGEST_WINDOW;
        while self.latest.len() >= SIGHTINGS_MAXIMUM || self.latest.front().is_some_and(|(at, _)| is_old(*at)) {
            self.latest.pop_front();
        }
        self.latest.push_back((now, peer));
    }

    /// The estimated number of reachable peers, at most `expected`; `None` with too few sightings.
    ///
    /// With `s` sightings of `d` different peers out of `m` equally likely ones, `d = m (1 - exp(-s / m))` on average.
    pub(super) fn estimate_peers(&self, expected: u32, now: Timestamp) -> Option<f64> {
        let sightings_maximum = (expected as usize).saturating_mul(SIGHTINGS_PER_PEER);
        let is_used =
            |index: usize, age: Duration| age < SHORTEST_WINDOW || (age < LONGEST_WINDOW && index < sightings_maximum);
        let used = self.latest.iter().rev().enumerate().take_while(|(index, (at, _))| is_used(*index, now.since(*at)));
        let used: Vec<Address> = used.map(|(_, (_, peer))| *peer).collect();
        if used.is_empty() || used.len() < expected as usize / PEERS_PER_SIGHTING {
            return None;
        }
        let sightings = used.len() as f64;
        let different = used.into_iter().collect::<BTreeSet<Address>>().len() as f64;
        Some(solve_for_peers(sightings, different, f64::from(expected)))
    }
}

/// Solves `different = peers (1 - exp(-sightings / peers))` for `peers`, up to `maximum`.
fn solve_for_peers(sightings: f64, different: f64, maximum: f64) -> f64 {
    /// Halvings of the interval. The result is precise to a thousandth of a peer for 1,000 peers.
    const STEPS: usize = 20;
    let (mut low, mut high) = (different.min(maximum), maximum);
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        if middle * (1.0 - (-sightings / middle).exp()) < different {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}
