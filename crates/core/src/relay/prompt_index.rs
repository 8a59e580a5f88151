//! The open prefills of each engine and the shared prompt parts in its cache, estimated from this node's own requests
//! and from its peers' notices.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::distance_cost::{DistanceCost, REGION_TRANSFER_FACTOR};
use super::engine_cache::EngineCache;
use super::engine_model::EngineModel;
use super::engine_regions::EngineRegions;
use super::engine_tag::EngineTag;
use super::finished_prefills::FinishedPrefills;
use super::open_prefills::{LocalPrefill, OpenTable, PrefillId};
use super::peer_notice::{CachedParts, FinishedPrefill, OpenPrefills, PrefillNotice};
use super::prefill_audience::PrefillStream;
use super::prompt::{Prompt, PromptPart};
use super::urgency::Urgency;
use crate::back_ends::{BackEnd, EngineStage};
use crate::time::Timestamp;
use crate::world::{Address, BackEndId, RegionName, Topology};

/// Limits of a [`PromptIndex`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptIndexConfig {
    /// A prefill whose end is not reported is assumed to have ended after this time.
    pub prefill_maximum: Duration,
    /// A peer that sent no notice for this time is removed; longer than any datagram takes to arrive.
    pub peer_expiry: Duration,
    /// The capacity of an engine's cache in tokens, until the configuration sets it.
    pub cache_tokens: u64,
    /// The share of a cache that is assumed to hold the last prefilled prompts. The rest is used by running requests
    /// and by short prompts, which are not tracked here.
    pub cache_share: f64,
    /// How often each finished prefill is announced, since a datagram may be lost.
    pub finished_announcements: u32,
    /// The maximum number of finished prefills with pending announcements; beyond it the oldest are dropped.
    pub finished_maximum: usize,
    /// The maximum size of a notice in bytes.
    pub notice_bytes: usize,
}

impl Default for PromptIndexConfig {
    fn default() -> Self {
        PromptIndexConfig {
            prefill_maximum: Duration::from_secs(4),
            peer_expiry: Duration::from_secs(30),
            cache_tokens: 400_000,
            cache_share: 0.85,
            finished_announcements: 2,
            finished_maximum: 256,
            notice_bytes: 1_200,
        }
    }
}

/// The bytes of a notice without its lists.
const NOTICE_BASE_BYTES: usize = 64;

/// The bytes of one engine's open prefills in a notice.
const OPEN_BYTES: usize = 14;

/// The maximum share of a notice for open prefills. Finished prefills that don't fit are sent with the next notice.
const OPEN_SHARE: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct PeerState {
    sequence: u64,
    /// The number of the last finished prefill that was applied.
    finished: u64,
    received_at: Timestamp,
}

/// A node's estimate of the engines' open prefills and cached prompt parts.
#[derive(Clone, Debug, Default)]
pub struct PromptIndex {
    config: PromptIndexConfig,
    model: EngineModel,
    next: u64,
    open: OpenTable,
    finished: FinishedPrefills,
    regions: EngineRegions,
    /// How many more notices without open prefills each region gets after its open prefills have ended.
    end_notices_left: BTreeMap<RegionName, u32>,
    peers: HashMap<Address, PeerState>,
    caches: HashMap<EngineTag, EngineCache>,
}

impl PromptIndex {
    /// Creates an empty index.
    pub fn new(config: PromptIndexConfig) -> Self {
        PromptIndex { config, ..PromptIndex::default() }
    }

    /// The estimates of the engines' speed.
    pub fn model(&self) -> &EngineModel {
        &self.model
    }

    /// Sets the regions of the zones. Engines that were used before count as engines of no known region until they are
    /// used again.
    pub fn set_topology(&mut self, topology: Topology) {
        self.regions.set_topology(topology);
    }

    /// Records the zone of an engine, which decides on the regions that are notified of its prefills.
    pub fn record_zone(&mut self, engine: &BackEnd) {
        self.regions.record(engine);
    }

    /// Records that `engine`, in the region of this node, begins the prefill of `prompt` for this node.
    pub fn begin(&mut self, engine: &BackEnd, prompt: &Prompt, urgency: Urgency, now: Timestamp) -> PrefillId {
        self.begin_at_distance(engine, prompt, urgency, Duration::ZERO, now)
    }

    /// Records that `engine` begins the prefill of `prompt` for this node. The request and its answer spend `round_trip`
    /// between regions.
    pub fn begin_at_distance(
        &mut self,
        engine: &BackEnd,
        prompt: &Prompt,
        urgency: Urgency,
        round_trip: Duration,
        now: Timestamp,
    ) -> PrefillId {
        self.record_zone(engine);
        let id = PrefillId(self.next);
        self.next += 1;
        let is_idle = |stage: &EngineStage| self.backlog(&engine.id, *stage, Urgency::Late, now) <= 0.0;
        let prefill = LocalPrefill {
            engine: (&engine.id).into(),
            tokens: prompt.tokens.saturating_sub(self.cached_tokens_of(&engine.id, prompt)),
            urgency,
            began: now,
            round_trip,
            isolated_stage: engine.stage.filter(is_idle),
            shared_parts: prompt.shared_parts().to_vec(),
            prompt_tokens: prompt.tokens,
        };
        self.open.begin(id, prefill);
        id
    }

    /// Records that one of this node's prefills has ended, completely or not.
    pub fn end(&mut self, id: PrefillId, is_complete: bool, now: Timestamp) {
        let Some(prefill) = self.open.end(id, now).filter(|_| is_complete) else {
            return;
        };
        if let Some(stage) = prefill.isolated_stage {
            let took = now.since(prefill.began).saturating_sub(prefill.round_trip);
            self.model.observe_prefill(stage, prefill.tokens, took);
        }
        self.finish(prefill.engine, prefill.shared_parts, prefill.prompt_tokens, now);
    }

    /// Records that `engine` has fetched the KV cache of `prompt` from another engine and has the prompt's shared parts
    /// in its cache. The engine began its answer `took` after the request was sent.
    pub fn record_cache_transfer(&mut self, engine: &BackEndId, prompt: &Prompt, took: Duration, now: Timestamp) {
        self.record_distant_cache_transfer(engine, prompt, took, 1.0, now);
    }

    /// Like [`PromptIndex::record_cache_transfer`], for a transfer that takes `factor` times as long as one within a zone.
    /// `took` is without the latency between the node and the engine.
    pub fn record_distant_cache_transfer(
        &mut self,
        engine: &BackEndId,
        prompt: &Prompt,
        took: Duration,
        factor: f64,
        now: Timestamp,
    ) {
        self.model.observe_distant_move(prompt.tokens, took, factor, now);
        self.finish(engine.into(), prompt.shared_parts().to_vec(), prompt.tokens, now);
    }

    /// Records that an engine began an answer `took` after the request was sent, without a transfer or prefill of a
    /// long prompt.
    pub fn record_wait(&mut self, took: Duration, now: Timestamp) {
        self.model.observe_wait(took, now);
    }

    fn finish(&mut self, engine: EngineTag, shared_parts: Vec<PromptPart>, tokens: u32, now: Timestamp) {
        if shared_parts.is_empty() {
            return;
        }
        let prefill = FinishedPrefill { engine, shared_parts, tokens };
        self.update_cache(&prefill, now);
        let region = self.regions.get(engine).cloned();
        self.finished.push(prefill, region, self.config.finished_maximum);
    }

    /// Whether announcements of finished prefills, or of the end of open ones in a region, are pending.
    pub fn has_pending(&self) -> bool {
        !self.finished.is_empty() || self.end_notices_left.values().any(|left| *left > 0)
    }

    /// Returns the next notice of the complete stream, limited to its maximum size. Finished prefills that don't fit are
    /// sent with the next notice; of the open prefills, those with the fewest tokens are left out.
    pub fn notice(&mut self, sender: Address, sequence: u64, now: Timestamp) -> PrefillNotice {
        let open = self.limit_open(self.open.announced(now));
        let finished = self.finished.next_of_complete(self.bytes_left(&open), self.config.finished_announcements);
        PrefillNotice { sender, sequence, open, first_finished: finished.first, finished: finished.prefills }
    }

    /// Returns the next notice of the stream of `region`; `None` when nothing is to be announced there. Open prefills
    /// that have ended are announced by a list without them.
    pub fn region_notice(
        &mut self,
        region: &RegionName,
        sender: Address,
        sequence: u64,
        now: Timestamp,
    ) -> Option<PrefillNotice> {
        let announcements = self.config.finished_announcements;
        let mut open = self.open.announced(now);
        open.retain(|open| self.regions.get(open.engine) == Some(region));
        let open = self.limit_open(open);
        let finished = self.finished.next_of_region(region, self.bytes_left(&open), announcements);
        let end_notices_left = self.end_notices_left.get(region).copied().unwrap_or_default();
        if open.is_empty() && finished.prefills.is_empty() && end_notices_left == 0 {
            return None;
        }
        let left = if open.is_empty() { end_notices_left.saturating_sub(1) } else { announcements };
        self.end_notices_left.insert(region.clone(), left);
        Some(PrefillNotice { sender, sequence, open, first_finished: finished.first, finished: finished.prefills })
    }

    /// Prepares `stream` for a peer that got another stream until now: what that one has not announced completely is
    /// announced again. Peers that have applied it skip it.
    pub fn resume(&mut self, stream: &PrefillStream) {
        let announcements = self.config.finished_announcements;
        match stream {
            PrefillStream::Complete => self.finished.resume_complete(announcements),
            PrefillStream::OfRegion(region) => {
                self.finished.resume_region(region, announcements);
                // The list of the complete stream may have contained prefills of this region that have ended.
                self.end_notices_left.insert(region.clone(), announcements);
            }
        }
    }

    fn limit_open(&self, mut open: Vec<OpenPrefills>) -> Vec<OpenPrefills> {
        open.truncate((self.config.notice_bytes as f64 * OPEN_SHARE) as usize / OPEN_BYTES);
        open
    }

    /// The bytes that a notice with these open prefills has left for finished ones.
    fn bytes_left(&self, open: &[OpenPrefills]) -> usize {
        self.config.notice_bytes.saturating_sub(NOTICE_BASE_BYTES + open.len() * OPEN_BYTES)
    }

    /// Applies a peer's notice, unless a newer notice of that peer was received before; returns whether it was applied.
    pub fn receive(&mut self, notice: PrefillNotice, now: Timestamp) -> bool {
        let known = self.peers.get(&notice.sender).filter(|peer| {
            // A restarted sender begins its sequence again; the state of its previous incarnation expires soon.
            now.since(peer.received_at) < self.config.prefill_maximum || notice.sequence > peer.sequence
        });
        if known.is_some_and(|peer| notice.sequence <= peer.sequence) {
            return false;
        }
        let applied = known.map_or(0, |peer| peer.finished);
        self.open.replace(notice.sender, &notice.open, now);
        let mut number = notice.first_finished;
        for prefill in &notice.finished {
            if number > applied {
                self.open.record_end(prefill.engine, now);
                self.update_cache(prefill, now);
            }
            number += 1;
        }
        let finished = applied.max(number.saturating_sub(1));
        self.peers.insert(notice.sender, PeerState { sequence: notice.sequence, finished, received_at: now });
        true
    }

    /// Returns the estimated cached parts of each of `engines`, for a node that has just started: at most
    /// `parts_maximum` per engine, the most recently used first.
    pub fn cached_parts<'e>(
        &'e self,
        engines: impl Iterator<Item = &'e BackEndId> + 'e,
        parts_maximum: usize,
    ) -> impl Iterator<Item = CachedParts> + 'e {
        engines.filter_map(move |engine| {
            let cache = self.caches.get(&engine.into()).filter(|cache| !cache.is_empty())?;
            Some(CachedParts { engine: engine.clone(), parts: cache.announced_parts(parts_maximum) })
        })
    }

    /// Whether cached parts of any engine are known.
    pub fn knows_cached_parts(&self) -> bool {
        !self.caches.is_empty()
    }

    /// Adds a peer's estimate of the parts in an engine's cache; parts that are already known are not changed.
    pub fn merge_cached_parts(&mut self, announced: CachedParts, now: Timestamp) {
        self.caches.entry((&announced.engine).into()).or_default().adopt(announced.parts, now);
    }

    /// Removes engines that are not among `present`, and peers that have sent no notice for a long time.
    pub fn retain_engines<'e>(&mut self, present: impl Iterator<Item = &'e BackEndId>, now: Timestamp) {
        let present: HashSet<EngineTag> = present.map(EngineTag::from).collect();
        self.caches.retain(|engine, _| present.contains(engine));
        self.open.retain_engines(|engine| present.contains(&engine));
        self.regions.retain(|engine| present.contains(&engine));
        let expiry = self.config.peer_expiry;
        let silent = self.peers.iter().filter(|(_, peer)| now.since(peer.received_at) >= expiry);
        let silent: Vec<Address> = silent.map(|(address, _)| *address).collect();
        for peer in silent {
            self.peers.remove(&peer);
            self.open.remove_peer(peer);
        }
    }

    /// Estimates the tokens that `engine`, which serves `stage`, has to prefill before a prompt of `urgency` that
    /// arrives now.
    pub fn backlog(&self, engine: &BackEndId, stage: EngineStage, urgency: Urgency, now: Timestamp) -> f64 {
        self.open.backlog(engine.into(), urgency, self.model.rate(stage), self.config.prefill_maximum, now)
    }

    /// The tokens of `prompt` that are estimated to be in the cache of `engine`.
    pub fn cached_tokens_of(&self, engine: &BackEndId, prompt: &Prompt) -> u32 {
        let cache = self.caches.get(&engine.into());
        cache.map_or(0, |cache| cache.cached_tokens_of(prompt.shared_parts(), self.tracked_tokens()))
    }

    /// Returns the engine among `others` that caches more of the start of `prompt` than `engine`: the one that caches
    /// most, and among equals the one that used it last.
    pub fn cache_peer<'b>(
        &self,
        engine: &BackEndId,
        prompt: &Prompt,
        others: impl Iterator<Item = &'b BackEnd>,
    ) -> Option<&'b BackEnd> {
        let own = self.cached_tokens_of(engine, prompt);
        let cache_peers = others.filter_map(|other| {
            let cache = self.caches.get(&(&other.id).into())?;
            let cached = cache.cached_tokens_of(prompt.shared_parts(), self.tracked_tokens());
            let used_at = cache.used_at(prompt.shared_parts(), self.tracked_tokens())?;
            (cached > own && other.id != *engine).then_some((cached, used_at, other))
        });
        let best = cache_peers.max_by_key(|(cached, used_at, other)| (*cached, *used_at, &other.id));
        best.map(|(_, _, other)| other)
    }

    /// Like [`PromptIndex::cache_peer`] in a deployment of several regions: an engine of the same region, unless fetching
    /// from another region saves more time.
    pub fn cache_peer_by_distance<'b>(
        &self,
        engine: &BackEnd,
        prompt: &Prompt,
        others: &[&'b BackEnd],
        distance: &DistanceCost<'_>,
        now: Timestamp,
    ) -> Option<&'b BackEnd> {
        if !distance.applies() {
            return self.cache_peer(&engine.id, prompt, others.iter().copied());
        }
        let stage = engine.stage.unwrap_or(EngineStage::Decode);
        let own = self.cached_tokens_of(&engine.id, prompt);
        let saving = |peer: &BackEnd| {
            let fetched = self.cached_tokens_of(&peer.id, prompt).saturating_sub(own);
            let factor = if distance.is_same_scope(&peer.zone, &engine.zone) { 1.0 } else { REGION_TRANSFER_FACTOR };
            self.model.fetch_saving_millis(stage, fetched, factor, now)
        };
        let near = others.iter().copied().filter(|peer| distance.is_same_scope(&peer.zone, &engine.zone));
        let near = self.cache_peer(&engine.id, prompt, near);
        let anywhere = self.cache_peer(&engine.id, prompt, others.iter().copied());
        let far = anywhere.filter(|peer| saving(peer) > near.map_or(0.0, saving));
        far.or(near)
    }

    fn update_cache(&mut self, finished: &FinishedPrefill, now: Timestamp) {
        let capacity = self.tracked_tokens();
        self.caches.entry(finished.engine).or_default().record_prompt(
            &finished.shared_parts,
            finished.tokens,
            capacity,
            now,
        );
    }

    fn tracked_tokens(&self) -> u64 {
        (self.config.cache_tokens as f64 * self.config.cache_share) as u64
    }

    /// Sets the capacity of an engine's cache in tokens.
    pub fn set_cache_tokens(&mut self, cache_tokens: u64) {
        self.config.cache_tokens = cache_tokens;
    }

    /// The tokens of all parts that are estimated to be in the cache of `engine`.
    pub fn cached_tokens(&self, engine: &BackEndId) -> u64 {
        self.caches.get(&engine.into()).map_or(0, EngineCache::tokens)
    }
}
