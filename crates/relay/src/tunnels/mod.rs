//! Tunnels to back ends through peers, for a node that has lost its own paths.
//!
//! A tunnel carries the bytes of one connection to a back end. The node that took a caller's request keeps all of it:
//! placement, retries, limits and deadlines. The peer only connects and copies bytes, and never opens a tunnel for a
//! tunnel.

mod client;
mod copy;
mod ended;
mod server;

use std::cell::RefCell;
use std::rc::Rc;

use havengate_core::paths::{
    PathGroup, TunnelGrants, TunnelGrantsConfig, TunnelId, TunnelOffer, TunnelOffers, TunnelOffersConfig, TunnelQuery,
    TunnelToken,
};
use havengate_core::world::{Address, Topology};
use havengate_node::clock::Clock;
use tokio::sync::Notify;

pub use self::client::{Tunnel, TunnelError};
use self::ended::EndedTunnels;
pub use self::server::serve_tunnels;
use crate::metrics::RelayMetrics;
use crate::paths::{BackEndPaths, PROOF_AGE};

/// The tunnels of a node, for its own requests and for its peers. Clones share the state.
#[derive(Clone)]
pub struct Tunnels {
    shared: Rc<Shared>,
}

struct Shared {
    offers: RefCell<TunnelOffers>,
    grants: RefCell<TunnelGrants>,
    ended: RefCell<EndedTunnels>,
    /// Wakes requests that wait for an offer.
    offer_received: Notify,
    paths: BackEndPaths,
    topology: Topology,
    clock: Clock,
    metrics: RelayMetrics,
}

impl Tunnels {
    /// Starts without offers.
    pub fn new(paths: BackEndPaths, topology: Topology, clock: Clock, metrics: RelayMetrics) -> Self {
        Tunnels {
            shared: Rc::new(Shared {
                offers: RefCell::new(TunnelOffers::new(TunnelOffersConfig::default())),
                grants: RefCell::new(TunnelGrants::new(TunnelGrantsConfig::default())),
                ended: RefCell::default(),
                offer_received: Notify::new(),
                paths,
                topology,
                clock,
                metrics,
            }),
        }
    }

    /// The offer that answers `query`; `None` if this node doesn't reach the back ends for certain or has no room.
    pub fn offer_for(&self, query: &TunnelQuery, own: Address) -> Option<TunnelOffer> {
        let now = self.shared.clock.now();
        let mut grants = self.shared.grants.borrow_mut();
        if !grants.has_room() || !self.shared.paths.is_proven(&query.group, PROOF_AGE) {
            return None;
        }
        Some(TunnelOffer {
            sender: own,
            zone: self.shared.topology.own_zone().clone(),
            group: query.group.clone(),
            token: grants.offer(query.sender, random_token()?, now),
            open: grants.open(),
        })
    }

    /// Adds the offer of a peer.
    pub fn receive_offer(&self, offer: TunnelOffer) {
        self.shared.offers.borrow_mut().receive(offer, self.shared.clock.now());
        self.shared.offer_received.notify_waiters();
    }

    /// Drops the offers of `peer`: it stops, or can't be reached.
    pub fn drop_offers_of(&self, peer: Address) {
        self.shared.offers.borrow_mut().remove_peer(peer);
    }

    /// Whether an idle tunnel through `peer` may carry another request.
    pub fn is_offered_by(&self, peer: Address) -> bool {
        self.shared.offers.borrow().has_offer_of(peer, self.shared.clock.now())
    }

    /// The peers that offer tunnels to `group`.
    pub fn offering_peers(&self, group: &PathGroup) -> Vec<Address> {
        self.shared.offers.borrow().peers(group, self.shared.clock.now())
    }

    /// The peers that this node has offered tunnels to.
    pub fn granted_peers(&self) -> Vec<Address> {
        self.shared.grants.borrow().peers(self.shared.clock.now())
    }

    /// The tunnels that are open for peers.
    pub fn open_for_peers(&self) -> u32 {
        self.shared.grants.borrow().open()
    }

    /// Removes expired offers.
    pub fn tidy(&self) {
        self.shared.offers.borrow_mut().tidy(self.shared.clock.now());
    }
}

/// A new secret; `None` if the operating system provides no random numbers.
fn random_token() -> Option<TunnelToken> {
    Some(TunnelToken(getrandom::u64().ok()?, getrandom::u64().ok()?))
}

/// A new identity for a tunnel.
fn random_id() -> TunnelId {
    TunnelId(fastrand::u64(..))
}
