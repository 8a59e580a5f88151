//! The cost of the distance between zones: for requests from a node to a back end, and for KV cache transfers between
//! engines. It is 0 in deployments of a single region.

use std::time::Duration;

use super::placement_config::PlacementConfig;
use crate::world::{Distance, RegionName, Topology, ZoneName};

/// The time of a round trip between regions, from a one-way latency of 30 ms. Round trips between zones of a region take
/// 1 ms, which estimates leave out.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(60);

/// How much longer a KV cache transfer takes between zones of a region than within a zone.
const ZONE_TRANSFER_FACTOR: f64 = 2.0;

/// How much longer a KV cache transfer takes between regions than within a zone.
pub(super) const REGION_TRANSFER_FACTOR: f64 = 10.0;

/// Engines that fetch cached parts from each other at the cost of a transfer within a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheScope<'a> {
    /// All engines: the deployment has a single region.
    Deployment,
    /// The engines of a region.
    Region(&'a RegionName),
    /// The engines of a zone whose region is not known.
    Zone(&'a ZoneName),
}

/// The cost of distances, by the topology and the placement settings.
#[derive(Clone, Copy, Debug)]
pub struct DistanceCost<'a> {
    /// `None` in a single region.
    topology: Option<&'a Topology>,
    config: &'a PlacementConfig,
}

impl<'a> DistanceCost<'a> {
    /// The cost of distances in `topology`; none if it has a single region.
    pub fn new(topology: Option<&'a Topology>, config: &'a PlacementConfig) -> Self {
        DistanceCost { topology: topology.filter(|topology| topology.spans_regions()), config }
    }

    /// Whether distance is considered.
    pub fn applies(&self) -> bool {
        self.topology.is_some()
    }

    /// The cost of sending a request from the node to `zone`, in requests in flight.
    pub fn hop_requests(&self, zone: &ZoneName) -> f64 {
        self.by_distance(zone, self.config.zone_hop_requests, self.config.region_hop_requests)
    }

    /// The cost of sending a long prompt from the node to `zone`, in milliseconds.
    pub fn hop_millis(&self, zone: &ZoneName) -> f64 {
        self.by_distance(zone, self.config.zone_hop_milliseconds, self.config.region_hop_milliseconds)
    }

    /// The time that a request from the node to `zone` and its answer spend between regions.
    pub fn round_trip(&self, zone: &ZoneName) -> Duration {
        if self.is_other_region(zone) { REGION_ROUND_TRIP } else { Duration::ZERO }
    }

    /// Whether `zone` is in another region than the node.
    pub fn is_other_region(&self, zone: &ZoneName) -> bool {
        self.topology.is_some_and(|topology| topology.distance(zone) == Distance::OtherRegion)
    }

    /// How much longer a KV cache transfer between these zones takes than one within a zone. Always 1 in a single region,
    /// where the estimate of transfers covers those between zones too.
    pub fn transfer_factor(&self, from: &ZoneName, to: &ZoneName) -> f64 {
        match self.topology.map(|topology| topology.between(from, to)) {
            None | Some(Distance::SameZone) => 1.0,
            Some(Distance::SameRegion) => ZONE_TRANSFER_FACTOR,
            Some(Distance::OtherRegion) => REGION_TRANSFER_FACTOR,
        }
    }

    /// The engines that fetch cached parts from those of `zone` within a region.
    pub fn cache_scope<'z>(&self, zone: &'z ZoneName) -> CacheScope<'z>
    where
        'a: 'z,
    {
        match self.topology {
            None => CacheScope::Deployment,
            Some(topology) => topology.region_of(zone).map_or(CacheScope::Zone(zone), CacheScope::Region),
        }
    }

    /// Whether engines of these zones fetch cached parts from each other within a region.
    pub fn is_same_scope(&self, one: &ZoneName, other: &ZoneName) -> bool {
        self.cache_scope(one) == self.cache_scope(other)
    }

    fn by_distance(&self, zone: &ZoneName, zone_hop: f64, region_hop: f64) -> f64 {
        match self.topology.map(|topology| topology.distance(zone)) {
            None | Some(Distance::SameZone) => 0.0,
            Some(Distance::SameRegion) => zone_hop,
            Some(Distance::OtherRegion) => region_hop,
        }
    }
}
