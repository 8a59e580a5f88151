//! A simulation in virtual time: eight nodes place prompts on engines with the real placement code, and announce their
//! prefills to each other.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::back_ends::{EngineStage, Usability};
use havengate_core::relay::{
    Candidate, PlacementConfig, Prompt, PromptIndex, PromptIndexConfig, PromptPart, Purpose, ShortPrefill, Urgency,
    place,
};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

use super::world_engine::{CACHE_TOKENS, Caller, Engine, Event};

/// The time between two simulation steps, and between two notices of a node, in microseconds.
const TICK: u64 = 500;
const NOTICE_INTERVAL: u64 = 50_000;

const NODES: usize = 8;
const PREFILL_ENGINES: usize = 7;
const DECODE_ENGINES: usize = 5;

/// The time of a move, in milliseconds per thousand tokens.
const MOVE_MILLIS: f64 = 0.5;

/// Long prompts have a shared part and a part of their own. All prefill engines together can cache two thirds of the shared
/// parts.
const SHARED_TOKENS: u32 = 6_000;
const SHARED_PARTS: u64 = 600;
const OWN_TOKENS: u32 = 3_000;
const LONG_ANSWER_TOKENS: u32 = 14;

const SHORT_TOKENS: u32 = 220;
const SHORT_ANSWER_TOKENS: u32 = 90;

/// The maximum time to the start of an answer that is in time.
pub const TARGET: Duration = Duration::from_millis(200);

/// The callers' request rates.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub long_per_second: f64,
    pub short_per_second: f64,
}

/// Faults of the engines.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// The number of halted engines in each stage.
    pub halted_per_stage: usize,
    /// The factor on the time of moves.
    pub move_slowdown: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults { halted_per_stage: 0, move_slowdown: 1.0 }
    }
}

/// The state of one node.
struct Node {
    index: PromptIndex,
    short_prefill: ShortPrefill,
}

impl Node {
    fn start() -> Self {
        let mut index = PromptIndex::new(PromptIndexConfig::default());
        index.set_cache_tokens(CACHE_TOKENS);
        Node { index, short_prefill: ShortPrefill::default() }
    }
}

/// The outcome of one caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub arrived: Timestamp,
    /// The time from the arrival to the start of the answer; `None`: the caller left before.
    pub first_event: Option<Duration>,
}

/// The state of the simulation.
pub struct World {
    /// In microseconds.
    now: u64,
    random: fastrand::Rng,
    nodes: Vec<Node>,
    config: PlacementConfig,
    engines: Vec<Engine>,
    pub outcomes: Vec<Outcome>,
    prompts: u64,
    notices: u64,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let stages = [(PREFILL_ENGINES, EngineStage::Prefill), (DECODE_ENGINES, EngineStage::Decode)];
        let stages = stages.into_iter().flat_map(|(count, stage)| std::iter::repeat_n(stage, count));
        World {
            now: 1_000_000,
            random: fastrand::Rng::with_seed(seed),
            nodes: (0..NODES).map(|_| Node::start()).collect(),
            config: PlacementConfig::default(),
            engines: (1..).zip(stages).map(|(number, stage)| Engine::new(number, stage)).collect(),
            outcomes: Vec::new(),
            prompts: SHARED_PARTS,
            notices: 0,
        }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    /// Runs the simulation for `duration` with this load and these faults.
    pub fn run(&mut self, duration: Duration, load: Load, faults: Faults) {
        let until = self.now + duration.as_micros() as u64;
        while self.now < until {
            self.now += TICK;
            if self.now.is_multiple_of(NOTICE_INTERVAL) {
                self.exchange_notices();
            }
            for (rate, is_long) in [(load.long_per_second, true), (load.short_per_second, false)] {
                if self.random.f64() < rate * TICK as f64 / 1e6 {
                    let caller = self.caller(is_long);
                    self.handle_arrival(caller);
                }
            }
            for number in 0..self.engines.len() {
                let number_in_stage = if number < PREFILL_ENGINES { number } else { number - PREFILL_ENGINES };
                if number_in_stage >= faults.halted_per_stage {
                    let events = self.engines[number].step(self.now);
                    events.into_iter().for_each(|event| self.handle_event(number, event, faults));
                }
            }
        }
    }

    /// Resets the state of all nodes, including that of their requests in flight.
    pub fn restart_nodes(&mut self) {
        self.nodes.iter_mut().for_each(|node| *node = Node::start());
    }

    /// Lets all nodes observe `count` moves that took `millis` per thousand tokens.
    pub fn observe_moves(&mut self, count: usize, millis: f64) {
        let now = self.now();
        let prompt = self.caller(true).prompt;
        let took = Duration::from_secs_f64(millis * f64::from(prompt.tokens) / 1e6);
        let engine = self.engines[PREFILL_ENGINES].back_end.id.clone();
        for node in &mut self.nodes {
            (0..count).for_each(|_| node.index.record_cache_transfer(&engine, &prompt, took, now));
        }
    }

    /// The first node's estimates, for assertion messages.
    pub fn estimates(&self) -> String {
        let named = self.nodes[0]
            .index
            .model()
            .estimates(self.now())
            .map(|(name, estimate)| format!("{name}={:.1}", estimate.value));
        named.join(" ")
    }

    /// Sends each node's running and finished prefills to all other nodes.
    fn exchange_notices(&mut self) {
        self.notices += 1;
        let now = self.now();
        for sender in 0..NODES {
            let address = Address(SocketAddr::from(([10, 1, 0, sender as u8], 7_000)));
            let notice = self.nodes[sender].index.notice(address, self.notices, now);
            for receiver in (0..NODES).filter(|receiver| *receiver != sender) {
                self.nodes[receiver].index.receive(notice.clone(), now);
            }
        }
    }

    fn caller(&mut self, is_long: bool) -> Caller {
        self.prompts += 1;
        let shared = PromptPart { id: self.random.u64(..SHARED_PARTS), tokens: SHARED_TOKENS };
        let own = PromptPart { id: self.prompts, tokens: if is_long { OWN_TOKENS } else { SHORT_TOKENS } };
        let parts = if is_long { vec![shared, own] } else { vec![own] };
        let tokens = parts.iter().map(|part| part.tokens).sum();
        let answer_tokens = if is_long { LONG_ANSWER_TOKENS } else { SHORT_ANSWER_TOKENS };
        Caller {
            node: self.random.usize(..NODES),
            arrived: self.now,
            prompt: Prompt { tokens, output_tokens_maximum: answer_tokens, parts },
            is_long,
            answer_tokens,
            sent: self.now,
            ready: self.now,
            reading: None,
            was_moved: false,
            unread: 0.0,
            made: 0,
        }
    }

    /// Handles a request at its node: the prompt goes to a prefill engine, or to the decode engine that answers it.
    fn handle_arrival(&mut self, mut caller: Caller) {
        let node = caller.node;
        let engine_number = if caller.is_long {
            self.choose_engine_for_prefill(node, &caller.prompt)
        } else if self.nodes[node].short_prefill.prefers_prefill_engine(TARGET, &mut self.random) {
            let now = self.now();
            self.choose(node, |index| Purpose::PrefillShort { index, now })
        } else {
            None
        };
        let engine_number = engine_number.or_else(|| self.choose_decode_engine(node)).expect("there are engines");
        let now = self.now();
        let engine = &mut self.engines[engine_number];
        if caller.is_long {
            caller.reading = Some(self.nodes[node].index.begin(&engine.back_end, &caller.prompt, Urgency::InTime, now));
        }
        engine.take_in(caller);
    }

    fn handle_event(&mut self, engine: usize, event: Event, faults: Faults) {
        let now = self.now();
        match event {
            Event::Read(caller) => self.send_to_decode_engine(caller, faults),
            Event::Left(caller) => {
                if let Some(reading) = caller.reading {
                    self.nodes[caller.node].index.end(reading, false, now);
                }
                self.record_outcome(caller.arrived, None);
            }
            Event::Began { node, reading, prompt, is_long, was_moved, sent, arrived } => {
                let node = &mut self.nodes[node];
                if let Some(reading) = reading {
                    node.index.end(reading, true, now);
                }
                let took = Duration::from_micros(self.now - sent);
                match (is_long, was_moved) {
                    (true, true) => {
                        node.index.record_cache_transfer(&self.engines[engine].back_end.id, &prompt, took, now)
                    }
                    (true, false) => {}
                    (false, on_prefill_engine) => {
                        node.short_prefill.observe(on_prefill_engine, took);
                        node.index.record_wait(took, now);
                    }
                }
                self.record_outcome(arrived, Some(Duration::from_micros(self.now - arrived)));
            }
        }
    }

    /// Sends a request to a decode engine after its prefill, with its KV cache.
    fn send_to_decode_engine(&mut self, mut caller: Caller, faults: Faults) {
        let now = self.now();
        if let Some(reading) = caller.reading.take() {
            self.nodes[caller.node].index.end(reading, true, now);
        }
        let engine = self.choose_decode_engine(caller.node).expect("there are engines");
        let move_micros = f64::from(caller.prompt.tokens) * MOVE_MILLIS * faults.move_slowdown;
        caller.was_moved = true;
        caller.sent = self.now;
        caller.ready = self.now + move_micros as u64;
        self.engines[engine].take_in(caller);
    }

    fn choose_engine_for_prefill(&mut self, node: usize, prompt: &Prompt) -> Option<usize> {
        let (now, in_time) = (self.now(), self.config.in_time(TARGET, Duration::ZERO));
        self.choose(node, |index| Purpose::Prefill { prompt, in_time, index, now })
    }

    fn choose_decode_engine(&mut self, node: usize) -> Option<usize> {
        let now = self.now();
        self.choose(node, |index| Purpose::Decode { near: None, index, now })
    }

    /// The engine that a node chooses. The node knows its own requests at each engine, and the announced prefills of others.
    fn choose<'w>(&'w mut self, node: usize, purpose: impl FnOnce(&'w PromptIndex) -> Purpose<'w>) -> Option<usize> {
        let candidate = |engine: &'w Engine| Candidate {
            back_end: &engine.back_end,
            usability: Usability::Usable,
            healthy: true,
            connectable: true,
            in_flight: engine.in_flight(node),
        };
        let candidates: Vec<Candidate<'_>> = self.engines.iter().map(candidate).collect();
        let purpose = purpose(&self.nodes[node].index);
        place(&candidates, &purpose, &self.config, |_| false, &mut self.random).map(|placed| placed.index)
    }

    fn record_outcome(&mut self, arrived: u64, first_event: Option<Duration>) {
        self.outcomes.push(Outcome { arrived: Timestamp::from_micros(arrived), first_event });
    }
}
