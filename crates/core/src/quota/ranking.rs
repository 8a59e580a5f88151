//! The nodes that may be the home of a tenant, in rank order.

use std::collections::BTreeMap;

use crate::membership::rank_by_address;
use crate::world::{Address, TenantName};

/// How many nodes are considered as home of a tenant. When half of the nodes are unreachable, one tenant in 256 has none
/// left until the peers are updated.
pub(super) const CANDIDATES_MAXIMUM: usize = 8;

/// The candidates of each tenant, computed at the first use after a change of the peers: ranking 330 nodes for each
/// request would cost more than the request.
#[derive(Debug)]
pub(super) struct Rankings {
    own: Address,
    peers: Vec<Address>,
    ranked: BTreeMap<TenantName, Vec<Address>>,
}

impl Rankings {
    pub(super) fn new(own: Address) -> Self {
        Rankings { own, peers: Vec::new(), ranked: BTreeMap::new() }
    }

    pub(super) fn own(&self) -> Address {
        self.own
    }

    /// Sets the peers and returns whether they changed.
    pub(super) fn set_peers(&mut self, peers: &[Address]) -> bool {
        let is_known = |peer: &Address| *peer == self.own || self.peers.binary_search(peer).is_ok();
        if peers.len() == self.peers.len() && peers.iter().all(is_known) {
            return false;
        }
        self.peers = peers.iter().copied().filter(|peer| *peer != self.own).collect();
        self.peers.sort_unstable();
        self.peers.dedup();
        self.ranked.clear();
        true
    }

    /// The peers, in ascending order.
    pub(super) fn peers(&self) -> &[Address] {
        &self.peers
    }

    pub(super) fn has_peer(&self, address: Address) -> bool {
        self.peers.binary_search(&address).is_ok()
    }

    /// The candidates for the home of `tenant`, the first-ranked one first.
    pub(super) fn of(&mut self, tenant: &TenantName) -> &[Address] {
        if !self.ranked.contains_key(tenant) {
            let candidates = self.rank(tenant);
            self.ranked.insert(tenant.clone(), candidates);
        }
        &self.ranked[tenant]
    }

    /// The candidates for the home of `tenant` that are ranked before `node`; all if it is no candidate.
    pub(super) fn before(&mut self, tenant: &TenantName, node: Address) -> impl Iterator<Item = Address> {
        self.of(tenant).iter().copied().take_while(move |candidate| *candidate != node)
    }

    /// Like [`Rankings::of`], without storing the result.
    pub(super) fn peek(&self, tenant: &TenantName) -> Vec<Address> {
        self.ranked.get(tenant).cloned().unwrap_or_else(|| self.rank(tenant))
    }

    fn rank(&self, tenant: &TenantName) -> Vec<Address> {
        let nodes = self.peers.iter().copied().chain([self.own]);
        let mut ranked = rank_by_address(tenant.as_str().as_bytes(), nodes, |address| *address);
        ranked.truncate(CANDIDATES_MAXIMUM);
        ranked
    }
}
