//! Which engine reads which prompts now, and which shared parts each has read: from this node's own requests and from
//! what its peers tell when a reading begins or ends.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::prompt::{Prompt, PromptPart};
use super::readings_message::{FinishedReading, KeptParts, OpenReading, ReadingsNotice, ToldPart};
use crate::back_ends::EngineStage;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// Limits of a [`PromptIndex`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptIndexConfig {
    /// The tokens that an engine reads in a millisecond, to tell how much of a reading is left. Engines differ; an error
    /// here only makes a backlog look a little longer or shorter.
    pub tokens_per_milli: f64,
    /// What taking a kept part over from another engine counts for, in tokens that could be read meanwhile.
    pub fetch_tokens: u32,
    /// How much longer a decode engine takes to read than a prefill engine: it reads in small pieces between the tokens
    /// of others, whom it holds up a little.
    pub decode_slowness: f64,
    /// A reading that is not heard to end is regarded as ended after this time.
    pub reading_maximum: Duration,
    /// The tokens that an engine's cache holds.
    pub cache_tokens: u64,
    /// The share of a cache that is believed to hold what was read last; the rest is for requests that run and for short
    /// prompts, of which nothing is known here.
    pub cache_share: f64,
    /// The finished readings that are told once more with the next notice, in case the last one was lost.
    pub finished_told: usize,
}

impl Default for PromptIndexConfig {
    fn default() -> Self {
        PromptIndexConfig {
            tokens_per_milli: 50.0,
            fetch_tokens: 1_500,
            decode_slowness: 3.5,
            reading_maximum: Duration::from_secs(4),
            cache_tokens: 400_000,
            cache_share: 0.85,
            finished_told: 4,
        }
    }
}

/// Names one of this node's own readings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadingId(u64);

#[derive(Clone, Debug)]
struct Reading {
    engine: BackEndId,
    tokens: u32,
    part: Option<PromptPart>,
    prompt_tokens: u32,
    began: Timestamp,
}

#[derive(Clone, Debug)]
struct PeerReadings {
    sequence: u64,
    /// The number of the last finished reading that was counted.
    finished: u64,
    heard_at: Timestamp,
    open: Vec<Reading>,
}

/// What an engine is believed to keep. Engines give up what was not used for the longest time, so a part is there until
/// as many tokens were brought in after its last use as the cache holds.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    /// Tokens brought in so far.
    brought: u64,
    parts: HashMap<u64, KeptPart>,
}

#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u32,
    used_at: Timestamp,
    brought_before: u64,
}

/// What this node knows of the reading of prompts.
#[derive(Clone, Debug, Default)]
pub struct PromptIndex {
    config: PromptIndexConfig,
    own: BTreeMap<ReadingId, Reading>,
    next: u64,
    finished_count: u64,
    finished: Vec<FinishedReading>,
    peers: HashMap<Address, PeerReadings>,
    kept: HashMap<BackEndId, EngineCache>,
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
        let prompt_tokens = prompt.tokens;
        self.own.insert(id, Reading { engine: engine.clone(), tokens, part, prompt_tokens, began: now });
        id
    }

    /// Notes that one of this node's readings has ended, whole or not.
    pub fn end(&mut self, id: ReadingId, whole: bool, now: Timestamp) {
        let Some(reading) = self.own.remove(&id) else {
            return;
        };
        if let (true, Some(part)) = (whole, reading.part) {
            self.finish(reading.engine, part, reading.prompt_tokens, now);
        }
    }

    /// Notes that `engine` has got the KV cache of `prompt` from another one, and keeps its shared part from now on.
    pub fn moved(&mut self, engine: &BackEndId, prompt: &Prompt, now: Timestamp) {
        if let Some(part) = prompt.first_shared_part() {
            self.finish(engine.clone(), part, prompt.tokens, now);
        }
    }

    fn finish(&mut self, engine: BackEndId, part: PromptPart, tokens: u32, now: Timestamp) {
        self.finished_count += 1;
        let finished = FinishedReading { engine, number: self.finished_count, part, tokens };
        self.keep(&finished, now);
        self.finished.push(finished);
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
        let known = self.peers.get(&notice.sender).filter(|peer| {
            // A sender that was restarted counts anew; its last life is soon forgotten.
            now.since(peer.heard_at) < self.config.reading_maximum || notice.sequence > peer.sequence
        });
        if known.is_some_and(|peer| notice.sequence <= peer.sequence) {
            return;
        }
        let counted = known.map_or(0, |peer| peer.finished);
        let open = notice.open.into_iter().map(|reading| Reading {
            engine: reading.engine,
            tokens: reading.tokens,
            part: None,
            prompt_tokens: reading.tokens,
            began: now - Duration::from_millis(u64::from(reading.age_millis)),
        });
        let finished = notice.finished.last().map_or(counted, |last| last.number.max(counted));
        let readings = PeerReadings { sequence: notice.sequence, finished, heard_at: now, open: open.collect() };
        self.peers.insert(notice.sender, readings);
        for finished in notice.finished.iter().filter(|finished| finished.number > counted) {
            self.keep(finished, now);
        }
    }

    /// What a node that has just started is told: for each engine the parts that it is believed to keep, those used last
    /// first, so many at most.
    pub fn kept_parts(&self, parts_maximum: usize) -> impl Iterator<Item = KeptParts> {
        self.kept.iter().map(move |(engine, cache)| {
            let told = cache.parts.iter().map(|(id, kept)| ToldPart {
                part: PromptPart { id: *id, tokens: kept.tokens },
                brought_since: cache.brought - kept.brought_before,
            });
            let mut parts: Vec<ToldPart> = told.collect();
            parts.sort_by_key(|told| (told.brought_since, told.part.id));
            parts.truncate(parts_maximum);
            KeptParts { engine: engine.clone(), parts }
        })
    }

    /// Takes in what a peer believes that an engine keeps; parts that this node knows of stay as they are.
    pub fn adopt_kept(&mut self, told: KeptParts, now: Timestamp) {
        let cache = self.kept.entry(told.engine).or_default();
        let oldest = told.parts.iter().map(|told| told.brought_since).max().unwrap_or(0);
        let missing = oldest.saturating_sub(cache.brought);
        cache.brought += missing;
        cache.parts.values_mut().for_each(|kept| kept.brought_before += missing);
        for ToldPart { part, brought_since } in told.parts {
            let brought_before = cache.brought - brought_since;
            cache.parts.entry(part.id).or_insert(KeptPart { tokens: part.tokens, used_at: now, brought_before });
        }
    }

    /// Forgets engines that are not in `present`.
    pub fn retain_engines(&mut self, present: impl Fn(&BackEndId) -> bool) {
        self.kept.retain(|engine, _| present(engine));
    }

    /// What it costs to have an engine read `prompt` now, in tokens of a prefill engine: those that it has still to read
    /// for others and those of the prompt that it does not keep. A shared part that another engine keeps is taken over
    /// from there instead of being read.
    pub fn cost(&self, engine: &BackEndId, stage: EngineStage, prompt: &Prompt, now: Timestamp) -> u64 {
        let unread = match prompt.first_shared_part() {
            Some(part) if !self.keeps(engine, part) && self.is_kept_anywhere(part) => {
                prompt.tokens.saturating_sub(part.tokens) + self.config.fetch_tokens
            }
            _ => self.unread(engine, prompt),
        };
        let slowness = match stage {
            EngineStage::Prefill => 1.0,
            EngineStage::Decode => self.config.decode_slowness,
        };
        ((self.backlog(engine, now) + f64::from(unread)) * slowness) as u64
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

    /// An engine other than `reader` that `is_usable` and keeps the shared part of `prompt`, which `reader` lacks: the
    /// one that used it last.
    pub fn keeper(
        &self,
        reader: &BackEndId,
        prompt: &Prompt,
        is_usable: impl Fn(&BackEndId) -> bool,
    ) -> Option<&BackEndId> {
        let part = prompt.first_shared_part()?;
        if self.keeps(reader, part) {
            return None;
        }
        let keepers =
            self.kept.iter().filter_map(|(engine, parts)| Some((engine, self.kept_part(parts, part)?.used_at)));
        let usable = keepers.filter(|(engine, _)| is_usable(engine));
        usable.max_by_key(|(engine, used_at)| (*used_at, *engine)).map(|(engine, _)| engine)
    }

    fn keeps(&self, engine: &BackEndId, part: PromptPart) -> bool {
        self.kept.get(engine).is_some_and(|cache| self.kept_part(cache, part).is_some())
    }

    fn is_kept_anywhere(&self, part: PromptPart) -> bool {
        self.kept.values().any(|cache| self.kept_part(cache, part).is_some())
    }

    fn kept_part<'c>(&self, cache: &'c EngineCache, part: PromptPart) -> Option<&'c KeptPart> {
        cache.parts.get(&part.id).filter(|kept| cache.brought - kept.brought_before < self.room())
    }

    fn room(&self) -> u64 {
        (self.config.cache_tokens as f64 * self.config.cache_share) as u64
    }

    fn keep(&mut self, finished: &FinishedReading, now: Timestamp) {
        let room = self.room();
        let part = finished.part;
        let kept_before = self.keeps(&finished.engine, part);
        let brought = if kept_before { finished.tokens.saturating_sub(part.tokens) } else { finished.tokens };
        let cache = self.kept.entry(finished.engine.clone()).or_default();
        cache.brought += u64::from(brought);
        let kept = KeptPart { tokens: part.tokens, used_at: now, brought_before: cache.brought };
        cache.parts.insert(part.id, kept);
        let brought = cache.brought;
        cache.parts.retain(|_, kept| brought - kept.brought_before < room);
    }

    /// Sets the tokens that an engine's cache holds.
    pub fn set_cache_tokens(&mut self, cache_tokens: u64) {
        self.config.cache_tokens = cache_tokens;
    }

    /// The tokens of all parts that `engine` is believed to keep.
    pub fn kept_tokens(&self, engine: &BackEndId) -> u64 {
        self.kept.get(engine).map_or(0, |cache| cache.parts.values().map(|part| u64::from(part.tokens)).sum())
    }
}

/// The share of a reading that is regarded as left until it is heard to end.
const LEFT_MINIMUM: f64 = 0.1;
