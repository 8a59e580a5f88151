//! Hollow nodes, network, store and engines, moved on in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use havengate_core::authority::OrderReply;
use havengate_core::control::{ControlAction, ControlInput, StoreCaller};
use havengate_core::simulation::{NetworkFaults, VirtualNetwork};
use havengate_core::store::{StoreReply, StoreRequest};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, EngineName, PoolId};

use super::engines::Engines;
use super::hollow_node::{HollowNode, ScaleMessage};
use super::run::ScaleError;
use super::shape::ScaleShape;
use crate::platform::model::{CallId, PlatformEvent, PlatformModel, PlatformModelConfig};

/// The way between two nodes takes this long, at least and at most.
const NETWORK: NetworkFaults = NetworkFaults {
    loss: 0.000_1,
    duplication: 0.0,
    delay_minimum: Duration::from_micros(300),
    delay_maximum: Duration::from_millis(3),
};

/// A call to an engine takes this long.
const ENGINE_CALL: Duration = Duration::from_millis(2);

/// A call to the store takes this long.
const STORE_CALL: Duration = Duration::from_millis(10);

/// A whole deployment of hollow nodes.
pub struct HollowCluster {
    /// The time.
    pub now: Timestamp,
    /// The nodes that run.
    pub nodes: BTreeMap<Address, HollowNode>,
    /// The platform.
    pub platform: PlatformModel,
    shape: ScaleShape,
    network: VirtualNetwork<Address, ScaleMessage>,
    engines: Engines,
    ticks: BTreeSet<(Timestamp, Address)>,
    tick_of: BTreeMap<Address, Timestamp>,
    replies: VecDeque<(Timestamp, Address, ControlInput)>,
    store_calls: BTreeMap<CallId, (Address, StoreCaller)>,
    starts: u64,
}

impl HollowCluster {
    /// A deployment in which nothing runs yet.
    pub fn new(shape: ScaleShape, seed: u64) -> Self {
        HollowCluster {
            now: Timestamp::ZERO,
            nodes: BTreeMap::new(),
            platform: PlatformModel::new(PlatformModelConfig::default()),
            shape,
            network: VirtualNetwork::new(seed, NETWORK),
            engines: Engines::new(&shape.configuration()),
            ticks: BTreeSet::new(),
            tick_of: BTreeMap::new(),
            replies: VecDeque::new(),
            store_calls: BTreeMap::new(),
            starts: seed,
        }
    }

    /// Starts the node with this number, as a new process.
    ///
    /// # Errors
    /// When the settings of control are wrong.
    pub fn start(&mut self, number: u16) -> Result<(), ScaleError> {
        let addresses = self.shape.node_addresses();
        let address = addresses[usize::from(number)];
        let seeds = addresses.iter().copied().take(usize::from(self.shape.zones)).collect();
        self.starts += 1;
        let node = HollowNode::start(address, self.shape.zone_of(number), seeds, self.now, self.starts)?;
        self.nodes.insert(address, node);
        self.network.restart(address);
        self.carry_out(address);
        Ok(())
    }

    /// Kills a node's process.
    pub fn kill(&mut self, address: Address) {
        self.nodes.remove(&address);
        self.network.kill(address);
        if let Some(tick) = self.tick_of.remove(&address) {
            self.ticks.remove(&(tick, address));
        }
    }

    /// Hands an input to a node.
    pub fn step(&mut self, address: Address, input: ControlInput) {
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&address) {
            node.step(input, now);
            self.carry_out(address);
        }
    }

    /// Moves on by one event, but not beyond `until`; `false` when there is none before.
    pub fn advance(&mut self, until: Timestamp) -> bool {
        let Some(next) = self.next_event().filter(|next| *next <= until) else {
            self.now = self.now.max(until);
            return false;
        };
        self.now = self.now.max(next);
        self.deliver_replies();
        self.deliver_store();
        self.deliver_messages();
        self.tick_due();
        true
    }

    fn next_event(&self) -> Option<Timestamp> {
        let events = [
            self.ticks.first().map(|(at, _)| *at),
            self.network.next_arrival(),
            self.replies.front().map(|(at, _, _)| *at),
            self.platform.next_event().map(|at| at + STORE_CALL),
        ];
        events.into_iter().flatten().min()
    }

    fn deliver_messages(&mut self) {
        while let Some(delivery) = self.network.deliver(self.now) {
            let input = match delivery.message {
                ScaleMessage::Datagram(message) => ControlInput::Datagram { from: delivery.from, message },
                ScaleMessage::Peer(from, message) => ControlInput::Peer { from, message },
            };
            self.step(delivery.to, input);
        }
    }

    fn deliver_replies(&mut self) {
        while self.replies.front().is_some_and(|(at, _, _)| *at <= self.now) {
            if let Some((_, address, input)) = self.replies.pop_front() {
                self.step(address, input);
            }
        }
    }

    fn deliver_store(&mut self) {
        for output in self.platform.advance(self.now) {
            let Some((address, caller)) = self.store_calls.remove(&output.call) else { continue };
            let reply = match output.event {
                PlatformEvent::Reply(reply) => reply,
                PlatformEvent::Changed(_) | PlatformEvent::Unchanged | PlatformEvent::Dropped => StoreReply::Unknown,
            };
            self.step(address, ControlInput::StoreReply { caller, reply });
        }
    }

    fn tick_due(&mut self) {
        while let Some((at, address)) = self.ticks.first().copied().filter(|(at, _)| *at <= self.now) {
            self.ticks.remove(&(at, address));
            let now = self.now;
            if let Some(node) = self.nodes.get_mut(&address) {
                node.tick(now);
                self.carry_out(address);
            }
        }
    }

    fn carry_out(&mut self, address: Address) {
        let Some(node) = self.nodes.get_mut(&address) else { return };
        let actions = node.take_actions();
        let me = node.control.status().me;
        let tick = node.control.next_tick().max(self.now + Duration::from_millis(1));
        self.schedule_tick(address, tick);
        for action in actions {
            match action {
                ControlAction::SendDatagram { to, message } => self.send(address, to, ScaleMessage::Datagram(message)),
                ControlAction::SendPeer { to, message } => {
                    self.send(address, to.address, ScaleMessage::Peer(me, message));
                }
                ControlAction::Store { caller, request } => self.call_store(address, caller, request),
                ControlAction::RaiseFence { pool, engine, term, .. } => {
                    let reply = self.engines.raise_fence(&engine, term);
                    self.reply(address, ControlInput::FenceReply { pool, engine, reply });
                }
                ControlAction::SendOrder { pool, engine, order, .. } => {
                    let reply = self.engines.order(&engine, &order);
                    self.engine_reply(address, pool, engine, reply);
                }
                ControlAction::QueryEngine { pool, engine, .. } => {
                    let reply = self.engines.query(&engine);
                    self.engine_reply(address, pool, engine, reply);
                }
            }
        }
    }

    fn schedule_tick(&mut self, address: Address, at: Timestamp) {
        if let Some(former) = self.tick_of.insert(address, at) {
            self.ticks.remove(&(former, address));
        }
        self.ticks.insert((at, address));
    }

    fn send(&mut self, from: Address, to: Address, message: ScaleMessage) {
        if let Some(node) = self.nodes.get_mut(&from) {
            node.count_sent(&message);
        }
        self.network.send(from, to, message, self.now);
    }

    fn call_store(&mut self, address: Address, caller: StoreCaller, request: StoreRequest) {
        match self.platform.submit(request, self.now) {
            Ok(call) => {
                self.store_calls.insert(call, (address, caller));
            }
            Err(_) => self.reply(address, ControlInput::StoreReply { caller, reply: StoreReply::Unknown }),
        }
    }

    fn engine_reply(&mut self, address: Address, pool: PoolId, engine: EngineName, reply: OrderReply) {
        self.reply(address, ControlInput::EngineReply { pool, engine, reply });
    }

    /// All replies take the same time, so they come in the order of the calls.
    fn reply(&mut self, address: Address, input: ControlInput) {
        self.replies.push_back((self.now + ENGINE_CALL, address, input));
    }
}
