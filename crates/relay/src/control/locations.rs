//! The exchange of zones between nodes in several regions, so that each node knows which peers are in its own region.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use havengate_core::replication::{LocationNotice, PeerAddresses, PeerTable, PeerZones};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, Topology, ZoneName};

/// For this time after its start, a node sends locations with each digest: most peers don't know its zone yet.
const STARTUP_TIME: Duration = Duration::from_secs(10);

/// Later, one digest in this number is accompanied by locations. Zones don't change, and locations with each digest would
/// be about 3 KB/s for each node, more than the digests themselves.
const DIGESTS_PER_NOTICE: u32 = 5;

/// Why a location notice is not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedLocations {
    /// The zones of this deployment are not in several regions.
    NotEnabled,
    /// The sender is not a peer that was seen recently.
    UnknownSender,
}

impl RejectedLocations {
    /// The cause in metrics.
    pub fn code(self) -> &'static str {
        match self {
            RejectedLocations::NotEnabled => "not_enabled",
            RejectedLocations::UnknownSender => "unknown_sender",
        }
    }
}

/// The zones of the peers. Clones share the state.
#[derive(Clone)]
pub struct Locations {
    /// The addresses of this node.
    own: PeerAddresses,
    topology: Rc<Topology>,
    zones: Rc<RefCell<PeerZones>>,
    /// When this node started.
    started: Timestamp,
    /// The number of digests sent.
    digests: Rc<Cell<u32>>,
}

impl Locations {
    /// The state of a node that starts at `now`.
    pub fn new(own: PeerAddresses, topology: Topology, now: Timestamp) -> Self {
        Locations { own, topology: Rc::new(topology), zones: Rc::default(), started: now, digests: Rc::default() }
    }

    /// The notice for the receivers of the next digest, which lists `peers`; `None` when none is due.
    pub fn notice_with_digest(&self, peers: &[PeerAddresses], now: Timestamp) -> Option<LocationNotice> {
        let digests = self.digests.get();
        self.digests.set(digests.wrapping_add(1));
        let is_due = now.since(self.started) < STARTUP_TIME || digests.is_multiple_of(DIGESTS_PER_NOTICE);
        let notice = || self.zones.borrow().notice(self.own, self.topology.own_zone(), peers);
        (self.topology.spans_regions() && is_due).then(notice)
    }

    /// Applies the notice of a peer in `table`.
    ///
    /// # Errors
    /// When the deployment is in one region, or the sender is not known.
    pub fn receive(&self, notice: &LocationNotice, table: &PeerTable, now: Timestamp) -> Result<(), RejectedLocations> {
        if !self.topology.spans_regions() {
            return Err(RejectedLocations::NotEnabled);
        }
        let sender = table.recent_peer(notice.sender, now).ok_or(RejectedLocations::UnknownSender)?;
        self.zones.borrow_mut().receive(notice, sender, &notice_addresses(table));
        Ok(())
    }

    /// Removes the zones of peers that are no longer in `table`, and returns the others by notice address.
    pub fn retain_known(&self, table: &PeerTable) -> BTreeMap<Address, ZoneName> {
        if !self.topology.spans_regions() {
            return BTreeMap::new();
        }
        let mut zones = self.zones.borrow_mut();
        zones.retain(&notice_addresses(table));
        zones.iter().map(|(address, zone)| (*address, zone.clone())).collect()
    }

    /// The control addresses of the peers in `table` that are in other regions.
    pub fn distant_peers(&self, table: &PeerTable) -> BTreeSet<Address> {
        if !self.topology.spans_regions() {
            return BTreeSet::new();
        }
        let zones = self.zones.borrow();
        let is_distant =
            |peer: &PeerAddresses| zones.get(&peer.notices).is_some_and(|zone| self.topology.is_in_other_region(zone));
        table.known().filter(is_distant).map(|peer| peer.control).collect()
    }
}

fn notice_addresses(table: &PeerTable) -> BTreeSet<Address> {
    table.known().map(|peer| peer.notices).collect()
}
