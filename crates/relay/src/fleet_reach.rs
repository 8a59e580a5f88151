//! How many of the other nodes this node can reach, shared between the control thread and the traffic thread.

use std::sync::{Arc, Mutex, PoisonError};

use havengate_core::quota::{FleetReach, ReachReport};
use havengate_core::replication::Digest;
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

/// A [`FleetReach`] that the control thread updates and the traffic thread reads. Clones share the state.
#[derive(Clone, Debug)]
pub struct SharedFleetReach {
    state: Arc<Mutex<ReportedReach>>,
}

#[derive(Debug)]
struct ReportedReach {
    reach: FleetReach,
    /// Whether the node was isolated when its peers were last counted.
    was_isolated: bool,
    /// The last grant share that was reported, in tenths.
    reported_tenths: u32,
}

/// A change of the share of all nodes for which this node may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareChange {
    /// The share, from 0 to 1.
    pub share: f64,
    /// The peers seen recently.
    pub peers: u32,
    /// The most peers in the last hour.
    pub most_peers: u32,
}

impl SharedFleetReach {
    /// The reach of a node that starts at `now`.
    pub fn new(now: Timestamp) -> Self {
        let state = ReportedReach { reach: FleetReach::new(now), was_isolated: false, reported_tenths: 0 };
        SharedFleetReach { state: Arc::new(Mutex::new(state)) }
    }

    /// The share of all nodes that this node may grant for at `now`, from 0 to 1.
    pub fn grant_share(&self, now: Timestamp) -> f64 {
        self.with(|state| state.reach.grant_share(now))
    }

    /// Whether this node is cut off from most others at `now`.
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        self.with(|state| state.reach.is_isolated(now))
    }

    /// Records that this digest of a peer has arrived at the node at `own`.
    pub fn record_digest(&self, digest: &Digest, own: Address, now: Timestamp) {
        let sighted = digest.peers.iter().chain([&digest.sender]).map(|peer| peer.control);
        self.with(|state| {
            state.reach.record_digest(now);
            sighted.filter(|peer| *peer != own).for_each(|peer| state.reach.record_sighting(peer, now));
        });
    }

    /// Sets the number of peers seen recently, and whether the seeds name other nodes. Returns whether the node is
    /// isolated now, if that has changed since the last call.
    pub fn set_peers(&self, peers: usize, seeds_name_others: bool, now: Timestamp) -> Option<bool> {
        self.with(|state| {
            state.reach.set_peers(peers, seeds_name_others, now);
            let isolated = state.reach.is_isolated(now);
            let was_isolated = std::mem::replace(&mut state.was_isolated, isolated);
            (isolated != was_isolated).then_some(isolated)
        })
    }

    /// The report that this node sends its peers.
    pub fn report(&self, now: Timestamp) -> ReachReport {
        self.with(|state| state.reach.report(now))
    }

    /// Applies the report of a peer.
    pub fn record_report(&self, report: ReachReport, now: Timestamp) {
        self.with(|state| state.reach.record_report(report, now));
    }

    /// The grant share at `now`, if it has changed by a tenth since this last returned one.
    pub fn take_share_change(&self, now: Timestamp) -> Option<ShareChange> {
        self.with(|state| {
            let share = state.reach.grant_share(now);
            let tenths = (share * 10.0).round() as u32;
            let (peers, most_peers) = state.reach.peer_counts(now);
            let before = std::mem::replace(&mut state.reported_tenths, tenths);
            (before != tenths).then_some(ShareChange { share, peers, most_peers })
        })
    }

    /// The lock is held only for short calculations, so the threads hardly wait for each other.
    fn with<R>(&self, use_state: impl FnOnce(&mut ReportedReach) -> R) -> R {
        use_state(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
