//! Pools: the groups of engines that one node dispatches for and controls.
//!
//! A pool is the unit of dispatch and of authority. One node owns it: that node knows each engine's in-flight work
//! exactly, since it placed it, and it alone gives the pool's engines orders, so a role change drains without a
//! message between nodes. `docs/adr/0001-pools.md` weighs this against a controller for each zone.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::engine::Engine;
use super::names::{EngineName, ModelName, RegionName, ZoneName};
use super::zone::Zone;

/// Identifies a pool. Equal configurations give equal identifiers on every node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize)]
pub struct PoolId {
    /// The model that all engines of the pool serve.
    pub model: ModelName,
    /// The region of all engines of the pool.
    pub region: RegionName,
    /// The zone, when the pool lies in one zone only.
    pub zone: Option<ZoneName>,
    /// Counts the pools of one model in one zone or region.
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
    /// The pool's identity.
    pub id: PoolId,
    /// The engines, in the order of their names.
    pub engines: Vec<EngineName>,
    /// The zones in which the pool's engines stand; only nodes of these zones may own the pool.
    pub zones: Vec<ZoneName>,
}

/// How engines are grouped into pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolLayout {
    /// A zone with at least this many engines of a model has pools of its own; the others share one of the region.
    pub zone_minimum: u16,
    /// The most engines in one pool; it bounds what one node dispatches for.
    pub size_maximum: u16,
}

impl Default for PoolLayout {
    fn default() -> Self {
        PoolLayout { zone_minimum: 8, size_maximum: 24 }
    }
}

/// Groups `engines` into pools; the result depends only on the arguments, whatever their order.
pub fn group_into_pools(zones: &[Zone], engines: &[Engine], layout: PoolLayout) -> Vec<Pool> {
    let mut by_zone: BTreeMap<(ModelName, RegionName, ZoneName), Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        let Some(zone) = zones.iter().find(|zone| zone.name == engine.zone) else { continue };
        let key = (engine.model.clone(), zone.region.clone(), zone.name.clone());
        by_zone.entry(key).or_default().push(engine);
    }
    let mut groups: BTreeMap<(ModelName, RegionName, Option<ZoneName>), Vec<&Engine>> = BTreeMap::new();
    for ((model, region, zone), engines) in by_zone {
        let own_pool = engines.len() >= usize::from(layout.zone_minimum);
        let key = (model, region, own_pool.then_some(zone));
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
                pool_of(id, &engines)
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

fn pool_of(id: PoolId, engines: &[&Engine]) -> Pool {
    let mut zones: Vec<ZoneName> = engines.iter().map(|engine| engine.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    Pool { id, engines: engines.iter().map(|engine| engine.name.clone()).collect(), zones }
}
