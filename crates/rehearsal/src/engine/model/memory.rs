//! The KV memory of an engine: what requests hold, and the prefix cache in what is left.

use std::collections::{BTreeMap, HashMap};

use havengate_core::request::{BLOCK_TOKENS, BlockHash};

/// Blocks that came into the prefix cache or left it.
#[derive(Debug, Default)]
pub(super) struct CacheChange {
    pub(super) stored: Vec<BlockHash>,
    pub(super) removed: Vec<BlockHash>,
}

/// KV memory that a request or an export holds.
#[derive(Debug, Default)]
pub(super) struct Holding {
    /// Tokens that are its own.
    private: u32,
    /// The first blocks of its prompt that it shares through the cache.
    shared: Vec<BlockHash>,
}

#[derive(Debug)]
struct CachedBlock {
    holders: u32,
    /// The block's key in `by_age` while nobody holds it.
    age: u64,
}

/// KV memory of a fixed size.
///
/// Invariant: held and cached tokens never exceed the capacity. Cached blocks that nobody holds give way to holdings,
/// the least recently used first; a prefix is always more recent than its continuations, so it goes after them.
#[derive(Debug)]
pub(super) struct KvMemory {
    capacity: u32,
    private: u32,
    blocks: HashMap<BlockHash, CachedBlock>,
    by_age: BTreeMap<u64, BlockHash>,
    next_age: u64,
    change: CacheChange,
}

impl KvMemory {
    pub(super) fn new(capacity: u32) -> Self {
        KvMemory {
            capacity,
            private: 0,
            blocks: HashMap::new(),
            by_age: BTreeMap::new(),
            next_age: 0,
            change: CacheChange::default(),
        }
    }

    /// Tokens that requests and exports hold.
    pub(super) fn held_tokens(&self) -> u32 {
        self.private + (self.blocks.len() - self.by_age.len()) as u32 * BLOCK_TOKENS
    }

    /// Tokens in the prefix cache that nobody holds.
    pub(super) fn idle_tokens(&self) -> u32 {
        self.by_age.len() as u32 * BLOCK_TOKENS
    }

    /// How many of the first blocks of `chain` are cached.
    pub(super) fn cached_prefix(&self, chain: &[BlockHash]) -> usize {
        chain.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Holds `tokens` tokens, of which the blocks `shared` are cached already; `None` when there is no room.
    pub(super) fn hold(&mut self, shared: &[BlockHash], tokens: u32) -> Option<Holding> {
        for block in shared {
            self.share(*block);
        }
        let holding = Holding { private: 0, shared: shared.to_vec() };
        let private = tokens.saturating_sub(shared.len() as u32 * BLOCK_TOKENS);
        if private > self.capacity - self.held_tokens() {
            self.release(holding);
            return None;
        }
        self.evict_for(private);
        self.private += private;
        Some(Holding { private, ..holding })
    }

    /// Puts the blocks of `chain` that `holding` has computed into the cache, from where it goes on sharing them.
    pub(super) fn store(&mut self, holding: &mut Holding, chain: &[BlockHash]) {
        for block in chain.iter().skip(holding.shared.len()) {
            if holding.private < BLOCK_TOKENS {
                return;
            }
            if !self.blocks.contains_key(block) {
                self.blocks.insert(*block, CachedBlock { holders: 0, age: 0 });
                self.change.stored.push(*block);
            }
            self.share(*block);
            holding.shared.push(*block);
            holding.private -= BLOCK_TOKENS;
            self.private -= BLOCK_TOKENS;
        }
    }

    /// Gives up a holding; its blocks stay cached until the room is needed.
    pub(super) fn release(&mut self, holding: Holding) {
        self.private -= holding.private;
        for block in holding.shared.iter().rev() {
            self.unshare(*block);
        }
    }

    /// Forgets everything.
    pub(super) fn clear(&mut self) {
        self.change.removed.extend(std::mem::take(&mut self.blocks).into_keys());
        self.change.removed.sort();
        self.by_age.clear();
        self.private = 0;
    }

    /// What has changed in the cache since the last call.
    pub(super) fn take_change(&mut self) -> Option<CacheChange> {
        let change = std::mem::take(&mut self.change);
        let is_empty = change.stored.is_empty() && change.removed.is_empty();
        (!is_empty).then_some(change)
    }

    fn share(&mut self, block: BlockHash) {
        let Some(cached) = self.blocks.get_mut(&block) else { return };
        if cached.holders == 0 {
            self.by_age.remove(&cached.age);
        }
        cached.holders += 1;
    }

    fn unshare(&mut self, block: BlockHash) {
        let Some(cached) = self.blocks.get_mut(&block) else { return };
        cached.holders -= 1;
        if cached.holders == 0 {
            self.next_age += 1;
            cached.age = self.next_age;
            self.by_age.insert(cached.age, block);
        }
    }

    fn evict_for(&mut self, tokens: u32) {
        while self.capacity - self.held_tokens() - self.idle_tokens() < tokens {
            let Some((_, block)) = self.by_age.pop_first() else { return };
            self.blocks.remove(&block);
            self.change.removed.push(block);
        }
    }
}
