//! A request's verdict is correct and its answer exact despite lost and late messages, kills, restarts, pauses and
//! partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::dispatch::{RetryBudget, RetryBudgetConfig, Revocation};
use havengate_core::gateway::{AttemptNumber, GatewayAction, GatewayConfig, GatewayEvent, GatewayRequest, Target};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::{AnswerPiece, FinishReason, IdempotencyKey, RequestId, RequestProfile};
use havengate_core::simulation::{NetworkFaults, VirtualNetwork};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_core::world::{Address, PoolId};

const GATEWAY: u8 = 0;
const DISPATCHERS: u8 = 4;
const REQUESTS: u128 = 24;
const ANSWER_TOKENS: u32 = 6;
const TICK: Duration = Duration::from_millis(5);

/// How long the gateway waits for data on a connection before it considers the connection lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

fn node(index: u8) -> Address {
    Address(SocketAddr::from(([127, 0, 0, index + 1], 7000)))
}

fn token_text(request: RequestId, token: u32) -> String {
    format!("{}:{token} ", request.0)
}

fn complete_answer(request: RequestId) -> String {
    (0..ANSWER_TOKENS).map(|token| token_text(request, token)).collect()
}

/// A message between the gateway and a dispatcher; `peer_incarnation` identifies the process that a connection was
/// opened to.
#[derive(Clone, Debug)]
enum Message {
    Submit { request: RequestId, attempt: AttemptNumber, resume_from: u32, peer_incarnation: Incarnation },
    Revoke { request: RequestId, attempt: AttemptNumber },
    Event { request: RequestId, event: GatewayEvent },
}

/// A dispatcher with one engine. Its state is lost when the process ends.
#[derive(Default)]
struct Dispatcher {
    incarnation: Incarnation,
    withdrawn: BTreeSet<RequestId>,
    started: BTreeSet<RequestId>,
    waiting: Vec<Job>,
    running: Vec<Job>,
}

#[derive(Clone, Copy)]
struct Job {
    request: RequestId,
    attempt: AttemptNumber,
    next_token: u32,
}

struct ActiveRequest {
    machine: GatewayRequest,
    can_repeat: bool,
    sent_to: BTreeMap<AttemptNumber, Member>,
    last_received: Timestamp,
    text: String,
    verdict: Option<Verdict>,
}

struct World {
    random: Rng,
    engine_fault_rate: f64,
    network: VirtualNetwork<Address, Message>,
    dispatchers: BTreeMap<Address, Dispatcher>,
    incarnations: BTreeMap<Address, Incarnation>,
    cut: BTreeSet<Address>,
    paused: BTreeSet<Address>,
    active_requests: BTreeMap<RequestId, ActiveRequest>,
    runs: BTreeMap<RequestId, u32>,
    budget: RetryBudget,
    now: Timestamp,
}

impl World {
    fn new(seed: u64, engine_fault_rate: f64, faults: NetworkFaults) -> Self {
        let mut world = World {
            random: Rng::with_seed(seed),
            engine_fault_rate,
            network: VirtualNetwork::new(seed, faults),
            dispatchers: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            active_requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            budget: RetryBudget::new(RetryBudgetConfig { ratio: 0.5, burst: 20.0 }),
            now: Timestamp::ZERO,
        };
        (1..=DISPATCHERS).for_each(|index| world.start(node(index)));
        world
    }

    fn start(&mut self, address: Address) {
        let incarnation = self.incarnations.entry(address).or_default();
        incarnation.0 += 1;
        self.dispatchers.insert(address, Dispatcher { incarnation: *incarnation, ..Dispatcher::default() });
        self.network.restart(address);
    }

    fn kill(&mut self, address: Address) {
        self.dispatchers.remove(&address);
        self.network.kill(address);
        if self.paused.remove(&address) {
            self.network.resume(address, self.now);
        }
    }

    fn new_request(&mut self, number: u128) {
        let request = RequestId(number);
        let contract_is_repeatable = self.random.bool();
        let has_key = self.random.bool();
        let profile = RequestProfile {
            id: request,
            tenant: "tenant".into(),
            contract: "contract".into(),
            model: "model".into(),
            prompt_tokens: 10,
            max_output_tokens: ANSWER_TOKENS,
            blocks: Vec::new(),
            key: has_key.then(|| IdempotencyKey { tenant: "tenant".into(), key: number.to_string() }),
            time_left: Duration::from_millis(self.random.u64(100..=2_000)),
            priority: 0,
        };
        let mut order: Vec<u8> = (1..=DISPATCHERS).collect();
        self.random.shuffle(&mut order);
        let target = |index: &u8| Target {
            pool: PoolId { model: "model".into(), region: "region".into(), zone: None, shard: u16::from(*index) },
            dispatcher: Member { address: node(*index), incarnation: self.incarnations[&node(*index)] },
        };
        let targets = order.iter().map(target).collect();
        let machine =
            GatewayRequest::new(GatewayConfig::default(), &profile, contract_is_repeatable, targets, self.now);
        let active_request = ActiveRequest {
            machine,
            can_repeat: contract_is_repeatable && !has_key,
            sent_to: BTreeMap::new(),
            last_received: self.now,
            text: String::new(),
            verdict: None,
        };
        self.active_requests.insert(request, active_request);
    }

    fn poll(&mut self, request: RequestId) {
        let active_request = self.active_requests.get_mut(&request).expect("a request");
        for action in active_request.machine.poll(&mut self.budget, self.now) {
            assert_eq!(active_request.verdict, None, "an action followed the verdict of {request:?}");
            match action {
                GatewayAction::Deliver(piece) => active_request.text.push_str(&piece.text),
                GatewayAction::Finish(verdict) => active_request.verdict = Some(verdict),
                GatewayAction::Revoke { attempt, peer } => {
                    let message = Message::Revoke { request, attempt };
                    self.network.send(node(GATEWAY), peer.address, message, self.now);
                }
                GatewayAction::Forward { attempt, target, resume_from, .. } => {
                    let address = target.dispatcher.address;
                    let is_reachable = !self.cut.contains(&address) && !self.paused.contains(&address);
                    let Some(dispatcher) = self.dispatchers.get(&address).filter(|_| is_reachable) else {
                        active_request.machine.step(GatewayEvent::NotSent { attempt }, self.now);
                        continue;
                    };
                    let peer_incarnation = dispatcher.incarnation;
                    active_request.sent_to.insert(attempt, Member { address, incarnation: peer_incarnation });
                    active_request.last_received = self.now;
                    let message = Message::Submit { request, attempt, resume_from, peer_incarnation };
                    self.network.send(node(GATEWAY), address, message, self.now);
                }
            }
        }
    }

    fn receive(&mut self, to: Address, message: Message) {
        match message {
            Message::Event { request, event } => {
                let active_request = self.active_requests.get_mut(&request).expect("a request");
                active_request.last_received = self.now;
                active_request.machine.step(event, self.now);
                self.poll(request);
            }
            Message::Submit { request, attempt, resume_from, peer_incarnation } => {
                let refuses = self.random.f64() < 4.0 * self.engine_fault_rate;
                let Some(dispatcher) =
                    self.dispatchers.get_mut(&to).filter(|dispatcher| dispatcher.incarnation == peer_incarnation)
                else {
                    return;
                };
                let is_waiting = dispatcher.waiting.iter().any(|job| job.request == request);
                if is_waiting || dispatcher.withdrawn.contains(&request) || dispatcher.started.contains(&request) {
                    return;
                }
                if refuses {
                    dispatcher.withdrawn.insert(request);
                    let verdict = Verdict::NotRun(NotRun::new(NotRunReason::QueueFull));
                    self.reply(to, request, GatewayEvent::Ended { attempt, verdict });
                } else {
                    dispatcher.waiting.push(Job { request, attempt, next_token: resume_from });
                }
            }
            Message::Revoke { request, attempt } => {
                let Some(dispatcher) = self.dispatchers.get_mut(&to) else { return };
                dispatcher.withdrawn.insert(request);
                dispatcher.waiting.retain(|job| job.request != request);
                dispatcher.running.retain(|job| job.request != request);
                let revocation = match dispatcher.started.contains(&request) {
                    true => Revocation::AfterStart,
                    false => Revocation::BeforeStart,
                };
                let from = Member { address: to, incarnation: dispatcher.incarnation };
                self.reply(to, request, GatewayEvent::Revoked { attempt, from, revocation });
            }
        }
    }

    fn reply(&mut self, from: Address, request: RequestId, event: GatewayEvent) {
        self.network.send(from, node(GATEWAY), Message::Event { request, event }, self.now);
    }

    /// With some probability the engine starts a waiting request, and generates a piece of each running one or fails.
    fn step_engine(&mut self, address: Address) {
        let Some(dispatcher) = self.dispatchers.get_mut(&address).filter(|_| !self.paused.contains(&address)) else {
            return;
        };
        if self.random.u8(0..4) == 0
            && let Some(job) = dispatcher.waiting.pop()
        {
            dispatcher.started.insert(job.request);
            dispatcher.running.push(job);
            *self.runs.entry(job.request).or_default() += 1;
        }
        for mut job in std::mem::take(&mut dispatcher.running) {
            let (request, attempt) = (job.request, job.attempt);
            if self.random.u8(0..6) > 0 {
                self.dispatchers.get_mut(&address).expect("a dispatcher").running.push(job);
                continue;
            }
            if self.random.f64() < self.engine_fault_rate {
                let verdict = Verdict::MayHaveRun(MayHaveRun::EngineFailed);
                self.reply(address, request, GatewayEvent::Ended { attempt, verdict });
                continue;
            }
            let tokens = self.random.u32(1..=3).min(ANSWER_TOKENS - job.next_token);
            let text = (job.next_token..job.next_token + tokens).map(|token| token_text(request, token)).collect();
            let first_token = job.next_token;
            job.next_token += tokens;
            let is_last = job.next_token == ANSWER_TOKENS;
            let finish = is_last.then_some(FinishReason::Stop);
            let piece = AnswerPiece { request, first_token, tokens, text, finish };
            self.reply(address, request, GatewayEvent::Piece { attempt, piece });
            if is_last {
                self.reply(address, request, GatewayEvent::Ended { attempt, verdict: Verdict::Completed });
            } else {
                self.dispatchers.get_mut(&address).expect("a dispatcher").running.push(job);
            }
        }
    }

    /// Closes connections on which nothing was received for [`SILENCE_TIMEOUT`], and lets random callers disconnect.
    fn check_connections(&mut self) {
        for request in self.active_requests.keys().copied().collect::<Vec<_>>() {
            let active_request = self.active_requests.get_mut(&request).expect("a request");
            if let Some((attempt, peer)) = active_request.sent_to.last_key_value()
                && self.now.since(active_request.last_received) >= SILENCE_TIMEOUT
            {
                active_request.machine.step(GatewayEvent::Lost { attempt: *attempt, peer: *peer }, self.now);
            }
            if self.random.u16(0..2_000) == 0 {
                active_request.machine.step(GatewayEvent::CallerGone, self.now);
            }
            self.poll(request);
        }
    }

    fn inject_fault(&mut self) {
        let target = node(self.random.u8(1..=DISPATCHERS));
        match self.random.u8(0..5) {
            0 => self.kill(target),
            1 => {
                self.kill(target);
                self.start(target);
            }
            2 => {
                self.network.cut(node(GATEWAY), target);
                if self.random.bool() {
                    self.network.cut(target, node(GATEWAY));
                }
                self.cut.insert(target);
            }
            3 => {
                self.network.pause(target);
                self.paused.insert(target);
            }
            _ => self.heal(),
        }
    }

    fn heal(&mut self) {
        self.network.heal();
        self.cut.clear();
        std::mem::take(&mut self.paused).into_iter().for_each(|paused| self.network.resume(paused, self.now));
        let dead: Vec<Address> =
            (1..=DISPATCHERS).map(node).filter(|node| !self.dispatchers.contains_key(node)).collect();
        dead.into_iter().for_each(|node| self.start(node));
    }

    fn tick(&mut self) {
        let until = self.now + TICK;
        while let Some(delivery) = self.network.deliver(until) {
            self.now = self.now.max(delivery.at);
            self.receive(delivery.to, delivery.message);
        }
        self.now = until;
        (1..=DISPATCHERS).for_each(|index| self.step_engine(node(index)));
        self.check_connections();
    }

    fn run(&mut self, fault_rate: f64) {
        for tick in 0..800u128 {
            if tick % 10 == 0 && tick / 10 < REQUESTS {
                self.new_request(tick / 10 + 1);
            }
            if self.random.f64() < fault_rate {
                self.inject_fault();
            }
            self.tick();
        }
        self.heal();
        (0..100).for_each(|_| self.tick());
    }

    fn check(&self, seed: u64) {
        for (request, active_request) in &self.active_requests {
            let runs = self.runs.get(request).copied().unwrap_or(0);
            let expected = complete_answer(*request);
            let verdict =
                active_request.verdict.as_ref().unwrap_or_else(|| panic!("seed {seed}: {request:?} has no verdict"));
            assert!(
                expected.starts_with(&active_request.text),
                "seed {seed}: {request:?} got {:?}",
                active_request.text
            );
            match verdict {
                Verdict::Completed => {
                    assert_eq!(active_request.text, expected, "seed {seed}: a truncated answer is reported as complete")
                }
                Verdict::NotRun(_) => assert_eq!(runs, 0, "seed {seed}: {request:?} ran, verdict {verdict:?}"),
                Verdict::MayHaveRun(_) => {}
            }
            assert!(active_request.can_repeat || runs <= 1, "seed {seed}: {request:?} ran {runs} times");
        }
    }

    fn count(&self, predicate: impl Fn(&ActiveRequest) -> bool) -> usize {
        self.active_requests.values().filter(|active_request| predicate(active_request)).count()
    }
}

#[test]
fn verdicts_are_correct_and_answers_exact_despite_faults() {
    let faults = NetworkFaults {
        loss: 0.0,
        duplication: 0.05,
        delay_minimum: Duration::from_millis(1),
        delay_maximum: Duration::from_millis(25),
    };
    let (mut completed, mut not_run, mut may_have_run, mut retried) = (0, 0, 0, 0);
    for seed in 0..400 {
        let mut world = World::new(seed, 0.05, faults);
        world.run(0.04);
        world.check(seed);
        completed += world.count(|active_request| active_request.verdict == Some(Verdict::Completed));
        not_run += world.count(|active_request| matches!(active_request.verdict, Some(Verdict::NotRun(_))));
        may_have_run += world.count(|active_request| matches!(active_request.verdict, Some(Verdict::MayHaveRun(_))));
        retried += world.count(|active_request| active_request.sent_to.len() > 1);
    }
    let seen = [completed, not_run, may_have_run, retried];
    assert!(seen.iter().all(|count| *count > 300), "too few of one kind for a meaningful test: {seen:?}");
}

#[test]
fn without_faults_every_request_with_enough_time_completes() {
    let delay = Duration::from_millis(1);
    let faults = NetworkFaults { delay_minimum: delay, delay_maximum: delay, ..NetworkFaults::default() };
    let mut world = World::new(1, 0.0, faults);
    world.run(0.0);
    world.check(1);
    let is_expected = |verdict: &Verdict| match verdict {
        Verdict::NotRun(refusal) => refusal.reason == NotRunReason::DeadlinePassed,
        Verdict::MayHaveRun(reason) => matches!(reason, MayHaveRun::DeadlinePassed | MayHaveRun::CallerGone),
        Verdict::Completed => true,
    };
    assert_eq!(world.count(|active_request| !active_request.verdict.as_ref().is_some_and(is_expected)), 0);
    let completed = world.count(|active_request| active_request.verdict == Some(Verdict::Completed));
    assert!(
        completed * 4 >= world.active_requests.len() * 3,
        "{completed} of {} completed",
        world.active_requests.len()
    );
}
