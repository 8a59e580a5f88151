//! What one engine is believed to keep of the prompts that it has read.

use std::collections::HashMap;

use super::prompt::PromptPart;
use super::readings_message::AnnouncedPart;
use crate::time::Timestamp;

/// The parts that an engine keeps. Engines give up what was not used for the longest time, so a part is there until as
/// many tokens were brought in after its last use as the cache holds.
///
/// Invariant: every part's `brought_before` is at most `brought`.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineCache {
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

impl EngineCache {
    /// The tokens at the start of a prompt that need not be read again, with `room` tokens believed to be kept: the
    /// shared parts from the first up to the first that is missing.
    pub(super) fn cached_tokens_of(&self, shared_parts: &[PromptPart], room: u64) -> u32 {
        self.kept_start(shared_parts, room).map(|(part, _)| part.tokens).sum()
    }

    /// When the last of the shared parts that are kept from the start was used; `None` when not even the first is kept.
    pub(super) fn used_at(&self, shared_parts: &[PromptPart], room: u64) -> Option<Timestamp> {
        self.kept_start(shared_parts, room).last().map(|(_, kept)| kept.used_at)
    }

    /// The shared parts from the first up to the first that is missing, and what is known of each.
    fn kept_start<'p>(
        &self,
        shared_parts: &'p [PromptPart],
        room: u64,
    ) -> impl Iterator<Item = (&'p PromptPart, &KeptPart)> {
        let kept = move |id: u64| self.parts.get(&id).filter(|kept| self.brought - kept.brought_before < room);
        shared_parts.iter().map_while(move |part| Some((part, kept(part.id)?)))
    }

    /// Notes that the engine has read a prompt of `tokens`, or got its KV cache: each shared part is used now, and what
    /// it did not keep was brought in.
    pub(super) fn record_prompt(&mut self, shared_parts: &[PromptPart], tokens: u32, room: u64, now: Timestamp) {
        let brought = tokens.saturating_sub(self.cached_tokens_of(shared_parts, room));
        self.brought += u64::from(brought);
        let brought_before = self.brought;
        for part in shared_parts {
            self.parts.insert(part.id, KeptPart { tokens: part.tokens, used_at: now, brought_before });
        }
        let newest = self.brought;
        self.parts.retain(|_, kept| newest - kept.brought_before < room);
    }

    /// The parts, those used last first, so many at most.
    pub(super) fn announced_parts(&self, parts_maximum: usize) -> Vec<AnnouncedPart> {
        let told = self.parts.iter().map(|(id, kept)| AnnouncedPart {
            part: PromptPart { id: *id, tokens: kept.tokens },
            brought_since: self.brought - kept.brought_before,
        });
        let mut parts: Vec<AnnouncedPart> = told.collect();
        parts.sort_by_key(|told| (told.brought_since, told.part.id));
        parts.truncate(parts_maximum);
        parts
    }

    /// Takes in what a peer believes; parts that are known here stay as they are.
    pub(super) fn adopt(&mut self, told: Vec<AnnouncedPart>, now: Timestamp) {
        let oldest = told.iter().map(|told| told.brought_since).max().unwrap_or(0);
        let missing = oldest.saturating_sub(self.brought);
        self.brought += missing;
        self.parts.values_mut().for_each(|kept| kept.brought_before += missing);
        for AnnouncedPart { part, brought_since } in told {
            let brought_before = self.brought - brought_since;
            self.parts.entry(part.id).or_insert(KeptPart { tokens: part.tokens, used_at: now, brought_before });
        }
    }

    /// The tokens of all parts.
    pub(super) fn tokens(&self) -> u64 {
        self.parts.values().map(|part| u64::from(part.tokens)).sum()
    }

    /// Whether nothing is known to be kept.
    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
