//! The regions of a deployment's zones, and the distance between zones.

use std::collections::{BTreeMap, BTreeSet};

use super::names::{RegionName, ZoneName};

/// How far apart two zones are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Different zones of one region.
    SameRegion,
    /// Zones of different regions.
    OtherRegion,
}

/// The regions of the zones, as one node knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    own_zone: ZoneName,
    regions: BTreeMap<ZoneName, RegionName>,
}

impl Topology {
    /// The topology of a node in `own_zone`.
    pub fn new(own_zone: ZoneName, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Topology { own_zone, regions }
    }

    /// The zone of the node itself.
    pub fn own_zone(&self) -> &ZoneName {
        &self.own_zone
    }

    /// The region of `zone`; `None` when it is not known.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Whether the zones lie in two regions or more. In a single region, distance is not considered.
    pub fn spans_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// The regions, ordered by name.
    pub fn regions(&self) -> BTreeSet<&RegionName> {
        self.regions.values().collect()
    }

    /// Whether `zone` lies in another region than the node. A zone whose region is not known counts as near.
    pub fn is_in_other_region(&self, zone: &ZoneName) -> bool {
        let (own, other) = (self.region_of(&self.own_zone), self.region_of(zone));
        own.is_some() && other.is_some() && own != other
    }

    /// The distance from the node to `zone`.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        self.between(&self.own_zone, zone)
    }

    /// The distance between two zones. A zone whose region is not known counts as one of another region.
    pub fn between(&self, one: &ZoneName, other: &ZoneName) -> Distance {
        if one == other {
            return Distance::SameZone;
        }
        match (self.region_of(one), self.region_of(other)) {
            (Some(one), Some(other)) if one == other => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}
