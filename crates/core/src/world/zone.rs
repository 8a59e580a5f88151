//! Zones, their machines and the links between zones.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::address::Address;
use super::names::{RegionName, ZoneName};

/// A zone and the region it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone's name, unique in the deployment.
    pub name: ZoneName,
    /// The region that contains the zone.
    pub region: RegionName,
}

/// The one-way latency between two zones; links are symmetric.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: ZoneName,
    /// The other end.
    pub to: ZoneName,
    /// The latency of a packet in one direction.
    #[serde(with = "humantime_serde")]
    pub latency: Duration,
}

/// A machine that runs one havengate node.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// The address where the node listens for its peers, on TCP and UDP.
    pub address: Address,
    /// The zone of the machine.
    pub zone: ZoneName,
}
