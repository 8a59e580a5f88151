//! For what share of the nodes a home may grant, so that the homes on both sides of a partition together don't grant
//! more than the limit.

use std::collections::VecDeque;
use std::time::Duration;

use speedy::{Readable, Writable};

use super::sightings::Sightings;
use super::window_peak::WindowPeak;
use crate::time::Timestamp;
use crate::world::Address;

/// The time in which arriving digests are counted.
const COUNTING_WINDOW: Duration = Duration::from_secs(2);

/// Digests for each two of at most [`SENDERS_MAXIMUM`] peers in the counting window, below which there is a shortage.
/// With digests every 200 ms, 20 arrive, or 18 with clocks that drift by 5 % and late timers; this is half of 18.
const SHORTAGE_PER_TWO_SENDERS: usize = 9;

/// As [`SHORTAGE_PER_TWO_SENDERS`], for the end of the isolation. It is higher, because the count varies at random: with
/// a quarter of the digests, it would otherwise reach the lower mark every few seconds.
const RECOVERY_PER_TWO_SENDERS: usize = 12;

/// Each digest is sent to this number of peers, so a node receives digests at the rate of this many senders, however
/// many nodes there are.
const SENDERS_MAXIMUM: usize = 3;

/// A shortage that lasts this long is an isolation. A node that is cut off falls below half after 1 s and is isolated
/// after 2 s. A shorter shortage is usually chance: without this time, nodes that receive everything would be isolated
/// for 0.1 % of the time.
const SHORTAGE_CONFIRMATION: Duration = Duration::from_secs(1);

/// How long an isolated node grants nothing. By then the nodes on the other side no longer count it as seen, which
/// takes 10 s after the last digest that came from it to them or their peers.
const ISOLATION_HOLD: Duration = Duration::from_secs(12);

/// How long the number of peers counts towards the share after it was seen: an hour, which is how long partitions
/// occasionally last, with a margin for clocks that are 5 % fast.
const PEAK_WINDOW: Duration = Duration::from_secs(66 * 60);

/// Fleet sizes in peers' reports are used once this node has discovered no peer for this time. While a fleet or a node
/// starts, almost every digest brings new peers.
const DISCOVERY_PAUSE: Duration = Duration::from_secs(1);

/// A number of peers that was not updated for this time is outdated: the control thread updates it every 200 ms, unless
/// the process was suspended.
const PEERS_VALIDITY: Duration = Duration::from_secs(2);

/// For how long a report may be on its way. Without it, and rounded down, the age of a size that nodes report to each other
/// would never reach [`PEAK_WINDOW`].
const REPORT_DELAY_MAXIMUM: Duration = Duration::from_secs(1);

/// An estimate of the reachable nodes counts only when it is below this share of those seen in the last 10 s, and the size
/// of the fleet in peers' reports only when this node has seen less than this share of it. In a
/// partition in which neither side is isolated, both sides are below it; estimates of a healthy fleet vary by a few
/// percent.
const RELEVANT_SHARE: f64 = 0.75;

/// How long a low estimate counts. It covers the time in which the number of peers seen falls after a partition, and
/// lets the share rise only after the peers have been sighted again for some time.
const ESTIMATE_HOLD: Duration = Duration::from_secs(4);

/// A node's report to its peers about the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReachReport {
    /// The peers that the node sees.
    pub peers: u32,
    /// The most peers that any node has seen, as far as this one knows.
    pub most_peers: u32,
    /// How long ago that was at most, in seconds.
    pub most_age_seconds: u32,
}

/// A node's estimate of whether it is cut off from others, and for what share of the nodes it may grant.
#[derive(Clone, Debug)]
pub struct FleetReach {
    /// The arrivals of the latest digests, no more than are needed to detect a recovery.
    arrivals: VecDeque<Timestamp>,
    /// When the first digest arrived; `None`: no peer was seen since the start.
    first_arrival: Option<Timestamp>,
    /// Whether the seeds name other nodes; assumed until the number of peers is first set.
    seeds_name_others: bool,
    /// The peers seen recently, and when this number was set.
    peers: u32,
    peers_set_at: Timestamp,
    /// The most peers during the time of an isolation. The number of digests to expect must not fall with the peers
    /// that an isolated node no longer sees.
    expected_peers: WindowPeak,
    /// The most peers that this node has seen in the last [`PEAK_WINDOW`].
    most_peers: WindowPeak,
    /// When `most_peers` last rose.
    most_risen_at: Timestamp,
    /// The most peers that other nodes have seen in the last [`PEAK_WINDOW`], by their reports.
    reported_peers: WindowPeak,
    sightings: Sightings,
    /// How many of the most peers are estimated to be out of reach; 0 while the estimate is not low.
    missing_peers: WindowPeak,
    shortage_since: Option<Timestamp>,
    isolated_since: Option<Timestamp>,
}

impl FleetReach {
    /// The reach of a node that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        FleetReach {
            arrivals: VecDeque::new(),
            first_arrival: None,
            seeds_name_others: true,
            peers: 0,
            peers_set_at: now,
            expected_peers: WindowPeak::new(ISOLATION_HOLD),
            most_peers: WindowPeak::new(PEAK_WINDOW),
            most_risen_at: now,
            reported_peers: WindowPeak::new(PEAK_WINDOW),
            sightings: Sightings::default(),
            missing_peers: WindowPeak::new(ESTIMATE_HOLD),
            shortage_since: None,
            isolated_since: None,
        }
    }

    /// Records that a digest of a peer has arrived.
    pub fn record_digest(&mut self, now: Timestamp) {
        self.record_transitions(now);
        self.first_arrival.get_or_insert(now);
        self.arrivals.push_back(now);
        while self.arrivals.len() > digests_of_senders(SENDERS_MAXIMUM, RECOVERY_PER_TWO_SENDERS) {
            self.arrivals.pop_front();
        }
        self.recover(now);
    }

    /// Records that a digest came from this peer, or listed it.
    pub fn record_sighting(&mut self, peer: Address, now: Timestamp) {
        self.sightings.record(peer, now);
    }

    /// Sets the number of peers seen recently, and whether the seeds name other nodes than this one.
    pub fn set_peers(&mut self, peers: usize, seeds_name_others: bool, now: Timestamp) {
        self.record_transitions(now);
        self.peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.peers_set_at = now;
        self.seeds_name_others = seeds_name_others;
        self.expected_peers.record(self.peers, now);
        if self.peers > self.most_peers.get() {
            self.most_risen_at = now;
        }
        self.most_peers.record(self.peers, now);
        self.reported_peers.expire(now);
        let missing = self.estimate_missing(now);
        self.missing_peers.record(missing, now);
        self.recover(now);
    }

    /// Whether so few digests arrive that this node is cut off from most others.
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        self.isolation_start(now).is_some()
    }

    /// The share of all nodes that this node may grant for at `now`, from 0 to 1.
    pub fn grant_share(&self, now: Timestamp) -> f64 {
        let has_seen_none = self.first_arrival.is_none() && self.seeds_name_others;
        let is_outdated = now.since(self.peers_set_at) > PEERS_VALIDITY;
        let is_held = self.isolation_start(now).is_some_and(|start| now.since(start) < ISOLATION_HOLD);
        if has_seen_none || is_outdated || is_held {
            return 0.0;
        }
        let most = self.fleet_peers(now);
        let reachable = self.peers.min(most.saturating_sub(self.missing_peers.get()));
        (f64::from(reachable) + 1.0) / (f64::from(most) + 1.0)
    }

    /// The report that this node sends its peers.
    pub fn report(&self, now: Timestamp) -> ReachReport {
        let largest = [&self.reported_peers, &self.most_peers].into_iter().max_by_key(|peak| peak.get());
        let age = largest.and_then(WindowPeak::recorded_at).map_or(Duration::ZERO, |at| now.since(at));
        let most_age_seconds = u32::try_from((age + REPORT_DELAY_MAXIMUM).as_secs() + 1).unwrap_or(u32::MAX);
        let most_peers = largest.map_or(0, WindowPeak::get);
        ReachReport { peers: self.peers, most_peers, most_age_seconds }
    }

    /// Applies the report of a peer. From it a node that has restarted behind a partition learns how many nodes are on
    /// the other side.
    pub fn record_report(&mut self, report: ReachReport, now: Timestamp) {
        let most_at = now - Duration::from_secs(u64::from(report.most_age_seconds));
        self.reported_peers.record_earlier(report.most_peers, most_at, now);
    }

    /// The number of peers seen recently, and the most in the last hour, by this node or another.
    pub fn peer_counts(&self, now: Timestamp) -> (u32, u32) {
        (self.peers, self.fleet_peers(now))
    }

    /// The most peers in the last [`PEAK_WINDOW`], this node's measure of the size of the fleet.
    fn fleet_peers(&self, now: Timestamp) -> u32 {
        let discovered_at = self.first_arrival.map_or(now, |first_arrival| first_arrival.max(self.most_risen_at));
        let (own, reported) = (self.most_peers.get(), self.reported_peers.get());
        let is_relevant = f64::from(own) + 1.0 < RELEVANT_SHARE * (f64::from(reported) + 1.0);
        if is_relevant && now.since(discovered_at) >= DISCOVERY_PAUSE { reported } else { own }
    }

    /// How many of the most peers are estimated to be out of reach, if they are a relevant share.
    fn estimate_missing(&self, now: Timestamp) -> u32 {
        let most = self.fleet_peers(now);
        let estimate = self.sightings.estimate_peers(most, now);
        let is_low = |estimate: &f64| estimate + 1.0 < RELEVANT_SHARE * (f64::from(most) + 1.0);
        // Conversions of floating-point numbers to integers saturate.
        estimate.filter(is_low).map_or(0, |estimate| most.saturating_sub(estimate.round() as u32))
    }

    /// Digests in the counting window when each two of the expected senders contribute `per_two_senders`.
    fn expected_digests(&self, per_two_senders: usize) -> usize {
        digests_of_senders(self.expected_peers.get() as usize, per_two_senders)
    }

    /// The digests that arrived in the counting window, of the arrivals that are kept.
    fn count(&self, now: Timestamp) -> usize {
        self.arrivals.iter().rev().take_while(|at| now.since(**at) < COUNTING_WINDOW).count()
    }

    /// Since when there has been a shortage of digests at `now`; `None`: there is none.
    fn shortage_start(&self, now: Timestamp) -> Option<Timestamp> {
        let start = || {
            let needed = self.expected_digests(SHORTAGE_PER_TWO_SENDERS).checked_sub(1)?;
            // The count fell below the needed one when the first of the latest that many digests left the window.
            let first_needed = self.arrivals.iter().rev().nth(needed).copied().or(self.first_arrival)?;
            let start = first_needed + COUNTING_WINDOW;
            (start <= now).then_some(start)
        };
        self.shortage_since.or_else(start)
    }

    /// Since when this node has been isolated at `now`; `None`: it is not.
    fn isolation_start(&self, now: Timestamp) -> Option<Timestamp> {
        let start = || {
            let start = self.shortage_start(now)? + SHORTAGE_CONFIRMATION;
            (start <= now).then_some(start)
        };
        self.isolated_since.or_else(start)
    }

    /// Stores the start of a shortage and of an isolation that have begun by `now`; to be called before a change of the
    /// arrivals or peers, from which [`FleetReach::shortage_start`] is computed.
    fn record_transitions(&mut self, now: Timestamp) {
        self.isolated_since = self.isolation_start(now);
        self.shortage_since = self.shortage_start(now);
    }

    /// Ends the shortage and the isolation if enough digests have arrived.
    fn recover(&mut self, now: Timestamp) {
        let count = self.count(now);
        if count >= self.expected_digests(SHORTAGE_PER_TWO_SENDERS) {
            self.shortage_since = None;
        }
        if count >= self.expected_digests(RECOVERY_PER_TWO_SENDERS) {
            self.isolated_since = None;
        }
    }
}

/// The digests of `senders` in the counting window when each two of them contribute `per_two_senders`.
fn digests_of_senders(senders: usize, per_two_senders: usize) -> usize {
    (senders.min(SENDERS_MAXIMUM) * per_two_senders).div_ceil(2)
}
