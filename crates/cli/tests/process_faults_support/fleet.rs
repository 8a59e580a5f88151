//! The processes of the deployment, and what the nodes say of themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use havengate_core::world::Address;
use havengate_node::callers::Readiness;
use havengate_node::operators::StatusAnswer;
use havengate_node::platform::dialect::MachineEntry;
use havengate_rehearsal::checker::EngineObservation;
use havengate_rehearsal::deployment::{Deployment, DeploymentMachine};
use havengate_rehearsal::engine::model::EngineModelConfig;
use havengate_rehearsal::engine::server::{EngineHandle, EngineServer};
use havengate_rehearsal::live::put_in_force;
use havengate_rehearsal::platform::model::PlatformModelConfig;
use havengate_rehearsal::platform::server::{PlatformHandle, PlatformServer};
use ureq::Agent;

use super::node_process::{NodeProcess, remove_old_log};

/// How often something is looked for before the test gives up on it.
pub const LOOKS: usize = 1_200;
/// Time between two looks.
pub const PAUSE: Duration = Duration::from_millis(50);

const CALL_WITHIN: Duration = Duration::from_secs(2);

/// A running deployment. Nodes are known by the address where peers reach them.
pub struct Fleet {
    pub deployment: Deployment,
    platform: PlatformHandle,
    engines: Vec<EngineHandle>,
    nodes: BTreeMap<Address, NodeProcess>,
    agent: Agent,
}

impl Fleet {
    /// Starts all processes and puts the deployment's configuration in force.
    pub fn start(deployment: Deployment) -> Self {
        let engines = start_engines(&deployment);
        let platform = start_platform(&deployment);
        let agent = Agent::config_builder().proxy(None).timeout_global(Some(CALL_WITHIN)).build().into();
        let mut fleet = Fleet { deployment, platform, engines, nodes: BTreeMap::new(), agent };
        for machine in fleet.deployment.machines.clone() {
            remove_old_log(&machine);
            fleet.start_node(machine.peers_address);
        }
        put_in_force(&fleet.deployment).expect("the configuration is put in force");
        fleet
    }

    /// Starts the node at `address`.
    pub fn start_node(&mut self, address: Address) {
        let machine = self.machine(address).clone();
        let entry = MachineEntry { address, zone: machine.zone.clone(), leaving: false };
        self.platform.set_machine(entry);
        let seeds: Vec<Address> = self.deployment.machines.iter().map(|machine| machine.peers_address).collect();
        let node = NodeProcess::start(&machine, self.deployment.platform.address, &seeds);
        self.nodes.insert(address, node);
    }

    /// Takes the node at `address` out, to kill or to stop it.
    pub fn take_node(&mut self, address: Address) -> NodeProcess {
        self.nodes.remove(&address).expect("a running node")
    }

    /// The node at `address`.
    pub fn node(&self, address: Address) -> &NodeProcess {
        &self.nodes[&address]
    }

    /// The machine whose node has the peers' address `address`.
    pub fn machine(&self, address: Address) -> &DeploymentMachine {
        let machine = self.deployment.machines.iter().find(|machine| machine.peers_address == address);
        machine.expect("a machine")
    }

    /// What the node at `address` says of the deployment, if it answers.
    pub fn status(&self, address: Address) -> Option<StatusAnswer> {
        let operators = self.machine(address).operators_address;
        self.agent.get(format!("http://{operators}/status")).call().ok()?.body_mut().read_json().ok()
    }

    /// Waits until the node at `address` has a stream open.
    pub fn wait_for_open_stream(&self, address: Address) {
        for _ in 0..LOOKS {
            if self.status(address).is_some_and(|status| status.node.open_streams > 0) {
                return;
            }
            thread::sleep(PAUSE);
        }
        panic!("no stream is ever open at {address}");
    }

    /// Waits until all nodes agree on members, configuration and the pool's owner, and returns the owner.
    pub fn wait_for_agreement(&self) -> Address {
        for _ in 0..LOOKS {
            if let Some(owner) = self.agreed_owner() {
                return owner;
            }
            thread::sleep(PAUSE);
        }
        let views: Vec<_> = self.nodes.keys().map(|address| self.status(*address).as_ref().map(View::of)).collect();
        panic!("the nodes never agree: {views:#?}");
    }

    /// What the engines have run.
    pub fn observations(&self) -> Vec<EngineObservation> {
        let names = self.deployment.configuration.engines.iter().map(|engine| engine.name.clone());
        let observe = |(name, handle): (_, &EngineHandle)| {
            let history = handle.history();
            EngineObservation {
                engine: name,
                runs: history.runs().cloned().collect(),
                dropped_runs: history.dropped_runs(),
                orders: history.orders().cloned().collect(),
                departures: Vec::new(),
            }
        };
        names.zip(&self.engines).map(observe).collect()
    }

    fn agreed_owner(&self) -> Option<Address> {
        let statuses: Option<Vec<StatusAnswer>> = self.nodes.keys().map(|address| self.status(*address)).collect();
        let views: BTreeSet<View> = statuses?.iter().map(View::of).collect();
        let view = views.first().filter(|_| views.len() == 1)?;
        let is_whole = view.alive == self.nodes.keys().copied().collect::<Vec<_>>() && view.is_ready;
        view.owner.filter(|owner| is_whole && self.nodes.contains_key(owner))
    }
}

/// What nodes have to agree on.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct View {
    alive: Vec<Address>,
    configuration: u64,
    owner: Option<Address>,
    is_ready: bool,
}

impl View {
    fn of(status: &StatusAnswer) -> Self {
        let is_alive = |state: &str| state == "alive";
        let alive = status.members.iter().filter(|member| is_alive(&member.state)).map(|member| member.address);
        let mut alive: Vec<Address> = alive.collect();
        alive.sort();
        View {
            alive,
            configuration: status.configuration.version.0,
            owner: status.pools.first().and_then(|pool| pool.owner),
            is_ready: status.node.readiness == Readiness::Ready,
        }
    }
}

fn start_engines(deployment: &Deployment) -> Vec<EngineHandle> {
    let configuration = &deployment.configuration;
    let model = configuration.models.first().expect("a model");
    let start = |engine| {
        let config = EngineModelConfig::for_engine(engine, model.version, model.performance);
        EngineServer::start(config, engine.address.0).expect("a stand-in engine")
    };
    configuration.engines.iter().map(start).collect()
}

fn start_platform(deployment: &Deployment) -> PlatformHandle {
    let options = &deployment.platform;
    let config = PlatformModelConfig {
        watches_maximum: usize::from(options.readers_maximum),
        machine_list_lag: options.machine_list_lag,
        ..PlatformModelConfig::default()
    };
    PlatformServer::start(config, options.address.0).expect("a stand-in platform")
}
