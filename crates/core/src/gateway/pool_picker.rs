//! Chooses a pool for a request: a near one, the less loaded of two, or the one that has probably cached its prefix.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use speedy::{Readable, Writable};

use super::config::GatewayConfig;
use super::event::Target;
use crate::membership::Member;
use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::world::{EnginePerformance, PoolId};

/// The load of a pool in its dispatcher's view. Each reply carries it, so it needs no message of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct PoolLoad {
    /// Prompt tokens that are placed or queued, and not yet prefilled.
    pub waiting_prefill_tokens: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of engines that accept new work.
    pub serving_engines: u16,
}

/// A pool that serves the requested model.
#[derive(Clone, Debug)]
pub struct PoolOption {
    /// The pool.
    pub pool: PoolId,
    /// One-way latency from this node to the pool's zone.
    pub latency: Duration,
    /// Configured number of engines of the pool; used until the pool's load is known.
    pub engines: u16,
    /// The performance of one engine of the pool.
    pub performance: EnginePerformance,
    /// The nodes that may dispatch for the pool, the intended one first.
    pub dispatchers: Vec<Member>,
}

/// Ranks pools for requests by their load as known to this node.
#[derive(Debug)]
pub struct PoolPicker {
    config: GatewayConfig,
    random: Rng,
    loads: BTreeMap<PoolId, KnownLoad>,
}

/// A pool's load, and the tokens that this node has sent to the pool since.
#[derive(Clone, Copy, Debug)]
struct KnownLoad {
    load: PoolLoad,
    sent_tokens: u32,
    at: Timestamp,
}

impl PoolPicker {
    /// A picker without known loads. `seed` makes its random choices repeatable.
    pub fn new(config: GatewayConfig, seed: u64) -> Self {
        PoolPicker { config, random: Rng::with_seed(seed), loads: BTreeMap::new() }
    }

    /// Records a load that was received with a reply.
    pub fn observe(&mut self, pool: &PoolId, load: PoolLoad, now: Timestamp) {
        self.loads.insert(pool.clone(), KnownLoad { load, sent_tokens: 0, at: now });
    }

    /// Removes pools that are no longer configured.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&PoolId) -> bool) {
        self.loads.retain(|pool, _| is_configured(pool));
    }

    /// Ranks the targets of a request, the best first, and counts the request as sent to the first.
    pub fn rank(&mut self, request: &RequestProfile, options: &[PoolOption], now: Timestamp) -> Vec<Target> {
        let mut ranked: Vec<&PoolOption> = options.iter().filter(|option| !option.dispatchers.is_empty()).collect();
        ranked.sort_by_key(|option| (self.cost(option, now), option.pool.clone()));
        let nearest = ranked.iter().map(|option| option.latency).min().unwrap_or_default();
        let first = self.first_choice(request, &ranked, nearest, now);
        if let Some(first) = first {
            let first = ranked.remove(first);
            ranked.insert(0, first);
            self.count_sent(first, request.prompt_tokens, now);
        }
        targets(&ranked, self.config.targets_maximum)
    }

    /// The index in `ranked`, which is ordered by cost, of the pool to try first.
    fn first_choice(
        &mut self,
        request: &RequestProfile,
        ranked: &[&PoolOption],
        nearest: Duration,
        now: Timestamp,
    ) -> Option<usize> {
        let is_near = |index: &usize| ranked[*index].latency <= nearest + self.config.near_margin;
        let near: Vec<usize> = (0..ranked.len()).filter(is_near).collect();
        let best_near = *near.first()?;
        if let Some(preferred) = self.preferred(request, ranked, &near) {
            let limit = self.cost(ranked[best_near], now) + self.config.affinity_margin;
            if self.cost(ranked[preferred], now) <= limit {
                return Some(preferred);
            }
        }
        // The cheaper of two random choices: if every node chose the best pool, all would send to it.
        let one = near[self.random.usize(0..near.len())];
        let other = near[self.random.usize(0..near.len())];
        let drawn = one.min(other);
        // A far pool is chosen only if it is cheaper than every near one, including its latency.
        Some(if best_near > 0 { 0 } else { drawn })
    }

    /// The near pool that prompts with the same prefix prefer, by rendezvous hashing.
    fn preferred(&self, request: &RequestProfile, ranked: &[&PoolOption], near: &[usize]) -> Option<usize> {
        let last_block = request.blocks.len().min(self.config.affinity_blocks).checked_sub(1)?;
        let prefix = request.blocks[last_block].0;
        let weight = |pool: &PoolId| xxhash_rust::xxh3::xxh3_64_with_seed(pool.to_string().as_bytes(), prefix);
        near.iter().copied().max_by_key(|index| weight(&ranked[*index].pool))
    }

    /// Predicted time until the prompt is processed: the round trip, and the work queued ahead of it.
    fn cost(&self, option: &PoolOption, now: Timestamp) -> Duration {
        let known = self.known(option, now);
        let engines = u32::from(known.load.serving_engines.max(1));
        let tokens = known.load.waiting_prefill_tokens.saturating_add(known.sent_tokens);
        let prefill = option.performance.prefill_time(tokens / engines);
        let batch = option.performance.step_time_of(known.load.running / engines);
        option.latency * 2 + prefill + batch
    }

    fn known(&self, option: &PoolOption, now: Timestamp) -> KnownLoad {
        let known = self.loads.get(&option.pool).filter(|known| now.since(known.at) < self.config.load_lifetime);
        let load = PoolLoad { serving_engines: option.engines, ..PoolLoad::default() };
        known.copied().unwrap_or(KnownLoad { load, sent_tokens: 0, at: now })
    }

    fn count_sent(&mut self, option: &PoolOption, tokens: u32, now: Timestamp) {
        let mut known = self.known(option, now);
        known.sent_tokens = known.sent_tokens.saturating_add(tokens);
        self.loads.insert(option.pool.clone(), known);
    }
}

/// Lists the intended dispatcher of every pool before any second one: a second one usually refuses.
fn targets(ranked: &[&PoolOption], maximum: usize) -> Vec<Target> {
    let longest = ranked.iter().map(|option| option.dispatchers.len()).max().unwrap_or(0);
    let by_rank = (0..longest).flat_map(|rank| {
        ranked.iter().filter_map(move |option| {
            let dispatcher = *option.dispatchers.get(rank)?;
            Some(Target { pool: option.pool.clone(), dispatcher })
        })
    });
    by_rank.take(maximum).collect()
}
