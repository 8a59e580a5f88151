//! The simulated world and its faults.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::{
    AuthorityInput, AuthorityMessage, AuthorityRole, EngineArbiter, EngineReport, EngineSpecification, EngineState,
    EngineTarget, Order, OrderReply, PoolControl, PoolControlConfig, RoleFloors, Term,
};
use havengate_core::dispatch::EngineAvailability;
use havengate_core::membership::{Incarnation, Member};
use havengate_core::simulation::{NetworkFaults, VirtualNetwork};
use havengate_core::store::{StoreReply, StoreRequest};
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, EngineRole, ModelName, ModelVersion, PoolId, RegionName, ZoneName};

use super::checks::Checks;
use super::engine::Engine;
use super::node::Node;
use super::store::SimulatedStore;

pub(super) const TICK: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Process {
    Node(usize),
    Engine(usize),
    Store,
}

#[derive(Clone, Debug)]
pub(super) enum Call {
    Store(StoreRequest),
    Fence(Term),
    Order(Order),
    Query,
    /// A call that is not sent, so that it ends by its timeout.
    Unsent,
}

#[derive(Clone, Debug)]
pub(super) enum Reply {
    Store(StoreReply),
    Engine(OrderReply),
}

#[derive(Clone, Debug)]
pub(super) enum Packet {
    Call(u64, Call),
    Reply(u64, Reply),
    Peer(Member, AuthorityMessage),
}

/// The start or the end of a fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillNode(usize),
    RestartNode(usize),
    PauseNode(usize),
    ResumeNode(usize),
    /// The process starts a new incarnation without being restarted, as after it had suspended itself.
    RejoinNode(usize),
    /// The node announces that it leaves: it still runs, but no view ranks it any more.
    LeaveNode(usize),
    /// Cuts the node from the other nodes and from the engines with an index of at least `engines_from`.
    CutNode {
        node: usize,
        engines_from: usize,
    },
    Heal,
    CrashEngine(usize),
    /// The engine's machine is lost: it no longer answers.
    StopEngine(usize),
    /// Sets whether the engine crashes during the execution of each order from now on.
    CrashOnOrders(usize, bool),
    StoreDown(bool),
}

pub struct SimulationConfig {
    pub nodes: usize,
    pub engines: usize,
    pub floors: RoleFloors,
    pub network: NetworkFaults,
    /// Minimum and maximum delay until a node's view shows that another node has died or returned.
    pub detection: (Duration, Duration),
    /// Whether a node that sees no other node suspends itself. Otherwise it ranks itself first.
    pub suspends: bool,
    /// New streams per second that the owner places.
    pub streams_per_second: f64,
}

impl SimulationConfig {
    /// A network without faults, and a failure detector with the delays of the real nodes' detector.
    pub fn without_faults(nodes: usize, engines: usize) -> Self {
        SimulationConfig {
            nodes,
            engines,
            floors: RoleFloors { prefill: 2, decode: 2 },
            network: NetworkFaults::default(),
            detection: (Duration::from_millis(500), Duration::from_millis(2_500)),
            suspends: true,
            streams_per_second: 4.0,
        }
    }
}

pub struct Simulation {
    pub now: Timestamp,
    pub store: SimulatedStore,
    pub checks: Checks,
    pub(super) config: SimulationConfig,
    pub(super) random: fastrand::Rng,
    pub(super) network: VirtualNetwork<Process, Packet>,
    pub(super) nodes: Vec<Node>,
    pub(super) engines: Vec<Engine>,
    pub(super) cut: Vec<usize>,
    pub(super) targets: Vec<EngineTarget>,
    pub(super) last_incarnation: u64,
    pub(super) last_call: u64,
}

pub fn target(role: EngineRole, version: u32) -> EngineTarget {
    EngineTarget { role, model: ModelName::from("lekh-model"), version: ModelVersion(version), adapter: None }
}

pub fn pool() -> PoolId {
    PoolId {
        model: ModelName::from("lekh-model"),
        region: RegionName::from("kathmandu"),
        zone: Some(ZoneName::from("patan")),
        shard: 0,
    }
}

impl Simulation {
    pub fn new(seed: u64, config: SimulationConfig) -> Self {
        let mut simulation = Simulation {
            now: Timestamp::from_millis(1),
            store: SimulatedStore::default(),
            checks: Checks::new(seed, config.engines),
            random: fastrand::Rng::with_seed(seed),
            network: VirtualNetwork::new(seed, config.network),
            nodes: Vec::new(),
            engines: Vec::new(),
            cut: Vec::new(),
            targets: vec![target(EngineRole::Mixed, 1); config.engines],
            last_incarnation: 0,
            last_call: 0,
            config,
        };
        for index in 0..simulation.config.engines {
            let report = EngineReport::started(target(EngineRole::Mixed, 1), 0);
            let name = EngineName::new(format!("engine-{index:02}"));
            let arbiter = EngineArbiter::new(report);
            simulation.engines.push(Engine {
                name,
                arbiter,
                done_at: None,
                crashes_on_orders: false,
                load_history: Vec::new(),
            });
        }
        for index in 0..simulation.config.nodes {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
        }
        simulation.change_views();
        simulation
    }

    pub fn set_network(&mut self, faults: NetworkFaults) {
        self.network.set_faults(faults);
    }

    pub fn set_targets(&mut self, targets: Vec<EngineTarget>) {
        self.targets = targets;
        let (specifications, floors, now) = (self.specifications(), self.config.floors, self.now);
        for node in &mut self.nodes {
            node.control.set_engines(specifications.clone(), floors, now);
        }
    }

    pub fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::KillNode(node) => self.kill(node),
            Fault::RestartNode(node) if !self.nodes[node].alive => {
                self.network.restart(Process::Node(node));
                self.nodes[node] = self.new_node(node);
            }
            Fault::PauseNode(node) if self.nodes[node].alive => {
                self.nodes[node].paused = true;
                self.network.pause(Process::Node(node));
            }
            Fault::ResumeNode(node) if self.nodes[node].paused => {
                self.nodes[node].paused = false;
                self.network.resume(Process::Node(node), self.now);
                let pending_actions = std::mem::take(&mut self.nodes[node].pending_actions);
                self.execute(node, pending_actions);
            }
            Fault::LeaveNode(node) => self.nodes[node].leaving = true,
            Fault::CrashOnOrders(engine, crashes) => {
                self.engines[engine].crashes_on_orders = crashes;
                return;
            }
            Fault::RejoinNode(node) if self.nodes[node].alive && !self.nodes[node].paused => self.rejoin(node),
            Fault::RejoinNode(_) | Fault::RestartNode(_) | Fault::PauseNode(_) | Fault::ResumeNode(_) => return,
            Fault::CutNode { node, engines_from } => self.cut_node(node, engines_from),
            Fault::Heal => {
                self.cut.clear();
                self.network.heal();
            }
            Fault::CrashEngine(engine) => return self.crash(engine),
            Fault::StopEngine(engine) => return self.network.kill(Process::Engine(engine)),
            Fault::StoreDown(down) => {
                self.store.down = down;
                return;
            }
        }
        self.change_views();
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a node other than `excluded` publishes that it holds the authority, and returns the elapsed time.
    pub fn run_to_takeover(&mut self, excluded: usize, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            self.tick();
            if (0..self.nodes.len()).any(|node| node != excluded && self.is_holder(node)) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// When the node's view reflects the last start or end of a fault.
    pub fn view_at(&self, node: usize) -> Timestamp {
        self.nodes[node].view_at
    }

    pub fn is_holder(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.alive && node.control.status().role == AuthorityRole::Holder
    }

    /// Whether the first node is the only holder, has fenced all engines, and all engines match their targets.
    pub fn is_settled(&self) -> bool {
        let status = self.nodes[0].control.status();
        let alone = (1..self.nodes.len()).all(|node| !self.is_holder(node));
        let reached = |(engine, target): (&Engine, &EngineTarget)| {
            !engine.arbiter.report().changing && engine.arbiter.report().next_action(target).is_none()
        };
        let reached = self.engines.iter().zip(&self.targets).all(reached);
        self.is_holder(0) && alone && status.unfenced.is_empty() && status.stored && reached
    }

    pub fn control(&self, node: usize) -> &PoolControl {
        &self.nodes[node].control
    }

    /// Whether the first node's dispatcher may use the engine.
    pub fn is_serving(&self, engine: usize) -> bool {
        let available = self.nodes[0].control.availability(&self.engines[engine].name, self.now);
        available == EngineAvailability::Serving
    }

    pub fn given_up(&self, node: usize) -> usize {
        let states = self.nodes[node].control.engine_states(self.now);
        states.iter().filter(|status| matches!(status.state, EngineState::GivenUp(_))).count()
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        while let Some(delivery) = self.network.deliver(self.now) {
            self.receive(delivery.from, delivery.to, delivery.message);
        }
        for engine in 0..self.engines.len() {
            self.tick_engine(engine);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].alive && !self.nodes[node].paused {
                self.tick_node(node);
            }
        }
        self.check();
    }

    fn check(&mut self) {
        let names: Vec<String> = self.engines.iter().map(|engine| engine.name.to_string()).collect();
        let reports: Vec<&EngineReport> = self.engines.iter().map(|engine| engine.arbiter.report()).collect();
        for node in self.nodes.iter().filter(|node| node.alive) {
            self.checks.published(&node.control.status(), &names, &reports);
        }
    }

    fn receive(&mut self, from: Process, to: Process, packet: Packet) {
        match (to, packet) {
            (Process::Store, Packet::Call(id, Call::Store(request))) => {
                if let Some(reply) = self.store.serve(request, &mut self.random) {
                    self.network.send(to, from, Packet::Reply(id, Reply::Store(reply)), self.now);
                }
            }
            (Process::Engine(engine), Packet::Call(id, call)) => {
                let reply = Reply::Engine(self.serve(engine, call));
                self.network.send(to, from, Packet::Reply(id, reply), self.now);
            }
            (Process::Node(node), Packet::Reply(id, reply)) => self.reply_to(node, id, reply),
            (Process::Node(node), Packet::Peer(from, message)) => {
                self.nodes[node].control.step(AuthorityInput::PeerMessage { from, message }, self.now);
                self.send_ready(node);
            }
            _ => {}
        }
    }

    fn new_node(&mut self, index: usize) -> Node {
        let member = self.new_member(index);
        let mut control = PoolControl::new(PoolControlConfig::default(), pool(), member, self.now);
        control.set_engines(self.specifications(), self.config.floors, self.now);
        Node {
            member,
            control,
            alive: true,
            paused: false,
            leaving: false,
            ranking: Vec::new(),
            view_at: self.now,
            calls: BTreeMap::new(),
            pending_actions: Vec::new(),
            streams: Vec::new(),
        }
    }

    fn new_member(&mut self, index: usize) -> Member {
        self.last_incarnation += 1;
        let address = format!("10.0.0.{}:7000", index + 1).parse().expect("an address");
        Member { address, incarnation: Incarnation(self.last_incarnation) }
    }

    fn rejoin(&mut self, index: usize) {
        let member = self.new_member(index);
        let node = &mut self.nodes[index];
        node.member = member;
        node.ranking.clear();
        node.control.rejoin(member, self.now);
    }

    fn specifications(&self) -> Vec<EngineSpecification> {
        let specification = |(engine, target): (&Engine, &EngineTarget)| EngineSpecification {
            engine: engine.name.clone(),
            target: target.clone(),
        };
        self.engines.iter().zip(&self.targets).map(specification).collect()
    }

    fn kill(&mut self, node: usize) {
        self.network.resume(Process::Node(node), self.now);
        self.network.kill(Process::Node(node));
        let node = &mut self.nodes[node];
        (node.alive, node.paused) = (false, false);
        node.streams.clear();
        node.pending_actions.clear();
    }

    fn cut_node(&mut self, node: usize, engines_from: usize) {
        self.cut.push(node);
        let others = (0..self.nodes.len()).filter(|other| *other != node).map(Process::Node);
        let engines = (engines_from..self.engines.len()).map(Process::Engine);
        for other in others.chain(engines).collect::<Vec<_>>() {
            self.network.cut(Process::Node(node), other);
            self.network.cut(other, Process::Node(node));
        }
    }

    pub(super) fn crash(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let incarnation = engine.arbiter.report().incarnation + 1;
        engine.arbiter.restart(incarnation);
        engine.done_at = None;
        self.checks.restarted(index, self.now);
        for node in &mut self.nodes {
            node.streams.retain(|(engine, _)| *engine != index);
        }
    }
}
