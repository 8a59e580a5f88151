//! A simulation in virtual time of three regions, each with six nodes, two prefill and two decode engines. Nodes place
//! requests with the real placement code, with or without the topology.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::back_ends::EngineStage;
use havengate_core::relay::{
    Candidate, DistanceCost, EngineTag, PlacementConfig, PlacementRules, PrefillNotice, Prompt, PromptIndex,
    PromptIndexConfig, PromptPart, Purpose, Urgency, place,
};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, Topology, ZoneName};

use super::regions::{ZONES, candidate, topology};
use super::world_engine::{CACHE_TOKENS, Caller, Engine, Event};

/// The time between two simulation steps, in microseconds.
const TICK: u64 = 500;

/// The time between two notices of a node, in microseconds.
const NOTICE_INTERVAL: u64 = 50_000;

/// The time that a message between regions takes, in microseconds.
const REGION_LATENCY: u64 = 30_000;

/// The time of a move within a zone, in milliseconds per thousand tokens.
const MOVE_MILLIS: f64 = 0.5;

/// Long prompts have one of [`SHARED_PARTS`] shared parts and a part of their own; sizes are in tokens.
const SHARED_TOKENS: u32 = 6_000;
const SHARED_PARTS: u64 = 40;
const OWN_TOKENS: u32 = 3_000;
const SHORT_TOKENS: u32 = 220;
const ANSWER_TOKENS: u32 = 14;

pub const REGIONS: usize = 3;

/// The nodes of a region, half of them in each of its zones.
const NODES_PER_REGION: usize = 6;

/// The maximum time to the start of an answer that is in time.
pub const TARGET: Duration = Duration::from_millis(400);

/// The requests of a region's callers per second.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub long_per_second: f64,
    pub short_per_second: f64,
}

/// The outcome of one caller's request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub region: usize,
    pub is_in_time: bool,
}

struct Node {
    topology: Topology,
    index: PromptIndex,
}

pub struct World {
    /// In microseconds.
    now: u64,
    random: fastrand::Rng,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    considers_distance: bool,
    config: PlacementConfig,
    /// Requests on their way to an engine, and what engines report to nodes, each with its time of arrival.
    requests: Vec<(u64, usize, Caller)>,
    reports: Vec<(u64, usize, Event)>,
    prompts: u64,
    notices: u64,
    /// The region whose engines are all gone.
    pub gone_region: Option<usize>,
    pub outcomes: Vec<Outcome>,
    /// The number of sends from the nodes of each region to the engines of each region.
    pub sends: [[u32; REGIONS]; REGIONS],
}

/// The region of a zone as a number.
fn region_of(zone: &ZoneName) -> usize {
    ZONES.iter().position(|one| zone == &ZoneName::from(*one)).expect("the zone is listed") / 2
}

impl World {
    pub fn new(seed: u64, considers_distance: bool) -> Self {
        let node = |zone: &str| {
            let mut index = PromptIndex::new(PromptIndexConfig::default());
            index.set_cache_tokens(CACHE_TOKENS);
            Node { topology: topology(zone), index }
        };
        let stages = [EngineStage::Prefill, EngineStage::Decode].into_iter().flat_map(|stage| [stage; ZONES.len()]);
        let engine = |((number, stage), zone): ((u8, EngineStage), &str)| {
            let mut engine = Engine::new(number, stage);
            engine.back_end.zone = zone.into();
            engine
        };
        World {
            now: 1_000_000,
            random: fastrand::Rng::with_seed(seed),
            nodes: ZONES.iter().flat_map(|zone| (0..NODES_PER_REGION / 2).map(|_| node(zone))).collect(),
            engines: (1..).zip(stages).zip(ZONES.into_iter().cycle()).map(engine).collect(),
            considers_distance,
            config: PlacementConfig::default(),
            requests: Vec::new(),
            reports: Vec::new(),
            prompts: SHARED_PARTS,
            notices: 0,
            gone_region: None,
            outcomes: Vec::new(),
            sends: Default::default(),
        }
    }

    /// Runs the simulation for `duration` with these loads of the regions.
    pub fn run(&mut self, duration: Duration, loads: [Load; REGIONS]) {
        let until = self.now + duration.as_micros() as u64;
        while self.now < until {
            self.now += TICK;
            if self.now.is_multiple_of(NOTICE_INTERVAL) {
                self.exchange_notices();
            }
            for (region, load) in loads.into_iter().enumerate() {
                for (rate, is_long) in [(load.long_per_second, true), (load.short_per_second, false)] {
                    if self.random.f64() < rate * TICK as f64 / 1e6 {
                        let caller = self.caller(region, is_long);
                        self.handle_arrival(caller);
                    }
                }
            }
            self.step_engines();
        }
    }

    /// Clears the outcomes and sends so far.
    pub fn reset_counts(&mut self) {
        self.outcomes.clear();
        self.sends = Default::default();
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    fn step_engines(&mut self) {
        let now = self.now;
        for (_, engine, caller) in self.requests.extract_if(.., |(arrives, ..)| *arrives <= now) {
            self.engines[engine].take_in(caller);
        }
        for number in 0..self.engines.len() {
            for event in self.engines[number].step(now) {
                let (Event::Read(Caller { node, .. }) | Event::Left(Caller { node, .. }) | Event::Began { node, .. }) =
                    &event;
                self.reports.push((now + self.latency(*node, number), number, event));
            }
        }
        let reports: Vec<_> = self.reports.extract_if(.., |(arrives, ..)| *arrives <= now).collect();
        reports.into_iter().for_each(|(_, engine, event)| self.handle_event(engine, event));
    }

    /// Sends each node's finished prefills to all other nodes, and its open prefills to those of the engine's region.
    fn exchange_notices(&mut self) {
        self.notices += 1;
        let now = self.now();
        for sender in 0..self.nodes.len() {
            let address = Address(SocketAddr::from(([10, 1, 0, sender as u8], 7_000)));
            let notice = self.nodes[sender].index.notice(address, self.notices, now);
            for receiver in (0..self.nodes.len()).filter(|receiver| *receiver != sender) {
                let is_near = |engine: &&Engine| region_of(&engine.back_end.zone) == receiver / NODES_PER_REGION;
                let near = self.engines.iter().filter(is_near).map(|engine| EngineTag::from(&engine.back_end.id));
                let near: Vec<EngineTag> = near.collect();
                let open = notice.open.iter().filter(|open| near.contains(&open.engine)).cloned().collect();
                self.nodes[receiver].index.receive(PrefillNotice { open, ..notice.clone() }, now);
            }
        }
    }

    fn caller(&mut self, region: usize, is_long: bool) -> Caller {
        self.prompts += 1;
        let shared = PromptPart { id: (self.random.f64().powi(3) * SHARED_PARTS as f64) as u64, tokens: SHARED_TOKENS };
        let own = PromptPart { id: self.prompts, tokens: if is_long { OWN_TOKENS } else { SHORT_TOKENS } };
        let parts = if is_long { vec![shared, own] } else { vec![own] };
        let tokens = parts.iter().map(|part| part.tokens).sum();
        Caller {
            node: NODES_PER_REGION * region + self.random.usize(..NODES_PER_REGION),
            arrived: self.now,
            prompt: Prompt { tokens, output_tokens_maximum: ANSWER_TOKENS, parts },
            is_long,
            answer_tokens: ANSWER_TOKENS,
            sent: self.now,
            ready: self.now,
            reading: None,
            was_moved: false,
            unread: 0.0,
            made: 0,
        }
    }

    fn handle_arrival(&mut self, mut caller: Caller) {
        let (now, in_time) = (self.now(), self.config.in_time(TARGET, Duration::ZERO));
        let prompt = caller.prompt.clone();
        let engine = if caller.is_long {
            self.choose(caller.node, |index| Purpose::Prefill { prompt: &prompt, in_time, index, now })
        } else {
            self.choose(caller.node, |index| Purpose::PrefillShort { index, now })
        };
        let engine = engine.or_else(|| self.choose(caller.node, |index| Purpose::Decode { near: None, index, now }));
        let engine = engine.expect("there are engines");
        if caller.is_long {
            let back_end = &self.engines[engine].back_end;
            let round_trip = self.distance(caller.node).round_trip(&back_end.zone);
            let index = &mut self.nodes[caller.node].index;
            caller.reading = Some(index.begin_at_distance(back_end, &prompt, Urgency::InTime, round_trip, now));
        }
        self.send(caller, engine, 0);
    }

    /// Sends a request to an engine, which can start it `wait` microseconds after it has arrived there.
    fn send(&mut self, mut caller: Caller, engine: usize, wait: u64) {
        let arrives = self.now + self.latency(caller.node, engine);
        self.sends[caller.node / NODES_PER_REGION][region_of(&self.engines[engine].back_end.zone)] += 1;
        caller.sent = self.now;
        caller.ready = arrives + wait;
        self.requests.push((arrives, engine, caller));
    }

    /// Sends a request to a decode engine after its prefill, with its KV cache.
    fn send_to_decode_engine(&mut self, prefill_engine: usize, mut caller: Caller) {
        let now = self.now();
        if let Some(reading) = caller.reading.take() {
            self.nodes[caller.node].index.end(reading, true, now);
        }
        let zone = self.engines[prefill_engine].back_end.zone.clone();
        let near = caller.is_long.then_some(&zone);
        let engine = self.choose(caller.node, |index| Purpose::Decode { near, index, now }).expect("there are engines");
        caller.was_moved = true;
        let factor = self.actual_distance(caller.node).transfer_factor(&zone, &self.engines[engine].back_end.zone);
        let move_micros = f64::from(caller.prompt.tokens) * MOVE_MILLIS * factor;
        self.send(caller, engine, move_micros as u64);
    }

    fn handle_event(&mut self, engine: usize, event: Event) {
        let now = self.now();
        match event {
            Event::Read(caller) => self.send_to_decode_engine(engine, caller),
            Event::Left(caller) => {
                if let Some(reading) = caller.reading {
                    self.nodes[caller.node].index.end(reading, false, now);
                }
                self.outcomes.push(Outcome { region: caller.node / NODES_PER_REGION, is_in_time: false });
            }
            Event::Began { node, reading, prompt, is_long, was_moved, sent, arrived } => {
                let back_end = &self.engines[engine].back_end;
                let round_trip = self.distance(node).round_trip(&back_end.zone);
                let took = Duration::from_micros(self.now - sent).saturating_sub(round_trip);
                let index = &mut self.nodes[node].index;
                match reading {
                    Some(reading) => index.end(reading, true, now),
                    None if is_long && was_moved => index.record_cache_transfer(&back_end.id, &prompt, took, now),
                    None => index.record_wait(took, now),
                }
                let is_in_time = Duration::from_micros(self.now - arrived) <= TARGET;
                self.outcomes.push(Outcome { region: node / NODES_PER_REGION, is_in_time });
            }
        }
    }

    /// The engine that a node chooses among those that are not gone.
    fn choose<'w>(&'w mut self, node: usize, purpose: impl FnOnce(&'w PromptIndex) -> Purpose<'w>) -> Option<usize> {
        let is_present = |engine: &Engine| Some(region_of(&engine.back_end.zone)) != self.gone_region;
        let numbers: Vec<usize> = (0..self.engines.len()).filter(|number| is_present(&self.engines[*number])).collect();
        let candidate = |number: &usize| {
            let on_the_way = self.requests.iter().filter(|(_, engine, caller)| engine == number && caller.node == node);
            let in_flight = self.engines[*number].in_flight(node) + on_the_way.count() as u32;
            Candidate { in_flight, ..candidate(&self.engines[*number].back_end) }
        };
        let candidates: Vec<Candidate<'_>> = numbers.iter().map(candidate).collect();
        let Node { topology, index } = &self.nodes[node];
        let rules = PlacementRules { config: &self.config, topology: self.considers_distance.then_some(topology) };
        let placed = place(&candidates, &purpose(index), rules, |_| false, &mut self.random)?;
        Some(numbers[placed.index])
    }

    /// The distances that a node considers.
    fn distance(&self, node: usize) -> DistanceCost<'_> {
        let topology = &self.nodes[node].topology;
        DistanceCost::new(self.considers_distance.then_some(topology), &self.config)
    }

    fn actual_distance(&self, node: usize) -> DistanceCost<'_> {
        DistanceCost::new(Some(&self.nodes[node].topology), &self.config)
    }

    /// The latency between a node and an engine, in microseconds.
    fn latency(&self, node: usize, engine: usize) -> u64 {
        let is_far = self.actual_distance(node).is_other_region(&self.engines[engine].back_end.zone);
        if is_far { REGION_LATENCY } else { 0 }
    }
}
