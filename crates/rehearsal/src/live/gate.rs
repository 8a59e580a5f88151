//! Cuts a zone off from the others.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use havengate_core::world::{Address, ZoneName};
use havengate_node::peers::LinkGate;

use crate::deployment::Deployment;

/// Which zone is cut off, shared by the gates of all nodes.
#[derive(Clone, Debug, Default)]
pub struct ZoneCut {
    zone: Arc<ArcSwapOption<ZoneName>>,
}

impl ZoneCut {
    /// Cuts `zone` off, or no zone.
    pub fn set(&self, zone: Option<ZoneName>) {
        self.zone.store(zone.map(Arc::new));
    }
}

/// The gate of one node: closed between the zone that is cut off and all others, both ways.
#[derive(Clone, Debug)]
pub struct ZoneGate {
    own: ZoneName,
    zones: BTreeMap<Address, ZoneName>,
    cut: ZoneCut,
}

impl ZoneGate {
    /// The gate of a node in the zone `own`.
    pub fn new(deployment: &Deployment, own: ZoneName, cut: ZoneCut) -> Self {
        let zone_of = |machine: &crate::deployment::DeploymentMachine| (machine.peers_address, machine.zone.clone());
        ZoneGate { own, zones: deployment.machines.iter().map(zone_of).collect(), cut }
    }
}

impl LinkGate for ZoneGate {
    fn is_open(&self, to: Address) -> bool {
        let cut = self.cut.zone.load();
        let (Some(cut), Some(zone)) = (cut.as_deref(), self.zones.get(&to)) else { return true };
        (self.own == *cut) == (zone == cut)
    }
}
