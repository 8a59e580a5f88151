//! What a deployment file holds.

use std::path::Path;
use std::time::Duration;

use havengate_core::configuration::Configuration;
use havengate_core::control::link_latency;
use havengate_core::world::{Address, Machine, ZoneName};
use havengate_node::settings::{Deadlines, Limits, LogSettings, Settings, read_toml};
use serde::{Deserialize, Serialize};

use super::error::DeploymentError;
use super::stand_ins::{EngineStandInOptions, PlatformStandInOptions};

/// A deployment on one machine: nodes, stand-in engines and a stand-in platform on loopback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// The deployment's name in reports.
    pub name: String,
    /// One-way latency between callers and nodes.
    #[serde(with = "humantime_serde")]
    pub client_latency: Duration,
    /// The machines, each with one node.
    #[serde(rename = "machine")]
    pub machines: Vec<DeploymentMachine>,
    /// The stand-in platform.
    pub platform: PlatformStandInOptions,
    /// The stand-in engines; what each can do stands with its model in the configuration.
    #[serde(default)]
    pub engines: EngineStandInOptions,
    /// Limits of all nodes.
    #[serde(default)]
    pub limits: Limits,
    /// Deadlines of all nodes.
    #[serde(default)]
    pub deadlines: Deadlines,
    /// The configuration in force at the start.
    pub configuration: Configuration,
}

/// A machine of a deployment, with the addresses of its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentMachine {
    /// The zone that the machine stands in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers_address: Address,
    /// Where operators connect.
    pub operators_address: Address,
    /// Where peers connect.
    pub peers_address: Address,
}

impl Deployment {
    /// Reads and validates the deployment file at `path`.
    ///
    /// # Errors
    /// When the file can't be read or parsed, or values are not allowed.
    pub fn load(path: &Path) -> Result<Deployment, DeploymentError> {
        let deployment: Deployment = read_toml(path)?;
        deployment.validate()?;
        Ok(deployment)
    }

    /// The settings of the node on `machine`. Its seeds are the first machine of each zone.
    pub fn node_settings(&self, machine: &DeploymentMachine, log: LogSettings) -> Settings {
        Settings {
            zone: machine.zone.clone(),
            callers_address: machine.callers_address,
            operators_address: machine.operators_address,
            peers_address: machine.peers_address,
            platform_address: self.platform.address,
            seeds: self.seeds(),
            limits: self.limits.clone(),
            deadlines: self.deadlines.clone(),
            log,
        }
    }

    /// The machines as the platform lists them.
    pub fn platform_machines(&self) -> Vec<Machine> {
        let as_listed =
            |machine: &DeploymentMachine| Machine { address: machine.peers_address, zone: machine.zone.clone() };
        self.machines.iter().map(as_listed).collect()
    }

    /// One-way latency between two zones; none inside a zone and where the configuration has no link.
    pub fn zone_latency(&self, from: &ZoneName, to: &ZoneName) -> Duration {
        link_latency(&self.configuration, from, to)
    }

    fn seeds(&self) -> Vec<Address> {
        let is_first = |&(index, machine): &(usize, &DeploymentMachine)| {
            !self.machines[..index].iter().any(|earlier| earlier.zone == machine.zone)
        };
        self.machines.iter().enumerate().filter(is_first).map(|(_, machine)| machine.peers_address).collect()
    }
}
