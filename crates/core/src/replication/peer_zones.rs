//! The zones of the other nodes, as they and others announce them.

use std::collections::{BTreeMap, BTreeSet};

use super::message::{LocationNotice, PeerAddresses};
use crate::world::{Address, ZoneName};

/// The zone of a peer and its source.
#[derive(Clone, Debug)]
struct PeerZone {
    zone: ZoneName,
    /// Whether the peer itself announced it. Others may still announce the zone of a former node at the address.
    is_self_announced: bool,
}

/// The zones of the known peers, by the addresses where they receive notices. A zone is kept as long as the peer is
/// known.
#[derive(Clone, Debug, Default)]
pub struct PeerZones {
    zones: BTreeMap<Address, PeerZone>,
}

impl PeerZones {
    /// Applies a notice of `sender`, one of the known `peers`. Locations of nodes that are not known are ignored, so that
    /// the table doesn't outgrow the nodes.
    pub fn receive(&mut self, notice: &LocationNotice, sender: PeerAddresses, peers: &BTreeSet<Address>) {
        for (address, zone) in notice.locations.iter().filter(|(address, _)| peers.contains(address)) {
            let is_self_announced = *address == sender.notices;
            let is_superseded =
                self.zones.get(address).is_some_and(|known| known.is_self_announced && !is_self_announced);
            if !is_superseded {
                self.zones.insert(*address, PeerZone { zone: zone.clone(), is_self_announced });
            }
        }
    }

    /// Removes the zones of nodes that are not among `peers`.
    pub fn retain(&mut self, peers: &BTreeSet<Address>) {
        self.zones.retain(|address, _| peers.contains(address));
    }

    /// The zone of the peer that receives notices at `address`; `None` when it is not known.
    pub fn get(&self, address: &Address) -> Option<&ZoneName> {
        self.zones.get(address).map(|known| &known.zone)
    }

    /// All known zones.
    pub fn iter(&self) -> impl Iterator<Item = (&Address, &ZoneName)> {
        self.zones.iter().map(|(address, known)| (address, &known.zone))
    }

    /// The notice that accompanies a digest that lists `peers`: the sender's own location, and those of the listed peers
    /// whose zone is known.
    pub fn notice(&self, own: PeerAddresses, own_zone: &ZoneName, peers: &[PeerAddresses]) -> LocationNotice {
        let listed = peers.iter().filter_map(|peer| Some((peer.notices, self.get(&peer.notices)?.clone())));
        let locations = [(own.notices, own_zone.clone())].into_iter().chain(listed).collect();
        LocationNotice { sender: own.control, locations }
    }
}
