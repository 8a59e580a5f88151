//! Starts the processes of a deployment, as threads of this one.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use displaydoc::Display;
use havengate_core::world::{Address, Engine, EngineName};
use havengate_node::node::{Node, StartError, Surroundings};
use havengate_node::platform::dialect::MachineEntry;
use havengate_node::settings::LogSettings;

use super::bootstrap::{BootstrapError, put_in_force};
use super::gate::{ZoneCut, ZoneGate};
use crate::deployment::{Deployment, DeploymentMachine};
use crate::engine::model::EngineModelConfig;
use crate::engine::server::{EngineHandle, EngineServer, EngineServerError};
use crate::platform::model::{PlatformFaults, PlatformModelConfig};
use crate::platform::server::{PlatformHandle, PlatformServer};

/// Why a deployment can't be started.
#[derive(Debug, Display, thiserror::Error)]
pub enum ClusterError {
    /// the stand-in platform can't be started: {0}
    Platform(#[from] io::Error),
    /// a stand-in engine can't be started: {0}
    Engine(#[from] EngineServerError),
    /// a node can't be started: {0}
    Node(#[from] StartError),
    /// the configuration can't be put in force: {0}
    Bootstrap(#[from] BootstrapError),
}

/// A running deployment.
pub struct Cluster {
    /// What it was started from.
    pub deployment: Deployment,
    /// The stand-in platform.
    pub platform: PlatformHandle,
    /// The stand-in engines.
    pub engines: BTreeMap<EngineName, EngineHandle>,
    /// The nodes, by the address where peers reach them.
    pub nodes: BTreeMap<Address, Node>,
    /// Cuts a zone off from the others.
    pub zone_cut: ZoneCut,
}

impl Cluster {
    /// Starts all processes and puts the deployment's configuration in force.
    ///
    /// # Errors
    /// When a socket can't be had, or the configuration is not accepted in time.
    pub fn start(deployment: Deployment) -> Result<Cluster, ClusterError> {
        let platform = start_platform(&deployment)?;
        let mut engines = BTreeMap::new();
        for engine in &deployment.configuration.engines {
            engines.insert(engine.name.clone(), start_engine(&deployment, engine)?);
        }
        let mut cluster =
            Cluster { deployment, platform, engines, nodes: BTreeMap::new(), zone_cut: ZoneCut::default() };
        for machine in cluster.deployment.machines.clone() {
            cluster.start_node(&machine)?;
        }
        put_in_force(&cluster.deployment)?;
        Ok(cluster)
    }

    /// Starts the node of a machine.
    ///
    /// # Errors
    /// When its sockets can't be had.
    pub fn start_node(&mut self, machine: &DeploymentMachine) -> Result<(), ClusterError> {
        let gate = ZoneGate::new(&self.deployment, machine.zone.clone(), self.zone_cut.clone());
        let surroundings = Surroundings { gate: Arc::new(gate), ..Surroundings::default() };
        let settings = self.deployment.node_settings(machine, LogSettings::default());
        let node = Node::start_in(settings, surroundings)?;
        self.nodes.insert(machine.peers_address, node);
        Ok(())
    }

    /// Stops everything at once.
    pub fn stop(self) {
        for (_, node) in self.nodes {
            node.stop();
        }
    }
}

fn start_platform(deployment: &Deployment) -> io::Result<PlatformHandle> {
    let options = &deployment.platform;
    let config = PlatformModelConfig {
        watches_maximum: usize::from(options.readers_maximum),
        machine_list_lag: options.machine_list_lag,
        ..PlatformModelConfig::default()
    };
    let platform = PlatformServer::start(config, options.address.0)?;
    platform.set_faults(PlatformFaults { reply_delay: options.call_latency, ..PlatformFaults::default() });
    for machine in deployment.platform_machines() {
        platform.set_machine(MachineEntry { address: machine.address, zone: machine.zone, leaving: false });
    }
    Ok(platform)
}

fn start_engine(deployment: &Deployment, engine: &Engine) -> Result<EngineHandle, EngineServerError> {
    let model = deployment.configuration.models.iter().find(|model| model.name == engine.model);
    let (version, performance) = model.map(|model| (model.version, model.performance)).unwrap_or_default();
    let options = &deployment.engines;
    let config = EngineModelConfig {
        load_time: options.model_load,
        load_lag: options.load_report_lag,
        cache_event_lag: options.cache_event_delay,
        cache_event_loss: options.cache_event_loss,
        ..EngineModelConfig::for_engine(engine, version, performance)
    };
    EngineServer::start(config, engine.address.0)
}
