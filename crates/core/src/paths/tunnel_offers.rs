//! The offers of tunnels that a node has received, and the choice among them.

use std::collections::HashMap;
use std::time::Duration;

use super::group::PathGroup;
use super::tunnel_messages::{TunnelOffer, TunnelToken};
use crate::time::Timestamp;
use crate::world::{Address, Distance, ZoneName};

/// Limits of [`TunnelOffers`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TunnelOffersConfig {
    /// How long an offer is used: a few intervals between queries.
    pub validity: Duration,
    /// What a tunnel to another zone of the region costs, in tunnels that are open at the peer.
    pub other_zone_cost: u32,
    /// What a tunnel to another region costs, in tunnels that are open at the peer.
    pub other_region_cost: u32,
    /// Peers whose cost exceeds the least by up to this much are chosen from at random: their reports are as old as the
    /// last offer, and all nodes that know the same offers would choose the same peer.
    pub tolerance: u32,
}

impl Default for TunnelOffersConfig {
    fn default() -> Self {
        TunnelOffersConfig {
            validity: Duration::from_secs(5),
            other_zone_cost: 16,
            other_region_cost: 64,
            tolerance: 4,
        }
    }
}

#[derive(Clone, Debug)]
struct ReceivedOffer {
    zone: ZoneName,
    token: TunnelToken,
    /// The tunnels open at the peer when it sent the offer, and those that this node has opened there since.
    open: u32,
    received_at: Timestamp,
}

/// A peer to open a tunnel through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChosenPeer {
    /// The peer's address for notices and tunnels.
    pub peer: Address,
    /// The secret to present.
    pub token: TunnelToken,
}

/// The offers that a node has received from its peers.
#[derive(Clone, Debug)]
pub struct TunnelOffers {
    config: TunnelOffersConfig,
    offers: HashMap<PathGroup, HashMap<Address, ReceivedOffer>>,
}

impl TunnelOffers {
    /// No offers yet.
    pub fn new(config: TunnelOffersConfig) -> Self {
        TunnelOffers { config, offers: HashMap::new() }
    }

    /// Adds an offer, or replaces the earlier one of the same peer.
    pub fn receive(&mut self, offer: TunnelOffer, now: Timestamp) {
        let TunnelOffer { sender, zone, group, token, open } = offer;
        let received = ReceivedOffer { zone, token, open, received_at: now };
        self.offers.entry(group).or_default().insert(sender, received);
    }

    /// Removes all offers of `peer`.
    pub fn remove_peer(&mut self, peer: Address) {
        self.offers.values_mut().for_each(|offers| drop(offers.remove(&peer)));
    }

    /// The peers with a valid offer for `group`.
    pub fn peers(&self, group: &PathGroup, now: Timestamp) -> Vec<Address> {
        self.valid(group, now).map(|(peer, _)| *peer).collect()
    }

    /// Whether `peer` has a valid offer, for any group.
    pub fn has_offer_of(&self, peer: Address, now: Timestamp) -> bool {
        let validity = self.config.validity;
        let mut offers = self.offers.values().filter_map(|offers| offers.get(&peer));
        offers.any(|offer| now.since(offer.received_at) < validity)
    }

    /// Chooses the peer for a tunnel to `group` among those not in `avoid`, and counts the tunnel: near ones and those
    /// with few tunnels come first. `distance` returns the distance to a zone.
    pub fn choose(
        &mut self,
        group: &PathGroup,
        avoid: &[Address],
        distance: impl Fn(&ZoneName) -> Distance,
        random: &mut fastrand::Rng,
        now: Timestamp,
    ) -> Option<ChosenPeer> {
        let allowed = self.valid(group, now).filter(|(peer, _)| !avoid.contains(peer));
        let mut costs: Vec<(Address, u32)> =
            allowed.map(|(peer, offer)| (*peer, self.cost(offer, distance(&offer.zone)))).collect();
        let least = costs.iter().map(|(_, cost)| *cost).min()?;
        costs.retain(|(_, cost)| *cost <= least + self.config.tolerance);
        // The order of a hash map must not decide.
        costs.sort_unstable();
        let (peer, _) = costs[random.usize(..costs.len())];
        let offer = self.offers.get_mut(group)?.get_mut(&peer)?;
        offer.open += 1;
        Some(ChosenPeer { peer, token: offer.token })
    }

    /// Removes expired offers.
    pub fn tidy(&mut self, now: Timestamp) {
        let validity = self.config.validity;
        self.offers.retain(|_, offers| {
            offers.retain(|_, offer| now.since(offer.received_at) < validity);
            !offers.is_empty()
        });
    }

    fn valid(&self, group: &PathGroup, now: Timestamp) -> impl Iterator<Item = (&Address, &ReceivedOffer)> {
        let validity = self.config.validity;
        let offers = self.offers.get(group).into_iter().flatten();
        offers.filter(move |(_, offer)| now.since(offer.received_at) < validity)
    }

    fn cost(&self, offer: &ReceivedOffer, distance: Distance) -> u32 {
        let distance_cost = match distance {
            Distance::SameZone => 0,
            Distance::SameRegion => self.config.other_zone_cost,
            Distance::OtherRegion => self.config.other_region_cost,
        };
        offer.open.saturating_add(distance_cost)
    }
}
