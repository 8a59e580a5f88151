//! The simulated nodes: each drives a `PoolControl` as a real node does.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::{
    AuthorityAction, AuthorityInput, AuthorityMessage, EngineActivity, OrderReply, PoolActivity, PoolControl,
    PoolObservation,
};
use havengate_core::dispatch::EngineAvailability;
use havengate_core::membership::Member;
use havengate_core::policy::{PoolDemand, RoleCounts};
use havengate_core::store::StoreReply;
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, EnginePerformance};

use super::engine::{Engine, ORDER_TIME};
use super::world::{Call, Packet, Process, Reply, Simulation, TICK};

const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// A call without a reply so far.
pub(super) struct PendingCall {
    deadline: Timestamp,
    engine: Option<usize>,
    is_fence: bool,
}

pub(super) struct Node {
    pub(super) member: Member,
    pub(super) control: PoolControl,
    pub(super) alive: bool,
    pub(super) paused: bool,
    pub(super) leaving: bool,
    pub(super) ranking: Vec<Member>,
    pub(super) view_at: Timestamp,
    pub(super) calls: BTreeMap<u64, PendingCall>,
    /// Actions of the control that were pending when the process was paused.
    pub(super) pending_actions: Vec<AuthorityAction>,
    /// The engine and the end time of each stream.
    pub(super) streams: Vec<(usize, Timestamp)>,
}

impl Simulation {
    pub(super) fn tick_node(&mut self, index: usize) {
        let now = self.now;
        self.expire_calls(index);
        if now >= self.nodes[index].view_at {
            self.update_view(index);
        }
        self.place_streams(index);
        let observation = self.observation(index);
        let node = &mut self.nodes[index];
        node.control.observe(observation);
        node.control.tick(now);
        self.send_ready(index);
    }

    pub(super) fn send_ready(&mut self, index: usize) {
        let actions = self.nodes[index].control.take_ready();
        self.execute(index, actions);
    }

    pub(super) fn execute(&mut self, index: usize, actions: Vec<AuthorityAction>) {
        if self.nodes[index].paused {
            self.nodes[index].pending_actions.extend(actions);
            return;
        }
        for action in actions {
            match action {
                AuthorityAction::Store(request) => self.call(index, None, Call::Store(request)),
                AuthorityAction::RaiseFence { engine, term } => {
                    self.checks.term_used(term, self.nodes[index].member);
                    self.call(index, Some(&engine), Call::Fence(term));
                }
                AuthorityAction::SendOrder { engine, order, send_before } => {
                    self.checks.term_used(order.id.term, self.nodes[index].member);
                    let call = if self.now < send_before { Call::Order(order) } else { Call::Unsent };
                    self.call(index, Some(&engine), call);
                }
                AuthorityAction::QueryEngine { engine } => self.call(index, Some(&engine), Call::Query),
                AuthorityAction::SendPeer { to, message } => self.send_peer(index, to, message),
            }
        }
    }

    pub(super) fn call(&mut self, node: usize, engine: Option<&EngineName>, call: Call) {
        self.last_call += 1;
        let engine = engine.and_then(|name| self.engines.iter().position(|engine| engine.name == *name));
        let is_fence = matches!(call, Call::Fence(_));
        let deadline = self.now + CALL_TIMEOUT;
        self.nodes[node].calls.insert(self.last_call, PendingCall { deadline, engine, is_fence });
        if matches!(call, Call::Unsent) {
            return;
        }
        let to = engine.map_or(Process::Store, Process::Engine);
        self.network.send(Process::Node(node), to, Packet::Call(self.last_call, call), self.now);
    }

    pub(super) fn send_peer(&mut self, from: usize, to: Member, message: AuthorityMessage) {
        let packet = Packet::Peer(self.nodes[from].member, message);
        if let Some(to) = self.nodes.iter().position(|node| node.member == to) {
            self.network.send(Process::Node(from), Process::Node(to), packet, self.now);
        }
    }

    pub(super) fn expire_calls(&mut self, index: usize) {
        let expired = |(id, call): (&u64, &PendingCall)| (call.deadline <= self.now).then_some(*id);
        let expired: Vec<u64> = self.nodes[index].calls.iter().filter_map(expired).collect();
        for id in expired {
            let engine = self.nodes[index].calls[&id].engine;
            let store = Reply::Store(StoreReply::Unknown);
            let reply = engine.map_or(store, |_| Reply::Engine(OrderReply::Unknown));
            self.reply_to(index, id, reply);
        }
    }

    pub(super) fn reply_to(&mut self, index: usize, id: u64, reply: Reply) {
        let Some(call) = self.nodes[index].calls.remove(&id) else { return };
        let engine = call.engine.map(|engine| self.engines[engine].name.clone());
        let input = match (reply, engine) {
            (Reply::Engine(reply), Some(engine)) if call.is_fence => AuthorityInput::FenceReply { engine, reply },
            (Reply::Engine(reply), Some(engine)) => AuthorityInput::EngineReply { engine, reply },
            (Reply::Store(reply), _) => AuthorityInput::StoreReply(reply),
            (Reply::Engine(_), None) => return,
        };
        self.nodes[index].control.step(input, self.now);
        self.send_ready(index);
    }

    /// Places streams if the node ranks itself first, on engines that are available and that its control reports as
    /// serving.
    pub(super) fn place_streams(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].streams.retain(|(_, end)| *end > now);
        let first = self.nodes[index].ranking.first() == Some(&self.nodes[index].member);
        let places = self.random.f64() < self.config.streams_per_second * TICK.as_secs_f64();
        if !first || !places || self.cut.contains(&index) || now < self.nodes[index].view_at {
            return;
        }
        let engine = self.random.usize(..self.engines.len());
        let available = self.nodes[index].control.availability(&self.engines[engine].name, now);
        if available == EngineAvailability::Serving && !self.engines[engine].arbiter.report().changing {
            let end = now + Duration::from_millis(self.random.u64(100..4_000));
            self.nodes[index].streams.push((engine, end));
        }
    }

    pub(super) fn observation(&self, index: usize) -> PoolObservation {
        let activity = |(position, engine): (usize, &Engine)| {
            let (reported_at, reported) = engine.load_history[0];
            let in_flight = in_flight(&self.nodes[index], position);
            (engine.name.clone(), EngineActivity { in_flight, reported, reported_at })
        };
        let engines = self.engines.iter().enumerate().map(activity).collect();
        PoolObservation { demand: demand(), activity: PoolActivity { engines } }
    }

    /// Schedules the update of each node's view after a change, with a random detection delay.
    pub(super) fn change_views(&mut self) {
        let (shortest, longest) = self.config.detection;
        for index in 0..self.nodes.len() {
            let delay = self.random.u64(shortest.as_micros() as u64..=longest.as_micros() as u64);
            self.nodes[index].view_at = self.now + Duration::from_micros(delay);
        }
    }

    pub(super) fn update_view(&mut self, index: usize) {
        let alone = self.cut.contains(&index);
        let suspended = alone && self.config.suspends;
        let is_visible = |other: usize| {
            let reachable = !alone && !self.cut.contains(&other);
            let node = &self.nodes[other];
            let seen = other == index || (node.alive && !node.paused && reachable);
            seen && !node.leaving && !suspended
        };
        let ranking: Vec<Member> =
            (0..self.nodes.len()).filter(|other| is_visible(*other)).map(|other| self.nodes[other].member).collect();
        let node = &mut self.nodes[index];
        if node.ranking != ranking {
            node.ranking = ranking.clone();
            node.control.step(AuthorityInput::OwnerRanking(ranking), self.now);
        }
    }
}

pub(super) fn in_flight(node: &Node, engine: usize) -> u32 {
    node.streams.iter().filter(|(on, _)| *on == engine).count() as u32
}

fn demand() -> PoolDemand {
    PoolDemand {
        roles: RoleCounts::default(),
        prefill_floor: 0,
        decode_floor: 0,
        prefill_tokens_per_second: 0.0,
        decode_tokens_per_second: 0.0,
        token_interval: Duration::ZERO,
        waiting_prefill_tokens: 0,
        waiting_decode_tokens: 0,
        performance: EnginePerformance::default(),
        role_change: ORDER_TIME,
    }
}
