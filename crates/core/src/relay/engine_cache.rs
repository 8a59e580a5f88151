//! An estimate of what one engine's KV cache holds of the prompts that the engine has processed.

use std::collections::HashMap;

use super::peer_notice::AnnouncedPart;
use super::prompt::PromptPart;
use crate::time::Timestamp;

/// The prompt parts that an engine caches. Engines evict the least recently used part first, so a part is cached until
/// as many tokens were added after its last use as the cache holds.
///
/// Invariant: every part's `added_before` is at most `added`.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineCache {
    /// Tokens added to the cache so far.
    added: u64,
    parts: HashMap<u64, CacheEntry>,
}

#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    tokens: u32,
    used_at: Timestamp,
    added_before: u64,
}

impl EngineCache {
    /// The tokens at the start of a prompt that need no prefill, for a cache of `capacity` tokens: the shared parts from
    /// the first up to the first that is missing.
    pub(super) fn cached_tokens_of(&self, shared_parts: &[PromptPart], capacity: u64) -> u32 {
        self.cached_start(shared_parts, capacity).map(|(part, _)| part.tokens).sum()
    }

    /// The last use of the last shared part in the cached start of a prompt; `None` when the first part isn't cached.
    pub(super) fn used_at(&self, shared_parts: &[PromptPart], capacity: u64) -> Option<Timestamp> {
        self.cached_start(shared_parts, capacity).last().map(|(_, entry)| entry.used_at)
    }

    /// The shared parts from the first up to the first that is missing, each with its cache entry.
    fn cached_start<'p>(
        &self,
        shared_parts: &'p [PromptPart],
        capacity: u64,
    ) -> impl Iterator<Item = (&'p PromptPart, &CacheEntry)> {
        let entry = move |id: u64| self.parts.get(&id).filter(|entry| self.added - entry.added_before < capacity);
        shared_parts.iter().map_while(move |part| Some((part, entry(part.id)?)))
    }

    /// Records that the engine has processed a prompt of `tokens`, or received its KV cache: each shared part is used
    /// now, and the tokens that weren't cached are added.
    pub(super) fn record_prompt(&mut self, shared_parts: &[PromptPart], tokens: u32, capacity: u64, now: Timestamp) {
        let added = tokens.saturating_sub(self.cached_tokens_of(shared_parts, capacity));
        self.added += u64::from(added);
        let added_before = self.added;
        for part in shared_parts {
            self.parts.insert(part.id, CacheEntry { tokens: part.tokens, used_at: now, added_before });
        }
        let newest = self.added;
        self.parts.retain(|_, entry| newest - entry.added_before < capacity);
    }

    /// The most recently used parts, at most `parts_maximum`, the latest first.
    pub(super) fn announced_parts(&self, parts_maximum: usize) -> Vec<AnnouncedPart> {
        let announced = self.parts.iter().map(|(id, entry)| AnnouncedPart {
            part: PromptPart { id: *id, tokens: entry.tokens },
            added_since: self.added - entry.added_before,
        });
        let mut parts: Vec<AnnouncedPart> = announced.collect();
        parts.sort_by_key(|part| (part.added_since, part.part.id));
        parts.truncate(parts_maximum);
        parts
    }

    /// Merges a peer's estimate; parts that this node knows already stay as they are.
    pub(super) fn adopt(&mut self, announced: Vec<AnnouncedPart>, now: Timestamp) {
        let oldest = announced.iter().map(|part| part.added_since).max().unwrap_or(0);
        let missing = oldest.saturating_sub(self.added);
        self.added += missing;
        self.parts.values_mut().for_each(|entry| entry.added_before += missing);
        for AnnouncedPart { part, added_since } in announced {
            let added_before = self.added - added_since;
            self.parts.entry(part.id).or_insert(CacheEntry { tokens: part.tokens, used_at: now, added_before });
        }
    }

    /// The tokens of all parts.
    pub(super) fn tokens(&self) -> u64 {
        self.parts.values().map(|part| u64::from(part.tokens)).sum()
    }

    /// Whether no part is known to be cached.
    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
