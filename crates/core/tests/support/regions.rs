//! A topology of three regions with two zones each, and back ends in them.

use std::collections::BTreeMap;

use havengate_core::back_ends::{BackEnd, EngineStage, Usability};
use havengate_core::relay::Candidate;
use havengate_core::world::{RegionName, Topology, ZoneName};

use super::relay_fixture::back_end;

/// The zones; the first letter of a zone names its region.
pub const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];

/// The topology as a node in `own_zone` knows it.
pub fn topology(own_zone: &str) -> Topology {
    let region_of = |zone: &str| (ZoneName::from(zone), RegionName::from(&zone[..1]));
    Topology::new(own_zone.into(), ZONES.into_iter().map(region_of).collect::<BTreeMap<_, _>>())
}

/// A back end in `zone`.
#[allow(dead_code, reason = "not each test binary uses each part of the fixture")]
pub fn back_end_in(zone: &str, number: u8, stage: Option<EngineStage>) -> BackEnd {
    BackEnd { zone: zone.into(), ..back_end(number, stage) }
}

/// Back ends in these zones, numbered from 1.
#[allow(dead_code, reason = "not each test binary uses each part of the fixture")]
pub fn back_ends_in(zones: &[&str], stage: Option<EngineStage>) -> Vec<BackEnd> {
    (1..).zip(zones).map(|(number, zone)| back_end_in(zone, number, stage)).collect()
}

/// A candidate without requests in flight.
pub fn candidate(back_end: &BackEnd) -> Candidate<'_> {
    Candidate { back_end, usability: Usability::Usable, healthy: true, connectable: true, in_flight: 0 }
}
