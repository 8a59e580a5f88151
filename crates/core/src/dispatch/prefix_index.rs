//! Estimates the prefixes that an engine has cached.

use std::collections::BTreeMap;

use crate::request::{BLOCK_TOKENS, BlockHash};

/// The prefixes that one engine is estimated to have cached: those that were placed there and those that it reported.
///
/// It is an estimate, since cache events arrive late and with gaps; it affects where a request runs, never whether it
/// may run. At most `maximum` blocks are kept; the least recently used are evicted first, as on engines.
#[derive(Debug)]
pub(super) struct PrefixIndex {
    maximum: usize,
    uses: u64,
    last_use: BTreeMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
}

impl PrefixIndex {
    pub(super) fn new(maximum: usize) -> Self {
        PrefixIndex { maximum, uses: 0, last_use: BTreeMap::new(), by_last_use: BTreeMap::new() }
    }

    /// The estimated number of cached tokens at the start of a prompt with these prefixes, shortest first.
    pub(super) fn cached_tokens(&self, blocks: &[BlockHash]) -> u32 {
        let cached = blocks.iter().take_while(|block| self.last_use.contains_key(block)).count();
        u32::try_from(cached).unwrap_or(u32::MAX).saturating_mul(BLOCK_TOKENS)
    }

    pub(super) fn insert(&mut self, blocks: &[BlockHash]) {
        // The longest prefix gets the oldest use, so that it is evicted before the prefixes that it extends.
        for &block in blocks.iter().take(self.maximum).rev() {
            self.remove(block);
            self.uses += 1;
            self.last_use.insert(block, self.uses);
            self.by_last_use.insert(self.uses, block);
        }
        while self.last_use.len() > self.maximum {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            self.last_use.remove(&oldest);
        }
    }

    pub(super) fn remove(&mut self, block: BlockHash) {
        if let Some(last_use) = self.last_use.remove(&block) {
            self.by_last_use.remove(&last_use);
        }
    }

    pub(super) fn clear(&mut self) {
        self.last_use.clear();
        self.by_last_use.clear();
    }
}
