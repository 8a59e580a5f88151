//! Engines in virtual time, whose steps grow with what they read and answer.
//!
//! Those that read prompts do so one after the other. Those that answer make one token for each answer in a step, and read a piece of each prompt that
//! they have between two tokens, at half the pace; a step takes longer the more answers run and the more pieces are read in it.

use std::collections::VecDeque;

use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::relay::{PrefillId, Prompt};

use super::relay_fixture::back_end;

/// Tokens that an engine reads in a millisecond: one that reads only, and one that answers.
const PREFILL_RATE: f64 = 300.0;
const DECODE_RATE: f64 = 150.0;

/// A step of an engine that answers, in milliseconds: what it takes at least, for each answer, and the tokens of a piece.
const STEP: f64 = 0.6;
const STEP_FOR_AN_ANSWER: f64 = 0.04;
const PIECE_TOKENS: f64 = 256.0;

/// Answers that an engine runs at once, and the tokens that come with its first event.
const PLACES: usize = 48;
const FIRST_EVENT_TOKENS: u32 = 7;

/// What an engine keeps.
pub const CACHE_TOKENS: u64 = 305_000;

/// Who waits longer than this for the first event is gone, in microseconds.
const PATIENCE: u64 = 2_000_000;

/// A caller's request, from its arrival to its end. Moments are in microseconds.
pub struct Caller {
    /// The node that it came to.
    pub node: usize,
    pub arrived: u64,
    pub prompt: Prompt,
    pub is_long: bool,
    pub answer_tokens: u32,
    /// When it was sent to the engine that has it.
    pub sent: u64,
    /// From when on that engine has what it needs for it: a KV cache that is moved takes a while.
    pub ready: u64,
    pub reading: Option<PrefillId>,
    /// Whether another engine has read its prompt.
    pub was_moved: bool,
    pub unread: f64,
    pub made: u32,
}

impl Caller {
    fn is_gone(&self, now: u64) -> bool {
        self.made < FIRST_EVENT_TOKENS && now - self.arrived > PATIENCE
    }
}

/// What has become of a caller's request in a step.
pub enum Event {
    /// Its prompt was read by an engine that doesn't answer.
    Read(Caller),
    /// Its answer has begun.
    Began {
        node: usize,
        reading: Option<PrefillId>,
        prompt: Prompt,
        is_long: bool,
        was_moved: bool,
        sent: u64,
        arrived: u64,
    },
    /// Its caller has left before that.
    Left(Caller),
}

/// An engine.
pub struct Engine {
    pub back_end: BackEnd,
    /// The shared parts that it keeps, the one that was used last at the end.
    kept: VecDeque<u64>,
    busy_until: u64,
    queue: VecDeque<Caller>,
    running: Vec<Caller>,
}

impl Engine {
    pub fn new(number: u8, stage: EngineStage) -> Self {
        let back_end = back_end(number, Some(stage));
        Engine { back_end, kept: VecDeque::new(), busy_until: 0, queue: VecDeque::new(), running: Vec::new() }
    }

    /// Requests of one node that it has.
    pub fn in_flight(&self, node: usize) -> u32 {
        let callers = self.queue.iter().chain(&self.running);
        callers.filter(|caller| caller.node == node).count() as u32
    }

    /// Takes a request in; its prompt is read here unless another engine has read it.
    pub fn take_in(&mut self, mut caller: Caller) {
        let unread = self.keep(&caller.prompt);
        caller.unread = if caller.was_moved { 0.0 } else { unread };
        self.queue.push_back(caller);
    }

    /// Does what is to be done at `now`.
    pub fn step(&mut self, now: u64) -> Vec<Event> {
        if now < self.busy_until {
            return Vec::new();
        }
        match self.back_end.stage {
            Some(EngineStage::Prefill) => self.read(now),
            _ => self.answer(now),
        }
    }

    /// Keeps a prompt's shared part from now on; the tokens that had to be read of it.
    fn keep(&mut self, prompt: &Prompt) -> f64 {
        let Some(shared) = prompt.deepest_shared_part() else {
            return f64::from(prompt.tokens);
        };
        let known = self.kept.iter().position(|id| *id == shared.id);
        if let Some(position) = known {
            self.kept.remove(position);
        }
        self.kept.push_back(shared.id);
        if self.kept.len() as u64 * u64::from(shared.tokens) > CACHE_TOKENS {
            self.kept.pop_front();
        }
        f64::from(prompt.tokens - if known.is_some() { shared.tokens } else { 0 })
    }

    /// An engine that reads has read its prompt, and takes the next one.
    fn read(&mut self, now: u64) -> Vec<Event> {
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

    /// One step of an engine that answers.
    fn answer(&mut self, now: u64) -> Vec<Event> {
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
        let millis = STEP + STEP_FOR_AN_ANSWER * f64::from(answers) + f64::from(pieces) * PIECE_TOKENS / DECODE_RATE;
        self.busy_until = now + (millis * 1e3) as u64;
        let ends = |caller: &mut Caller| caller.is_gone(now) || caller.made >= caller.answer_tokens;
        let ended = self.running.extract_if(.., ends);
        events.extend(ended.filter(|caller| caller.made < FIRST_EVENT_TOKENS).map(Event::Left));
        events
    }

    /// What has come and finds a place begins; whose caller has left is dropped.
    fn admit(&mut self, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for caller in std::mem::take(&mut self.queue) {
            if caller.is_gone(now) {
                events.push(Event::Left(caller));
            } else if caller.ready <= now && self.running.len() < PLACES {
                self.running.push(caller);
            } else {
                self.queue.push_back(caller);
            }
        }
        events
    }
}
