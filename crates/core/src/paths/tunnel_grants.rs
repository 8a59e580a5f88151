//! The peers that a node has offered tunnels to, and the tunnels that are open for them.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use super::tunnel_messages::TunnelToken;
use crate::time::Timestamp;
use crate::world::Address;

/// Limits of [`TunnelGrants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelGrantsConfig {
    /// How long a secret is accepted after the last offer that contained it.
    pub validity: Duration,
    /// The most tunnels that are open at the same time, for all peers together. Each takes two file descriptors and two
    /// buffers.
    pub open_maximum: u32,
}

impl Default for TunnelGrantsConfig {
    fn default() -> Self {
        TunnelGrantsConfig { validity: Duration::from_secs(10), open_maximum: 384 }
    }
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    token: TunnelToken,
    offered_at: Timestamp,
}

/// The secrets that a node has sent to its peers.
#[derive(Clone, Debug)]
pub struct TunnelGrants {
    config: TunnelGrantsConfig,
    grants: HashMap<Address, Grant>,
    open: u32,
}

impl TunnelGrants {
    /// No grants yet.
    pub fn new(config: TunnelGrantsConfig) -> Self {
        TunnelGrants { config, grants: HashMap::new(), open: 0 }
    }

    /// The tunnels that are open.
    pub fn open(&self) -> u32 {
        self.open
    }

    /// Whether another tunnel may be opened.
    pub fn has_room(&self) -> bool {
        self.open < self.config.open_maximum
    }

    /// The secret of an offer to `peer`: the one that it has already, else `fresh`.
    pub fn offer(&mut self, peer: Address, fresh: TunnelToken, now: Timestamp) -> TunnelToken {
        let validity = self.config.validity;
        self.grants.retain(|_, grant| now.since(grant.offered_at) < validity);
        let grant = self.grants.entry(peer).or_insert(Grant { token: fresh, offered_at: now });
        grant.offered_at = now;
        grant.token
    }

    /// The peer that `token` was offered to, if the connection comes from its address.
    pub fn authorize(&self, token: TunnelToken, source: IpAddr, now: Timestamp) -> Option<Address> {
        let valid = self.grants.iter().filter(|(_, grant)| now.since(grant.offered_at) < self.config.validity);
        let mut matching = valid.filter(|(peer, grant)| grant.token == token && peer.0.ip() == source);
        matching.next().map(|(peer, _)| *peer)
    }

    /// The peers with a valid secret.
    pub fn peers(&self, now: Timestamp) -> Vec<Address> {
        let valid = self.grants.iter().filter(|(_, grant)| now.since(grant.offered_at) < self.config.validity);
        valid.map(|(peer, _)| *peer).collect()
    }

    /// Counts a tunnel that was opened.
    pub fn record_opened(&mut self) {
        self.open += 1;
    }

    /// Counts a tunnel that was closed.
    pub fn record_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}
