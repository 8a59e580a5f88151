//! The requests of an experiment, in the order of their arrival. The same seed gives the same requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::time::Timestamp;
use havengate_core::world::{ModelName, TenantName};

use super::description::{Experiment, LengthRange, TrafficSource};

/// A request that a caller makes.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is made, from the start of the experiment.
    pub at: Timestamp,
    /// Counts the requests of the experiment, from 0.
    pub number: u64,
    /// The place of its phase among the phases.
    pub phase: usize,
    /// Who asks.
    pub tenant: TenantName,
    /// The model asked for.
    pub model: ModelName,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the answer.
    pub output_tokens: u32,
    /// The shared prefix that the prompt begins with, and its length in tokens.
    pub shared_prefix: Option<SharedPrefix>,
    /// Whether it carries an idempotency key of its own.
    pub once_only: bool,
}

/// A beginning that a prompt shares with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SharedPrefix {
    /// Which of the experiment's prefixes.
    pub identity: u64,
    /// Its length in tokens; never longer than the prompt.
    pub tokens: u32,
}

/// Makes the requests of an experiment.
pub struct Arrivals<'a> {
    sources: Vec<Source<'a>>,
    next: BinaryHeap<Reverse<(Timestamp, usize)>>,
    number: u64,
}

/// One source in one run through its phase, with random choices of its own: a change to one source doesn't change what
/// the others ask for.
struct Source<'a> {
    description: &'a TrafficSource,
    phase: usize,
    ends: Timestamp,
    identity: u64,
    random: Rng,
}

impl<'a> Arrivals<'a> {
    /// The requests of `experiment`, at random times and of random lengths from `seed`.
    pub fn new(experiment: &'a Experiment, seed: u64) -> Self {
        let mut arrivals = Arrivals { sources: Vec::new(), next: BinaryHeap::new(), number: 0 };
        let mut begins = Timestamp::ZERO;
        let mut master = Rng::with_seed(seed);
        for _ in 0..experiment.repetitions {
            for (phase, description) in experiment.phases.iter().enumerate() {
                let ends = begins + description.duration;
                for (place, source) in description.sources.iter().enumerate() {
                    let identity = ((phase as u64) << 32) | place as u64;
                    let random = master.fork();
                    arrivals.add(Source { description: source, phase, ends, identity, random }, begins);
                }
                begins = ends;
            }
        }
        arrivals
    }

    fn add(&mut self, mut source: Source<'a>, begins: Timestamp) {
        let first = source.after(begins);
        self.sources.push(source);
        self.schedule(self.sources.len() - 1, first);
    }

    fn schedule(&mut self, source: usize, at: Option<Timestamp>) {
        self.next.extend(at.map(|at| Reverse((at, source))));
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let Reverse((at, index)) = self.next.pop()?;
        let source = &mut self.sources[index];
        let arrival = source.arrival(at, self.number);
        let following = source.after(at);
        self.number += 1;
        self.schedule(index, following);
        Some(arrival)
    }
}

impl Source<'_> {
    /// The time of the next request after `at`; `None` when the phase ends before.
    fn after(&mut self, at: Timestamp) -> Option<Timestamp> {
        let rate = self.description.requests_per_second;
        if rate <= 0.0 {
            return None;
        }
        let gap = -(1.0 - self.random.f64()).ln() / rate;
        let next = at + Duration::from_secs_f64(gap.min(LONGEST_GAP_SECONDS));
        (next < self.ends).then_some(next)
    }

    fn arrival(&mut self, at: Timestamp, number: u64) -> Arrival {
        let description = self.description;
        let prompt_tokens = draw(&mut self.random, description.prompt_tokens);
        let output_tokens = draw(&mut self.random, description.output_tokens);
        let prefix = self.random.u32(0..description.shared_prefixes);
        let shared = description.shared_prefix_tokens.min(prompt_tokens);
        Arrival {
            at,
            number,
            phase: self.phase,
            tenant: description.tenant.clone(),
            model: description.model.clone(),
            prompt_tokens,
            output_tokens,
            shared_prefix: (shared > 0)
                .then_some(SharedPrefix { identity: (self.identity << 16) | u64::from(prefix), tokens: shared }),
            once_only: description.once_only,
        }
    }
}

/// The longest gap that is drawn; it only keeps very low rates within the range of a duration.
const LONGEST_GAP_SECONDS: f64 = 1e7;

fn draw(random: &mut Rng, lengths: LengthRange) -> u32 {
    let (low, high) = (f64::from(lengths.minimum).ln(), f64::from(lengths.maximum).ln());
    let drawn = (low + random.f64() * (high - low)).exp().round() as u32;
    drawn.clamp(lengths.minimum, lengths.maximum)
}
