//! A key runs at most once with claims, the gateway's retries and revocations, and dispatchers that lose their state
//! combined.
//!
//! Every node is a gateway, a claim holder and a dispatcher with an engine. Callers repeat requests with the same key
//! at random nodes.

mod claims_support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use claims_support::{address, candidate, key, only_used_slots};
use fastrand::Rng;
use havengate_core::claims::{
    CandidateHolder, ClaimClient, ClaimConfig, ClaimHolder, ClaimMessage, ClaimOutcome, RecordedOutcome, SlotMap,
    SlotObservation,
};
use havengate_core::dispatch::{RetryBudget, RetryBudgetConfig, Revocation};
use havengate_core::gateway::{AttemptNumber, GatewayAction, GatewayConfig, GatewayEvent, GatewayRequest, Target};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::{AnswerPiece, FinishReason, RequestId, RequestProfile};
use havengate_core::simulation::{NetworkFaults, VirtualNetwork};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_core::world::{Address, PoolId};

const NODES: u8 = 5;
const KEYS: usize = 6;
const TICK: Duration = Duration::from_millis(10);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
const REQUEST_TIME: Duration = Duration::from_millis(1_500);

fn claim_config() -> ClaimConfig {
    ClaimConfig { takeover_interval: Duration::from_millis(200), ..ClaimConfig::default() }
}

/// `peer_incarnation` identifies the process that a connection was opened to.
#[derive(Clone, Debug)]
enum Message {
    Claims(ClaimMessage),
    Submit { request: RequestId, key: usize, attempt: AttemptNumber, peer_incarnation: Incarnation },
    Revoke { request: RequestId, attempt: AttemptNumber },
    Event { request: RequestId, event: GatewayEvent },
}

struct WaitingRequest {
    request: RequestId,
    key: usize,
    attempt: AttemptNumber,
    gateway: Address,
}

struct Node {
    incarnation: Incarnation,
    holder: ClaimHolder,
    client: ClaimClient,
    requests: BTreeMap<RequestId, ActiveRequest>,
    withdrawn: BTreeSet<RequestId>,
    started: BTreeSet<RequestId>,
    waiting: Vec<WaitingRequest>,
}

struct ActiveRequest {
    key: usize,
    deadline: Timestamp,
    machine: Option<GatewayRequest>,
    sent: Option<(AttemptNumber, Member)>,
    last_received: Timestamp,
}

struct World {
    random: Rng,
    network: VirtualNetwork<Address, Message>,
    nodes: BTreeMap<Address, Node>,
    incarnations: BTreeMap<Address, Incarnation>,
    cut: BTreeSet<(Address, Address)>,
    paused: BTreeSet<Address>,
    map: SlotMap,
    runs: BTreeMap<usize, Vec<RequestId>>,
    refused: BTreeSet<RequestId>,
    budget: RetryBudget,
    next_request: u128,
    now: Timestamp,
}

impl World {
    fn new(seed: u64) -> Self {
        let faults = NetworkFaults {
            loss: 0.02,
            duplication: 0.05,
            delay_minimum: Duration::from_millis(1),
            delay_maximum: Duration::from_millis(30),
        };
        let mut world = World {
            random: Rng::with_seed(seed),
            network: VirtualNetwork::new(seed, faults),
            nodes: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            map: SlotMap::default(),
            runs: BTreeMap::new(),
            refused: BTreeSet::new(),
            budget: RetryBudget::new(RetryBudgetConfig { ratio: 1.0, burst: 50.0 }),
            next_request: 0,
            now: Timestamp::ZERO,
        };
        (0..NODES).for_each(|index| world.start(address(index)));
        world.map = only_used_slots(SlotMap::initial(&world.candidates()), KEYS);
        world
    }

    fn candidates(&self) -> Vec<CandidateHolder> {
        let running = (0..NODES).filter(|index| self.nodes.contains_key(&address(*index)));
        running.map(|index| candidate(index, self.incarnations[&address(index)])).collect()
    }

    fn start(&mut self, address: Address) {
        let incarnation = self.incarnations.entry(address).or_default();
        incarnation.0 += 1;
        let member = Member { address, incarnation: *incarnation };
        let node = Node {
            incarnation: *incarnation,
            holder: ClaimHolder::new(member, claim_config(), self.now),
            client: ClaimClient::new(claim_config()),
            requests: BTreeMap::default(),
            withdrawn: BTreeSet::default(),
            started: BTreeSet::default(),
            waiting: Vec::default(),
        };
        self.nodes.insert(address, node);
        self.network.restart(address);
    }

    fn kill(&mut self, address: Address) {
        self.nodes.remove(&address);
        self.network.kill(address);
        self.paused.remove(&address);
        self.network.resume(address, self.now);
    }

    fn inject_fault(&mut self) {
        let target = address(self.random.u8(0..NODES));
        match self.random.u8(0..7) {
            0 => self.kill(target),
            1 | 2 => {
                self.kill(target);
                self.start(target);
            }
            3 if self.nodes.contains_key(&target) => {
                self.paused.insert(target);
                self.network.pause(target);
            }
            4 => {
                let other = address(self.random.u8(0..NODES));
                self.network.cut(target, other);
                self.cut.insert((target, other));
            }
            5 => {
                let dead = (0..NODES).map(address).filter(|address| !self.nodes.contains_key(address)).collect();
                let observation = SlotObservation { live: self.candidates(), dead, ..SlotObservation::default() };
                if let Some(next) = self.map.replan(&observation) {
                    self.map = only_used_slots(next, KEYS);
                }
            }
            _ => self.heal(),
        }
    }

    fn heal(&mut self) {
        self.network.heal();
        self.cut.clear();
        std::mem::take(&mut self.paused).into_iter().for_each(|paused| self.network.resume(paused, self.now));
        let dead: Vec<Address> = (0..NODES).map(address).filter(|node| !self.nodes.contains_key(node)).collect();
        dead.into_iter().for_each(|node| self.start(node));
    }

    /// Submits a request with a random key, for the first time or as a repeat.
    fn submit(&mut self, gateway: Address) {
        let key_index = self.random.usize(0..KEYS);
        self.next_request += 1;
        let request = RequestId(self.next_request);
        let (now, deadline) = (self.now, self.now + REQUEST_TIME);
        let Some(node) = self.nodes.get_mut(&gateway) else { return };
        if node.client.claim(key(key_index), request, deadline, now).is_ok() {
            let active_request =
                ActiveRequest { key: key_index, deadline, machine: None, sent: None, last_received: now };
            node.requests.insert(request, active_request);
        }
    }

    /// Creates the state machine of a request whose contract allows repeats: only the key forbids them.
    fn machine(&mut self, request: RequestId, active_request: &ActiveRequest) -> GatewayRequest {
        let profile = RequestProfile {
            id: request,
            tenant: "tenant".into(),
            contract: "contract".into(),
            model: "model".into(),
            prompt_tokens: 10,
            max_output_tokens: 1,
            blocks: Vec::new(),
            key: Some(key(active_request.key)),
            time_left: active_request.deadline.since(self.now),
            priority: 0,
        };
        let mut order: Vec<u8> = (0..NODES).collect();
        self.random.shuffle(&mut order);
        let target = |index: &u8| Target {
            pool: PoolId { model: "model".into(), region: "region".into(), zone: None, shard: u16::from(*index) },
            dispatcher: Member { address: address(*index), incarnation: self.incarnations[&address(*index)] },
        };
        let targets = order.iter().map(target).collect();
        GatewayRequest::new(GatewayConfig::default(), &profile, true, targets, self.now)
    }

    fn poll_claims(&mut self, gateway: Address) {
        let node = self.nodes.get_mut(&gateway).expect("a running node");
        let work = node.client.poll(self.now);
        for envelope in work.messages.into_iter().chain(node.holder.poll(self.now)) {
            self.network.send(gateway, envelope.to, Message::Claims(envelope.message), self.now);
        }
        for decision in work.decisions {
            let node = self.nodes.get_mut(&gateway).expect("a running node");
            let Some(mut active_request) = node.requests.remove(&decision.request) else { continue };
            match decision.outcome {
                ClaimOutcome::Won => {
                    active_request.machine = Some(self.machine(decision.request, &active_request));
                    let node = self.nodes.get_mut(&gateway).expect("a running node");
                    node.requests.insert(decision.request, active_request);
                }
                ClaimOutcome::Refused(_) => drop(self.refused.insert(decision.request)),
                ClaimOutcome::Repeated(_) => {}
            }
        }
    }

    fn poll_request(&mut self, gateway: Address, request: RequestId) {
        let node = self.nodes.get_mut(&gateway).expect("a running node");
        let Some(mut active_request) = node.requests.remove(&request) else { return };
        let Some(machine) = &mut active_request.machine else {
            node.requests.insert(request, active_request);
            return;
        };
        let mut verdict = None;
        for action in machine.poll(&mut self.budget, self.now) {
            match action {
                GatewayAction::Deliver(_) => {}
                GatewayAction::Finish(final_verdict) => verdict = Some(final_verdict),
                GatewayAction::Revoke { attempt, peer } => {
                    self.network.send(gateway, peer.address, Message::Revoke { request, attempt }, self.now);
                }
                GatewayAction::Forward { attempt, target, .. } => {
                    let to = target.dispatcher.address;
                    let is_reachable = !self.cut.contains(&(gateway, to)) && !self.paused.contains(&to);
                    let peer_incarnation = self.nodes.get(&to).filter(|_| is_reachable).map(|node| node.incarnation);
                    let peer_incarnation =
                        if to == gateway { Some(self.incarnations[&gateway]) } else { peer_incarnation };
                    let Some(peer_incarnation) = peer_incarnation else {
                        machine.step(GatewayEvent::NotSent { attempt }, self.now);
                        continue;
                    };
                    active_request.sent = Some((attempt, Member { address: to, incarnation: peer_incarnation }));
                    active_request.last_received = self.now;
                    let submit = Message::Submit { request, key: active_request.key, attempt, peer_incarnation };
                    self.network.send(gateway, to, submit, self.now);
                }
            }
        }
        let node = self.nodes.get_mut(&gateway).expect("a running node");
        match verdict {
            None => drop(node.requests.insert(request, active_request)),
            Some(verdict) => {
                if matches!(verdict, Verdict::NotRun(_)) {
                    self.refused.insert(request);
                }
                node.client.record(request, RecordedOutcome { verdict, answer: None }, self.now);
            }
        }
    }

    fn receive(&mut self, from: Address, to: Address, message: Message) {
        let now = self.now;
        let refuses = self.random.u8(0..4) == 0;
        let Some(node) = self.nodes.get_mut(&to) else { return };
        match message {
            Message::Claims(message) => {
                node.client.step(from, message.clone(), now);
                if let Some(reply) = node.holder.step(from, message, now) {
                    self.network.send(to, from, Message::Claims(reply), now);
                }
                self.poll_claims(to);
            }
            Message::Event { request, event } => {
                if let Some(active_request) = node.requests.get_mut(&request) {
                    active_request.last_received = now;
                    active_request.machine.iter_mut().for_each(|machine| machine.step(event.clone(), now));
                }
                self.poll_request(to, request);
            }
            Message::Submit { request, key, attempt, peer_incarnation } => {
                let is_known = node.withdrawn.contains(&request)
                    || node.started.contains(&request)
                    || node.waiting.iter().any(|waiting| waiting.request == request);
                if peer_incarnation != node.incarnation || is_known {
                    return;
                }
                if refuses {
                    node.withdrawn.insert(request);
                    let verdict = Verdict::NotRun(NotRun::new(NotRunReason::QueueFull));
                    let event = GatewayEvent::Ended { attempt, verdict };
                    self.network.send(to, from, Message::Event { request, event }, now);
                } else {
                    node.waiting.push(WaitingRequest { request, key, attempt, gateway: from });
                }
            }
            Message::Revoke { request, attempt } => {
                node.withdrawn.insert(request);
                node.waiting.retain(|waiting| waiting.request != request);
                let has_started = node.started.contains(&request);
                let revocation = if has_started { Revocation::AfterStart } else { Revocation::BeforeStart };
                let from_member = Member { address: to, incarnation: node.incarnation };
                let event = GatewayEvent::Revoked { attempt, from: from_member, revocation };
                self.network.send(to, from, Message::Event { request, event }, now);
            }
        }
    }

    /// With some probability the engine starts a waiting request, and either answers it or fails.
    fn step_engine(&mut self, address: Address) {
        let node = self.nodes.get_mut(&address).expect("a running node");
        if self.random.u8(0..8) > 0 {
            return;
        }
        let Some(WaitingRequest { request, key, attempt, gateway }) = node.waiting.pop() else { return };
        node.started.insert(request);
        self.runs.entry(key).or_default().push(request);
        let mut send = |event| self.network.send(address, gateway, Message::Event { request, event }, self.now);
        if self.random.bool() {
            let finish = Some(FinishReason::Stop);
            let piece = AnswerPiece { request, first_token: 0, tokens: 1, text: "done".to_owned(), finish };
            send(GatewayEvent::Piece { attempt, piece });
            send(GatewayEvent::Ended { attempt, verdict: Verdict::Completed });
        } else {
            send(GatewayEvent::Ended { attempt, verdict: Verdict::MayHaveRun(MayHaveRun::EngineFailed) });
        }
    }

    fn tick(&mut self) {
        let until = self.now + TICK;
        while let Some(delivery) = self.network.deliver(until) {
            self.now = self.now.max(delivery.at);
            self.receive(delivery.from, delivery.to, delivery.message);
        }
        self.now = until;
        for address in self.nodes.keys().copied().filter(|node| !self.paused.contains(node)).collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&address).expect("a running node");
            if self.random.u8(0..10) == 0 {
                node.holder.adopt(&self.map);
                node.client.adopt(&self.map, self.now);
            }
            for active_request in node.requests.values_mut() {
                if let (Some(machine), Some((attempt, peer))) = (&mut active_request.machine, active_request.sent)
                    && self.now.since(active_request.last_received) >= SILENCE_TIMEOUT
                {
                    machine.step(GatewayEvent::Lost { attempt, peer }, self.now);
                }
            }
            let requests: Vec<RequestId> = node.requests.keys().copied().collect();
            requests.into_iter().for_each(|request| self.poll_request(address, request));
            self.poll_claims(address);
            self.step_engine(address);
            if self.random.u8(0..20) == 0 {
                self.submit(address);
            }
        }
    }

    fn run(&mut self, ticks: u32, fault_rate: f64) {
        for _ in 0..ticks {
            if self.random.f64() < fault_rate {
                self.inject_fault();
            }
            self.tick();
        }
    }
}

#[test]
fn a_key_runs_at_most_once_and_a_refused_request_never() {
    let (mut runs, mut refused) = (0, 0);
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.run(600, 0.03);
        for (key, requests) in &world.runs {
            assert_eq!(requests.len(), 1, "seed {seed}: key {key} ran for {requests:?}");
            assert!(!world.refused.contains(&requests[0]), "seed {seed}: {requests:?} has the verdict not run");
            runs += 1;
        }
        refused += world.refused.len();
    }
    assert!(runs > 200 * 3, "too few keys ran for a meaningful test: {runs}");
    assert!(refused > 200 * 3, "too few requests were refused for a meaningful test: {refused}");
}
