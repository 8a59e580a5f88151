//! Which engine reads which prompts now, and which shared parts each has read: from this node's own requests and from
//! what its peers tell.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use super::engine_cache::EngineCache;
use super::engine_model::EngineModel;
use super::engine_tag::EngineTag;
use super::open_prefills::{LocalPrefill, OpenTable, PrefillId};
use super::peer_notice::{CachedParts, FinishedPrefill, PrefillNotice};
use super::prompt::{Prompt, PromptPart};
use super::urgency::Urgency;
use crate::back_ends::{BackEnd, EngineStage};
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// Limits of a [`PromptIndex`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptIndexConfig {
    /// A reading that is not heard to end is regarded as ended after this time.
    pub reading_maximum: Duration,
    /// A peer that told nothing for this time is forgotten; longer than any datagram is on its way.
    pub peer_forgotten: Duration,
    /// The tokens that an engine's cache holds, until the configuration tells.
    pub cache_tokens: u64,
    /// The share of a cache that is believed to hold what was read last; the rest is for requests that run and for short
    /// prompts, of which nothing is known here.
    pub cache_share: f64,
    /// How often each finished reading is told: a datagram may be lost.
    pub finished_times_told: u32,
    /// Finished readings that wait to be told; beyond it the oldest are dropped.
    pub finished_maximum: usize,
    /// The bytes that a notice may take.
    pub notice_bytes: usize,
}

impl Default for PromptIndexConfig {
    fn default() -> Self {
        PromptIndexConfig {
            reading_maximum: Duration::from_secs(4),
            peer_forgotten: Duration::from_secs(30),
            cache_tokens: 400_000,
            cache_share: 0.85,
            finished_times_told: 2,
            finished_maximum: 256,
            notice_bytes: 1_200,
        }
    }
}

/// The bytes of a notice without its lists.
const NOTICE_BASE_BYTES: usize = 64;

/// The bytes of one engine's open readings in a notice.
const OPEN_BYTES: usize = 14;

/// The bytes of a finished reading in a notice without its parts.
const FINISHED_BASE_BYTES: usize = 12;

/// The bytes of one part in a notice.
const PART_BYTES: usize = 12;

/// The share of a notice that open readings may take; finished ones go on to the next.
const OPEN_SHARE: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct PeerState {
    sequence: u64,
    /// The number of the last finished reading that was counted.
    finished: u64,
    heard_at: Timestamp,
}

#[derive(Clone, Debug)]
struct Untold {
    number: u64,
    reading: FinishedPrefill,
    times: u32,
}

/// What this node knows of the reading of prompts.
#[derive(Clone, Debug, Default)]
pub struct PromptIndex {
    config: PromptIndexConfig,
    model: EngineModel,
    next: u64,
    open: OpenTable,
    finished_count: u64,
    untold: VecDeque<Untold>,
    peers: HashMap<Address, PeerState>,
    kept: HashMap<EngineTag, EngineCache>,
}

impl PromptIndex {
    /// An index that knows nothing yet.
    pub fn new(config: PromptIndexConfig) -> Self {
        PromptIndex { config, ..PromptIndex::default() }
    }

    /// What is believed of the engines' speed.
    pub fn model(&self) -> &EngineModel {
        &self.model
    }

    /// Notes that `engine` begins to read `prompt` for this node.
    pub fn begin(&mut self, engine: &BackEnd, prompt: &Prompt, urgency: Urgency, now: Timestamp) -> PrefillId {
        let id = PrefillId(self.next);
        self.next += 1;
        let is_idle = |stage: &EngineStage| self.backlog(&engine.id, *stage, Urgency::Late, now) <= 0.0;
        let reading = LocalPrefill {
            engine: (&engine.id).into(),
            tokens: prompt.tokens.saturating_sub(self.cached_tokens_of(&engine.id, prompt)),
            urgency,
            began: now,
            alone_at: engine.stage.filter(is_idle),
            shared_parts: prompt.shared_parts().to_vec(),
            prompt_tokens: prompt.tokens,
        };
        self.open.begin(id, reading);
        id
    }

    /// Notes that one of this node's readings has ended, whole or not.
    pub fn end(&mut self, id: PrefillId, whole: bool, now: Timestamp) {
        let Some(reading) = self.open.end(id, now).filter(|_| whole) else {
            return;
        };
        if let Some(stage) = reading.alone_at {
            self.model.observe_prefill(stage, reading.tokens, now.since(reading.began));
        }
        self.finish(reading.engine, reading.shared_parts, reading.prompt_tokens, now);
    }

    /// Notes that `engine` has got the KV cache of `prompt` from another one, and keeps its shared parts from now on. It
    /// began its answer `took` after it was sent there.
    pub fn record_move(&mut self, engine: &BackEndId, prompt: &Prompt, took: Duration, now: Timestamp) {
        self.model.observe_move(prompt.tokens, took, now);
        self.finish(engine.into(), prompt.shared_parts().to_vec(), prompt.tokens, now);
    }

    /// Notes that an engine began an answer `took` after it was sent there, for which no long prompt was moved or read.
    pub fn record_wait(&mut self, took: Duration, now: Timestamp) {
        self.model.observe_wait(took, now);
    }

    fn finish(&mut self, engine: EngineTag, shared_parts: Vec<PromptPart>, tokens: u32, now: Timestamp) {
        if shared_parts.is_empty() {
            return;
        }
        self.finished_count += 1;
        let reading = FinishedPrefill { engine, shared_parts, tokens };
        self.keep(&reading, now);
        self.untold.push_back(Untold { number: self.finished_count, reading, times: 0 });
        let excess = self.untold.len().saturating_sub(self.config.finished_maximum);
        self.untold.drain(..excess);
    }

    /// Whether finished readings wait to be told (again).
    pub fn has_pending(&self) -> bool {
        !self.untold.is_empty()
    }

    /// What peers are to be told now: as much as fits, and the rest with the next notice. Open readings that do not fit
    /// are those with the fewest tokens.
    pub fn notice(&mut self, sender: Address, sequence: u64, now: Timestamp) -> PrefillNotice {
        let bytes = self.config.notice_bytes;
        let mut open = self.open.told(now);
        open.truncate((bytes as f64 * OPEN_SHARE) as usize / OPEN_BYTES);
        let mut left = bytes.saturating_sub(NOTICE_BASE_BYTES + open.len() * OPEN_BYTES);
        let first_finished = self.untold.front().map_or(self.finished_count + 1, |untold| untold.number);
        let mut finished = Vec::new();
        for untold in &mut self.untold {
            let size = FINISHED_BASE_BYTES + untold.reading.shared_parts.len() * PART_BYTES;
            if size > left && !finished.is_empty() {
                break;
            }
            left = left.saturating_sub(size);
            untold.times += 1;
            finished.push(untold.reading.clone());
        }
        let times = self.config.finished_times_told;
        while self.untold.front().is_some_and(|untold| untold.times >= times) {
            self.untold.pop_front();
        }
        PrefillNotice { sender, sequence, open, first_finished, finished }
    }

    /// Takes a peer's notice in, unless a newer one of it came before; whether it was taken in.
    pub fn receive(&mut self, notice: PrefillNotice, now: Timestamp) -> bool {
        let known = self.peers.get(&notice.sender).filter(|peer| {
            // A sender that was restarted counts anew; its last life is soon forgotten.
            now.since(peer.heard_at) < self.config.reading_maximum || notice.sequence > peer.sequence
        });
        if known.is_some_and(|peer| notice.sequence <= peer.sequence) {
            return false;
        }
        let counted = known.map_or(0, |peer| peer.finished);
        self.open.replace(notice.sender, &notice.open, now);
        let mut number = notice.first_finished;
        for reading in &notice.finished {
            if number > counted {
                self.open.note_end(reading.engine, now);
                self.keep(reading, now);
            }
            number += 1;
        }
        let finished = counted.max(number.saturating_sub(1));
        self.peers.insert(notice.sender, PeerState { sequence: notice.sequence, finished, heard_at: now });
        true
    }

    /// What a node that has just started is told: for each engine of `engines` the parts that it is believed to keep,
    /// those used last first, so many at most.
    pub fn cached_parts<'e>(
        &'e self,
        engines: impl Iterator<Item = &'e BackEndId> + 'e,
        parts_maximum: usize,
    ) -> impl Iterator<Item = CachedParts> + 'e {
        engines.filter_map(move |engine| {
            let cache = self.kept.get(&engine.into()).filter(|cache| !cache.is_empty())?;
            Some(CachedParts { engine: engine.clone(), parts: cache.announced_parts(parts_maximum) })
        })
    }

    /// Whether anything is known of what engines keep.
    pub fn knows_cached_parts(&self) -> bool {
        !self.kept.is_empty()
    }

    /// Takes in what a peer believes that an engine keeps; parts that this node knows of stay as they are.
    pub fn merge_cached_parts(&mut self, told: CachedParts, now: Timestamp) {
        self.kept.entry((&told.engine).into()).or_default().adopt(told.parts, now);
    }

    /// Forgets engines that are not among `present`, and peers that told nothing for long.
    pub fn retain_engines<'e>(&mut self, present: impl Iterator<Item = &'e BackEndId>, now: Timestamp) {
        let present: HashSet<EngineTag> = present.map(EngineTag::from).collect();
        self.kept.retain(|engine, _| present.contains(engine));
        self.open.retain_engines(|engine| present.contains(&engine));
        let forgotten = self.config.peer_forgotten;
        let silent = self.peers.iter().filter(|(_, peer)| now.since(peer.heard_at) >= forgotten);
        let silent: Vec<Address> = silent.map(|(address, _)| *address).collect();
        for peer in silent {
            self.peers.remove(&peer);
            self.open.forget(peer);
        }
    }

    /// The tokens that `engine`, which serves `stage`, has to read before a prompt of `urgency` that comes now.
    pub fn backlog(&self, engine: &BackEndId, stage: EngineStage, urgency: Urgency, now: Timestamp) -> f64 {
        self.open.backlog(engine.into(), urgency, self.model.rate(stage), self.config.reading_maximum, now)
    }

    /// The tokens of `prompt` that `engine` keeps.
    pub fn cached_tokens_of(&self, engine: &BackEndId, prompt: &Prompt) -> u32 {
        let cache = self.kept.get(&engine.into());
        cache.map_or(0, |cache| cache.cached_tokens_of(prompt.shared_parts(), self.room()))
    }

    /// The engine among `others` that keeps more of the start of `prompt` than `reader` does: the one that keeps most, and
    /// of those the one that used it last.
    pub fn cache_peer<'b>(
        &self,
        reader: &BackEndId,
        prompt: &Prompt,
        others: impl Iterator<Item = &'b BackEnd>,
    ) -> Option<&'b BackEnd> {
        let own = self.cached_tokens_of(reader, prompt);
        let keepers = others.filter_map(|other| {
            let cache = self.kept.get(&(&other.id).into())?;
            let kept = cache.cached_tokens_of(prompt.shared_parts(), self.room());
            let used_at = cache.used_at(prompt.shared_parts(), self.room())?;
            (kept > own && other.id != *reader).then_some((kept, used_at, other))
        });
        let best = keepers.max_by_key(|(kept, used_at, other)| (*kept, *used_at, &other.id));
        best.map(|(_, _, other)| other)
    }

    fn keep(&mut self, finished: &FinishedPrefill, now: Timestamp) {
        let room = self.room();
        self.kept.entry(finished.engine).or_default().record_prompt(&finished.shared_parts, finished.tokens, room, now);
    }

    fn room(&self) -> u64 {
        (self.config.cache_tokens as f64 * self.config.cache_share) as u64
    }

    /// Sets the tokens that an engine's cache holds.
    pub fn set_cache_tokens(&mut self, cache_tokens: u64) {
        self.config.cache_tokens = cache_tokens;
    }

    /// The tokens of all parts that `engine` is believed to keep.
    pub fn cached_tokens(&self, engine: &BackEndId) -> u64 {
        self.kept.get(&engine.into()).map_or(0, EngineCache::tokens)
    }
}
