//! The regions of the engines that this node uses.

use std::collections::HashMap;

use super::engine_tag::EngineTag;
use crate::back_ends::BackEnd;
use crate::world::{RegionName, Topology};

/// The regions of engines; empty unless the topology spans regions.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineRegions {
    topology: Topology,
    regions: HashMap<EngineTag, RegionName>,
}

impl EngineRegions {
    /// Sets the regions of the zones, for engines that are recorded from now on.
    pub(super) fn set_topology(&mut self, topology: Topology) {
        self.topology = topology;
    }

    /// Records the region of `engine`, if it is known.
    pub(super) fn record(&mut self, engine: &BackEnd) {
        if !self.topology.spans_regions() {
            return;
        }
        let tag = EngineTag::from(&engine.id);
        match self.topology.region_of(&engine.zone) {
            Some(region) => drop(self.regions.insert(tag, region.clone())),
            None => drop(self.regions.remove(&tag)),
        }
    }

    /// The region of `engine`; `None` when it is not known.
    pub(super) fn get(&self, engine: EngineTag) -> Option<&RegionName> {
        self.regions.get(&engine)
    }

    /// Removes engines that are not `present`.
    pub(super) fn retain(&mut self, present: impl Fn(EngineTag) -> bool) {
        self.regions.retain(|engine, _| present(*engine));
    }
}
