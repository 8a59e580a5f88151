//! Pools: groups of engines, each dispatched to and controlled by one node.
//!
//! A pool is the unit of dispatch and of authority. One node owns it. The owner placed all in-flight work of the
//! engines, so it knows this work exactly, and only the owner sends orders to the engines, so a role change drains
//! without messages between nodes. `docs/adr/0001-pools.md` compares this design with one controller per zone.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::engine::Engine;
use super::names::{EngineName, ModelName, RegionName, ZoneName};
use super::zone::Zone;

/// Identifies a pool. All nodes derive the same identifiers from the same configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct PoolId {
    /// The model that all engines of the pool serve.
    pub model: ModelName,
    /// The region of all engines of the pool.
    pub region: RegionName,
    /// The zone, if the pool is confined to one zone.
    pub zone: Option<ZoneName>,
    /// The index of the pool among those of its model in the zone or region.
    pub shard: u16,
}

impl fmt::Display for PoolId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = self.zone.as_ref().map_or(self.region.as_str(), ZoneName::as_str);
        write!(formatter, "{}/{}/{}", self.model, place, self.shard)
    }
}

/// A pool and its engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// The pool's identifier.
    pub id: PoolId,
    /// The engines, ordered by name.
    pub engines: Vec<EngineName>,
    /// The zones of the pool's engines; only nodes in these zones may own the pool.
    pub zones: Vec<ZoneName>,
}

/// Rules for grouping engines into pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLayout {
    /// A zone with at least this many engines of a model has its own pools; the engines of smaller zones are grouped
    /// into pools of the region.
    pub zone_minimum: u16,
    /// The maximum number of engines in a pool; it limits the dispatch work of one node.
    pub size_maximum: u16,
}

impl Default for PoolLayout {
    fn default() -> Self {
        PoolLayout { zone_minimum: 8, size_maximum: 24 }
    }
}

/// Groups `engines` into pools. The result depends only on the arguments, not on the order of their items.
pub fn group_into_pools(zones: &[Zone], engines: &[Engine], layout: PoolLayout) -> Vec<Pool> {
    let mut by_zone: BTreeMap<(ModelName, RegionName, ZoneName), Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        let Some(zone) = zones.iter().find(|zone| zone.name == engine.zone) else { continue };
        let key = (engine.model.clone(), zone.region.clone(), zone.name.clone());
        by_zone.entry(key).or_default().push(engine);
    }
    let mut groups: BTreeMap<(ModelName, RegionName, Option<ZoneName>), Vec<&Engine>> = BTreeMap::new();
    for ((model, region, zone), engines) in by_zone {
        let has_own_pools = engines.len() >= usize::from(layout.zone_minimum);
        let key = (model, region, has_own_pools.then_some(zone));
        groups.entry(key).or_default().extend(engines);
    }
    groups
        .into_iter()
        .flat_map(|((model, region, zone), engines)| {
            split_evenly(engines, layout.size_maximum).into_iter().enumerate().map(move |(shard, engines)| {
                let id = PoolId {
                    model: model.clone(),
                    region: region.clone(),
                    zone: zone.clone(),
                    shard: u16::try_from(shard).unwrap_or(u16::MAX),
                };
                build_pool(id, &engines)
            })
        })
        .collect()
}

fn split_evenly(mut engines: Vec<&Engine>, size_maximum: u16) -> Vec<Vec<&Engine>> {
    engines.sort_by(|left, right| left.name.cmp(&right.name));
    let pools = engines.len().div_ceil(usize::from(size_maximum.max(1))).max(1);
    let mut split = vec![Vec::new(); pools];
    for (index, engine) in engines.into_iter().enumerate() {
        split[index % pools].push(engine);
    }
    split
}

fn build_pool(id: PoolId, engines: &[&Engine]) -> Pool {
    let mut zones: Vec<ZoneName> = engines.iter().map(|engine| engine.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    Pool { id, engines: engines.iter().map(|engine| engine.name.clone()).collect(), zones }
}
