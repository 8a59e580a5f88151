//! Which engine reads which prompts now, and which shared parts each has read: from this node's own requests and from
//! what its peers tell when a reading begins or ends.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use speedy::{Readable, Writable};

use super::prompt::{Prompt, PromptPart};
use crate::back_ends::EngineStage;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// Limits of a [`PromptIndex`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptIndexConfig {
    /// The tokens that an engine reads in a millisecond, to tell how much of a reading is left. Engines differ; an error
    /// here only makes a backlog look a little longer or shorter.
    pub tokens_per_milli: f64,
    /// What reading a part again counts for that another engine keeps, relative to its tokens: it takes the time of an
    /// engine and the place of other parts.
    pub reread_weight: f64,
    /// How much longer a decode engine takes to read than a prefill engine: it reads in small pieces between the tokens
    /// of others, whom it holds up a little.
    pub decode_slowness: f64,
    /// A reading that is not heard to end is regarded as ended after this time.
    pub reading_maximum: Duration,
    /// The tokens that an engine's cache holds.
    pub cache_tokens: u64,
    /// What a shared part takes of a cache together with the prompts' own parts behind it, relative to its tokens.
    pub cache_weight: f64,
    /// The finished readings that are told once more with the next notice, in case the last one was lost.
    pub finished_told: usize,
}

impl Default for PromptIndexConfig {
    fn default() -> Self {
        PromptIndexConfig {
            tokens_per_milli: 50.0,
            reread_weight: 2.5,
            decode_slowness: 3.5,
            reading_maximum: Duration::from_secs(4),
            cache_tokens: 400_000,
            cache_weight: 1.3,
            finished_told: 4,
        }
    }
}

/// A prompt that an engine reads now.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OpenReading {
    /// The engine.
    pub engine: BackEndId,
    /// The tokens that it has to read, without those that it kept.
    pub tokens: u32,
    /// How long it has been reading, in milliseconds.
    pub age_millis: u32,
}

/// A prompt that an engine has read.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct FinishedReading {
    /// The engine.
    pub engine: BackEndId,
    /// The prompt's first shared part, which the engine now keeps.
    pub part: PromptPart,
}

/// What a node tells its peers about the prompts that it has read: everything that is open, so that a lost notice is
/// made up for by the next.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReadingsNotice {
    /// Where the sender takes notices; names it.
    pub sender: Address,
    /// Rises with each notice of one life of the sender.
    pub sequence: u64,
    /// All of the sender's readings that are open.
    pub open: Vec<OpenReading>,
    /// The sender's last finished readings.
    pub finished: Vec<FinishedReading>,
}

/// Names one of this node's own readings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadingId(u64);

#[derive(Clone, Debug)]
struct Reading {
    engine: BackEndId,
    tokens: u32,
    part: Option<PromptPart>,
    began: Timestamp,
}

#[derive(Clone, Debug)]
struct PeerReadings {
    sequence: u64,
    heard_at: Timestamp,
    open: Vec<Reading>,
}

#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u32,
    used_at: Timestamp,
}

/// What this node knows of the reading of prompts.
#[derive(Clone, Debug, Default)]
pub struct PromptIndex {
    config: PromptIndexConfig,
    own: BTreeMap<ReadingId, Reading>,
    next: u64,
    finished: Vec<FinishedReading>,
    peers: HashMap<Address, PeerReadings>,
    kept: HashMap<BackEndId, HashMap<u64, KeptPart>>,
}

impl PromptIndex {
    /// An index that knows nothing yet.
    pub fn new(config: PromptIndexConfig) -> Self {
        PromptIndex { config, ..PromptIndex::default() }
    }

    /// Notes that `engine` begins to read `prompt` for this node.
    pub fn begin(&mut self, engine: &BackEndId, prompt: &Prompt, now: Timestamp) -> ReadingId {
        let id = ReadingId(self.next);
        self.next += 1;
        let tokens = self.unread(engine, prompt);
        let part = prompt.first_shared_part();
        self.own.insert(id, Reading { engine: engine.clone(), tokens, part, began: now });
        id
    }

    /// Notes that one of this node's readings has ended, whole or not.
    pub fn end(&mut self, id: ReadingId, whole: bool, now: Timestamp) {
        let Some(reading) = self.own.remove(&id) else {
            return;
        };
        if let (true, Some(part)) = (whole, reading.part) {
            self.finish(reading.engine, part, now);
        }
    }

    /// Notes that `engine` has got the KV cache of `prompt` from another one, and keeps its shared part from now on.
    pub fn moved(&mut self, engine: &BackEndId, prompt: &Prompt, now: Timestamp) {
        if let Some(part) = prompt.first_shared_part() {
            self.finish(engine.clone(), part, now);
        }
    }

    fn finish(&mut self, engine: BackEndId, part: PromptPart, now: Timestamp) {
        self.keep(&engine, part, now);
        self.finished.push(FinishedReading { engine, part });
        let excess = self.finished.len().saturating_sub(self.config.finished_told);
        self.finished.drain(..excess);
    }

    /// What peers are to be told now.
    pub fn notice(&self, sender: Address, sequence: u64, now: Timestamp) -> ReadingsNotice {
        let open = self.own.values().map(|reading| OpenReading {
            engine: reading.engine.clone(),
            tokens: reading.tokens,
            age_millis: u32::try_from(now.since(reading.began).as_millis()).unwrap_or(u32::MAX),
        });
        ReadingsNotice { sender, sequence, open: open.collect(), finished: self.finished.clone() }
    }

    /// Takes a peer's notice in, unless a newer one of it came before.
    pub fn receive(&mut self, notice: ReadingsNotice, now: Timestamp) {
        let stale = self.peers.get(&notice.sender).is_some_and(|peer| {
            // A sender that was restarted counts anew; its last life is soon forgotten.
            notice.sequence <= peer.sequence && now.since(peer.heard_at) < self.config.reading_maximum
        });
        if stale {
            return;
        }
        let open = notice.open.into_iter().map(|reading| Reading {
            engine: reading.engine,
            tokens: reading.tokens,
            part: None,
            began: now - Duration::from_millis(u64::from(reading.age_millis)),
        });
        let readings = PeerReadings { sequence: notice.sequence, heard_at: now, open: open.collect() };
        self.peers.insert(notice.sender, readings);
        for finished in notice.finished {
            self.keep(&finished.engine, finished.part, now);
        }
    }

    /// Forgets engines that are not in `present`.
    pub fn retain_engines(&mut self, present: impl Fn(&BackEndId) -> bool) {
        self.kept.retain(|engine, _| present(engine));
    }

    /// What it costs to have an engine read `prompt` now, in tokens of a prefill engine: those that it has still to read
    /// for others, those of the prompt that it does not keep, and a share of those that another one keeps.
    pub fn cost(&self, engine: &BackEndId, stage: EngineStage, prompt: &Prompt, now: Timestamp) -> u64 {
        let unread = self.unread(engine, prompt);
        let reread = match prompt.first_shared_part() {
            Some(part) if !self.keeps(engine, part) && self.is_kept_anywhere(part) => {
                f64::from(part.tokens) * self.config.reread_weight
            }
            _ => 0.0,
        };
        let slowness = match stage {
            EngineStage::Prefill => 1.0,
            EngineStage::Decode => self.config.decode_slowness,
        };
        ((self.backlog(engine, now) + f64::from(unread)) * slowness + reread) as u64
    }

    /// The tokens that `engine` has still to read.
    pub fn backlog(&self, engine: &BackEndId, now: Timestamp) -> f64 {
        let of_peers = self.peers.values().flat_map(|peer| &peer.open);
        let open = self.own.values().chain(of_peers).filter(|reading| reading.engine == *engine);
        open.map(|reading| self.left_of(reading, now)).sum()
    }

    fn left_of(&self, reading: &Reading, now: Timestamp) -> f64 {
        let age = now.since(reading.began);
        if age >= self.config.reading_maximum {
            return 0.0;
        }
        let read = age.as_secs_f64() * 1e3 * self.config.tokens_per_milli;
        // A reading that takes longer than expected waits for others; it is not over before it is heard to be.
        (f64::from(reading.tokens) - read).max(f64::from(reading.tokens) * LEFT_MINIMUM)
    }

    fn unread(&self, engine: &BackEndId, prompt: &Prompt) -> u32 {
        let kept = prompt.first_shared_part().filter(|part| self.keeps(engine, *part));
        prompt.tokens.saturating_sub(kept.map_or(0, |part| part.tokens))
    }

    fn keeps(&self, engine: &BackEndId, part: PromptPart) -> bool {
        self.kept.get(engine).is_some_and(|parts| parts.contains_key(&part.id))
    }

    fn is_kept_anywhere(&self, part: PromptPart) -> bool {
        self.kept.values().any(|parts| parts.contains_key(&part.id))
    }

    fn keep(&mut self, engine: &BackEndId, part: PromptPart, now: Timestamp) {
        let parts = self.kept.entry(engine.clone()).or_default();
        parts.insert(part.id, KeptPart { tokens: part.tokens, used_at: now });
        let room = self.config.cache_tokens as f64 / self.config.cache_weight;
        let mut tokens: f64 = parts.values().map(|part| f64::from(part.tokens)).sum();
        while tokens > room && parts.len() > 1 {
            // An engine gives up what was not used for the longest time, and so is it forgotten here.
            let Some(oldest) = parts.iter().min_by_key(|(id, part)| (part.used_at, **id)).map(|(id, _)| *id) else {
                return;
            };
            tokens -= parts.remove(&oldest).map_or(0.0, |part| f64::from(part.tokens));
        }
    }

    /// Sets the tokens that an engine's cache holds.
    pub fn set_cache_tokens(&mut self, cache_tokens: u64) {
        self.config.cache_tokens = cache_tokens;
    }

    /// The tokens of all parts that `engine` is believed to keep.
    pub fn kept_tokens(&self, engine: &BackEndId) -> u64 {
        self.kept.get(engine).map_or(0, |parts| parts.values().map(|part| u64::from(part.tokens)).sum())
    }
}

/// The share of a reading that is regarded as left until it is heard to end.
const LEFT_MINIMUM: f64 = 0.1;
