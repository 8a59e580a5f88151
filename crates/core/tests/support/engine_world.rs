//! A small world in virtual time: eight nodes place prompts on engines by the real decisions, and tell each other what they read.

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

/// The time between two looks at the world, and between two notices of a node, in microseconds.
const TICK: u64 = 500;
const NOTICE_PAUSE: u64 = 50_000;

const NODES: usize = 8;
const PREFILL_ENGINES: usize = 7;
const DECODE_ENGINES: usize = 5;

/// A move takes so long for a thousand tokens, in milliseconds.
const MOVE: f64 = 0.5;

/// Long prompts have a shared part, of which all engines that read can keep two thirds, and an own one.
const SHARED_TOKENS: u32 = 6_000;
const SHARED_PARTS: u64 = 600;
const OWN_TOKENS: u32 = 3_000;
const LONG_ANSWER_TOKENS: u32 = 14;

const SHORT_TOKENS: u32 = 220;
const SHORT_ANSWER_TOKENS: u32 = 90;

/// The longest that an answer in time may take to begin.
pub const TARGET: Duration = Duration::from_millis(200);

/// What the callers ask for in a second.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub long_per_second: f64,
    pub short_per_second: f64,
}

/// What strikes the engines.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// So many engines of each stage do nothing.
    pub halted: usize,
    /// Moves take so many times as long.
    pub moves_slower: f64,
}

impl Default for Trouble {
    fn default() -> Self {
        Trouble { halted: 0, moves_slower: 1.0 }
    }
}

/// What one node goes by.
struct Node {
    index: PromptIndex,
    short_reading: ShortPrefill,
}

impl Node {
    fn start() -> Self {
        let mut index = PromptIndex::new(PromptIndexConfig::default());
        index.set_cache_tokens(CACHE_TOKENS);
        Node { index, short_reading: ShortPrefill::default() }
    }
}

/// What one caller got.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub arrived: Timestamp,
    /// How long after its arrival its answer began; `None`: it left before.
    pub first_event: Option<Duration>,
}

/// The world, at one moment.
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

    /// Lets the load come for so long, while trouble strikes or not.
    pub fn play(&mut self, time: Duration, load: Load, trouble: Trouble) {
        let until = self.now + time.as_micros() as u64;
        while self.now < until {
            self.now += TICK;
            if self.now.is_multiple_of(NOTICE_PAUSE) {
                self.exchange_notices();
            }
            for (rate, is_long) in [(load.long_per_second, true), (load.short_per_second, false)] {
                if self.random.f64() < rate * TICK as f64 / 1e6 {
                    let caller = self.caller(is_long);
                    self.arrive(caller);
                }
            }
            for number in 0..self.engines.len() {
                let place_in_stage = if number < PREFILL_ENGINES { number } else { number - PREFILL_ENGINES };
                if place_in_stage >= trouble.halted {
                    let events = self.engines[number].step(self.now);
                    events.into_iter().for_each(|event| self.take_event(number, event, trouble));
                }
            }
        }
    }

    /// Has all nodes forget what they know, also of what they have under way.
    pub fn restart_nodes(&mut self) {
        self.nodes.iter_mut().for_each(|node| *node = Node::start());
    }

    /// Has all nodes see moves of their own that took so long for a thousand tokens, in milliseconds.
    pub fn show_moves(&mut self, count: usize, millis: f64) {
        let now = self.now();
        let prompt = self.caller(true).prompt;
        let took = Duration::from_secs_f64(millis * f64::from(prompt.tokens) / 1e6);
        let engine = self.engines[PREFILL_ENGINES].back_end.id.clone();
        for node in &mut self.nodes {
            (0..count).for_each(|_| node.index.moved(&engine, &prompt, took, now));
        }
    }

    /// What the first node believes of engines, for a test's complaint.
    pub fn believed(&self) -> String {
        let named = self.nodes[0]
            .index
            .model()
            .estimates(self.now())
            .map(|(name, belief)| format!("{name}={:.1}", belief.value));
        named.join(" ")
    }

    /// Nodes tell each other what they read and have read.
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

    /// What a node does with a request that comes: it has the prompt read apart, or sends it where it is answered.
    fn arrive(&mut self, mut caller: Caller) {
        let node = caller.node;
        let reader = if caller.is_long {
            self.choose_reader(node, &caller.prompt)
        } else if self.nodes[node].short_reading.prefers_prefill_engine(TARGET, &mut self.random) {
            let now = self.now();
            self.choose(node, |index| Purpose::PrefillShort { index, now })
        } else {
            None
        };
        let reader = reader.or_else(|| self.choose_answerer(node)).expect("there are engines");
        let now = self.now();
        let engine = &mut self.engines[reader];
        if caller.is_long {
            caller.reading = Some(self.nodes[node].index.begin(&engine.back_end, &caller.prompt, Urgency::InTime, now));
        }
        engine.take_in(caller);
    }

    fn take_event(&mut self, engine: usize, event: Event, trouble: Trouble) {
        let now = self.now();
        match event {
            Event::Read(caller) => self.hand_over(caller, trouble),
            Event::Left(caller) => {
                if let Some(reading) = caller.reading {
                    self.nodes[caller.node].index.end(reading, false, now);
                }
                self.note_outcome(caller.arrived, None);
            }
            Event::Began { node, reading, prompt, is_long, was_moved, sent, arrived } => {
                let node = &mut self.nodes[node];
                if let Some(reading) = reading {
                    node.index.end(reading, true, now);
                }
                let took = Duration::from_micros(self.now - sent);
                match (is_long, was_moved) {
                    (true, true) => node.index.moved(&self.engines[engine].back_end.id, &prompt, took, now),
                    (true, false) => {}
                    (false, apart) => {
                        node.short_reading.observe(apart, took);
                        node.index.waited(took, now);
                    }
                }
                self.note_outcome(arrived, Some(Duration::from_micros(self.now - arrived)));
            }
        }
    }

    /// A prompt that was read goes to the engine that answers, with its KV cache.
    fn hand_over(&mut self, mut caller: Caller, trouble: Trouble) {
        let now = self.now();
        if let Some(reading) = caller.reading.take() {
            self.nodes[caller.node].index.end(reading, true, now);
        }
        let engine = self.choose_answerer(caller.node).expect("there are engines");
        let move_micros = f64::from(caller.prompt.tokens) * MOVE * trouble.moves_slower;
        caller.was_moved = true;
        caller.sent = self.now;
        caller.ready = self.now + move_micros as u64;
        self.engines[engine].take_in(caller);
    }

    fn choose_reader(&mut self, node: usize, prompt: &Prompt) -> Option<usize> {
        let (now, in_time) = (self.now(), self.config.in_time(TARGET, Duration::ZERO));
        self.choose(node, |index| Purpose::Prefill { prompt, in_time, index, now })
    }

    fn choose_answerer(&mut self, node: usize) -> Option<usize> {
        let now = self.now();
        self.choose(node, |index| Purpose::Decode { near: None, index, now })
    }

    /// The engine that a node chooses. It knows its own requests there, and of others' what they read.
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

    fn note_outcome(&mut self, arrived: u64, first_event: Option<Duration>) {
        self.outcomes.push(Outcome { arrived: Timestamp::from_micros(arrived), first_event });
    }
}
