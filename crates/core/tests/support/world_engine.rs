//! Engines in virtual time, whose step times grow with the work in each step.
//!
//! Prefill engines process one prompt after the other. Decode engines generate one token for each answer in a step, and
//! prefill a piece of each of their prompts between two tokens, at half the rate of prefill engines; a step takes
//! longer the more answers run and the more pieces are prefilled in it.

use std::collections::VecDeque;

use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::relay::{PrefillId, Prompt};

use super::relay_fixture::back_end;

/// Tokens per millisecond that a prefill engine and a decode engine prefill.
const PREFILL_RATE: f64 = 300.0;
const DECODE_RATE: f64 = 150.0;

/// The minimum duration of a decode engine's step and the time added for each answer, both in milliseconds, and the
/// tokens of a prompt piece that is prefilled in a step.
const STEP_MILLIS: f64 = 0.6;
const STEP_MILLIS_PER_ANSWER: f64 = 0.04;
const PIECE_TOKENS: f64 = 256.0;

/// The maximum number of answers that an engine runs at once, and the tokens in the first event of an answer.
const MAX_CONCURRENT_ANSWERS: usize = 48;
const FIRST_EVENT_TOKENS: u32 = 7;

/// The capacity of an engine's KV cache, in tokens.
pub const CACHE_TOKENS: u64 = 305_000;

/// A caller that waits longer than this for the first event leaves, in microseconds.
const FIRST_EVENT_TIMEOUT: u64 = 2_000_000;

/// A caller's request, from its arrival to its end. Times are in microseconds.
pub struct Caller {
    /// The node that received the request.
    pub node: usize,
    pub arrived: u64,
    pub prompt: Prompt,
    pub is_long: bool,
    pub answer_tokens: u32,
    /// The time at which the request was sent to its current engine.
    pub sent: u64,
    /// The time from which that engine can start the request: the move of a KV cache takes time.
    pub ready: u64,
    pub reading: Option<PrefillId>,
    /// Whether another engine has prefilled the prompt.
    pub was_moved: bool,
    pub unread: f64,
    pub made: u32,
}

impl Caller {
    fn is_gone(&self, now: u64) -> bool {
        self.made < FIRST_EVENT_TOKENS && now - self.arrived > FIRST_EVENT_TIMEOUT
    }
}

/// A change in the state of a caller's request in a step.
pub enum Event {
    /// A prefill engine has finished the prompt.
    Read(Caller),
    /// The first event of the answer was sent.
    Began {
        node: usize,
        reading: Option<PrefillId>,
        prompt: Prompt,
        is_long: bool,
        was_moved: bool,
        sent: u64,
        arrived: u64,
    },
    /// The caller left before the first event of the answer.
    Left(Caller),
}

/// The state of a simulated engine.
pub struct Engine {
    pub back_end: BackEnd,
    /// The ids of the cached shared parts, the least recently used first.
    cached_parts: VecDeque<u64>,
    busy_until: u64,
    queue: VecDeque<Caller>,
    running: Vec<Caller>,
}

impl Engine {
    pub fn new(number: u8, stage: EngineStage) -> Self {
        let back_end = back_end(number, Some(stage));
        Engine { back_end, cached_parts: VecDeque::new(), busy_until: 0, queue: VecDeque::new(), running: Vec::new() }
    }

    /// The number of requests of one node at this engine.
    pub fn in_flight(&self, node: usize) -> u32 {
        let callers = self.queue.iter().chain(&self.running);
        callers.filter(|caller| caller.node == node).count() as u32
    }

    /// Enqueues a request; its prompt is prefilled here unless another engine has done so.
    pub fn take_in(&mut self, mut caller: Caller) {
        let unread = self.cache(&caller.prompt);
        caller.unread = if caller.was_moved { 0.0 } else { unread };
        self.queue.push_back(caller);
    }

    /// Runs the step that is due at `now`; does nothing while the previous step runs.
    pub fn step(&mut self, now: u64) -> Vec<Event> {
        if now < self.busy_until {
            return Vec::new();
        }
        match self.back_end.stage {
            Some(EngineStage::Prefill) => self.prefill(now),
            _ => self.decode(now),
        }
    }

    /// Adds a prompt's shared part to the cache; returns the tokens of the prompt that were not cached.
    fn cache(&mut self, prompt: &Prompt) -> f64 {
        let Some(shared) = prompt.deepest_shared_part() else {
            return f64::from(prompt.tokens);
        };
        let cached_position = self.cached_parts.iter().position(|id| *id == shared.id);
        if let Some(position) = cached_position {
            self.cached_parts.remove(position);
        }
        self.cached_parts.push_back(shared.id);
        if self.cached_parts.len() as u64 * u64::from(shared.tokens) > CACHE_TOKENS {
            self.cached_parts.pop_front();
        }
        f64::from(prompt.tokens - if cached_position.is_some() { shared.tokens } else { 0 })
    }

    /// Finishes the prompt of a prefill engine and starts the next one.
    fn prefill(&mut self, now: u64) -> Vec<Event> {
        let mut events: Vec<Event> = self.running.drain(..).map(Event::Read).collect();
        while let Some(caller) = self.queue.pop_front() {
            if caller.is_gone(now) {
                events.push(Event::Left(caller));
                continue;
            }
            self.busy_until = now + (caller.unread / PREFILL_RATE * 1e3) as u64;
            self.running.push(caller);
            break;
        }
        events
    }

    /// Runs one step of a decode engine.
    fn decode(&mut self, now: u64) -> Vec<Event> {
        let mut events = self.admit(now);
        let (mut pieces, mut answers) = (0, 0);
        for caller in &mut self.running {
            if caller.unread > 0.0 {
                caller.unread -= PIECE_TOKENS;
                pieces += 1;
                continue;
            }
            answers += 1;
            caller.made += 1;
            if caller.made == FIRST_EVENT_TOKENS {
                events.push(Event::Began {
                    node: caller.node,
                    reading: caller.reading.take(),
                    prompt: caller.prompt.clone(),
                    is_long: caller.is_long,
                    was_moved: caller.was_moved,
                    sent: caller.sent,
                    arrived: caller.arrived,
                });
            }
        }
        let millis =
            STEP_MILLIS + STEP_MILLIS_PER_ANSWER * f64::from(answers) + f64::from(pieces) * PIECE_TOKENS / DECODE_RATE;
        self.busy_until = now + (millis * 1e3) as u64;
        let is_finished = |caller: &mut Caller| caller.is_gone(now) || caller.made >= caller.answer_tokens;
        let finished = self.running.extract_if(.., is_finished);
        events.extend(finished.filter(|caller| caller.made < FIRST_EVENT_TOKENS).map(Event::Left));
        events
    }

    /// Starts the queued requests that are ready, up to [`MAX_CONCURRENT_ANSWERS`]; drops those whose caller has left.
    fn admit(&mut self, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for caller in std::mem::take(&mut self.queue) {
            if caller.is_gone(now) {
                events.push(Event::Left(caller));
            } else if caller.ready <= now && self.running.len() < MAX_CONCURRENT_ANSWERS {
                self.running.push(caller);
            } else {
                self.queue.push_back(caller);
            }
        }
        events
    }
}
