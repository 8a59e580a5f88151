//! The selection of the engine that processes a long prompt, by expected time, cached parts and distance.

use std::collections::BTreeMap;
use std::time::Duration;

use super::distance_cost::{CacheScope, DistanceCost, REGION_TRANSFER_FACTOR};
use super::placement::{Candidate, Placed};
use super::placement_config::PlacementConfig;
use super::prompt::Prompt;
use super::prompt_index::PromptIndex;
use super::urgency::Urgency;
use crate::back_ends::{BackEnd, EngineStage};
use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::ZoneName;

/// A prompt for another region goes to one of this many engines there at random, if their costs are close. Nodes don't
/// know what others send to that region; if all chose the cheapest one, they would overload it. More engines would keep
/// more copies of each shared part.
const SPILL_OVER_CHOICES: usize = 2;

/// Selects the engine that processes a prompt.
pub(super) struct PrefillPlacement<'a> {
    pub(super) candidates: &'a [Candidate<'a>],
    pub(super) prompt: &'a Prompt,
    pub(super) index: &'a PromptIndex,
    pub(super) config: &'a PlacementConfig,
    pub(super) distance: DistanceCost<'a>,
    /// The zones with a decode engine that can be used; empty in a single region.
    pub(super) decode_zones: Vec<&'a ZoneName>,
    /// The estimated time of a KV cache transfer per token, the same for all candidates.
    pub(super) move_millis_per_token: f64,
    pub(super) now: Timestamp,
}

/// A candidate with its cost.
#[derive(Clone, Copy, Debug)]
struct Evaluated {
    placed: Placed,
    cost_millis: f64,
}

/// Cached tokens of the prompt that an engine fetches from another engine.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    tokens: u32,
    /// How much longer the transfer takes than one within a zone.
    factor: f64,
}

/// The tokens of the prompt that engines have cached, at most, by the engines that share their cached parts.
type CachedTokens<'a> = BTreeMap<CacheScope<'a>, u32>;

impl<'a> PrefillPlacement<'a> {
    /// The cheapest candidate if it is in time. If it is late, the cheapest one that is in time in spite of its distance,
    /// else the cheapest one for a prompt that queues behind those that can be in time.
    pub(super) fn choose(
        &self,
        indexes: &[usize],
        in_time: Option<Duration>,
        random: &mut fastrand::Rng,
    ) -> Option<Placed> {
        let ranked = self.ranked(indexes, random);
        if let Some(placed) = self.on_prefill_engine(&ranked, in_time, random) {
            return Some(placed);
        }
        let mut evaluated = self.evaluate(&ranked, Urgency::InTime);
        let placed = self.cheapest(&evaluated, random)?;
        let is_in_time = |placed: &Placed| in_time.is_none_or(|in_time| placed.expected_time <= in_time);
        if is_in_time(&placed) {
            return Some(placed);
        }
        if self.distance.applies() {
            evaluated.retain(|evaluated| is_in_time(&evaluated.placed));
            if let Some(placed) = self.cheapest(&evaluated, random) {
                return Some(placed);
            }
        }
        if self.config.orders_by_urgency {
            return self.cheapest(&self.evaluate(&ranked, Urgency::Late), random);
        }
        Some(placed)
    }

    /// The prefill engine of this region that processes the prompt early enough to leave out decode engines.
    fn on_prefill_engine(
        &self,
        ranked: &[usize],
        in_time: Option<Duration>,
        random: &mut fastrand::Rng,
    ) -> Option<Placed> {
        let sufficient_time = self.config.prefill_suffices_within(in_time)?;
        let is_prefill = |index: &usize| self.back_end(*index).stage == Some(EngineStage::Prefill);
        let prefill_engines: Vec<usize> = ranked.iter().copied().filter(is_prefill).collect();
        let placed = self.cheapest(&self.evaluate(&prefill_engines, Urgency::InTime), random)?;
        let is_near = !self.distance.is_other_region(&self.back_end(placed.index).zone);
        (is_near && placed.expected_time <= sufficient_time).then_some(placed)
    }

    /// Ranks the engines in the same order on all nodes, so that a part that no engine of a region has cached yet is
    /// processed once there.
    fn ranked(&self, indexes: &[usize], random: &mut fastrand::Rng) -> Vec<usize> {
        let address = |index: &usize| self.back_end(*index).address;
        let key = self.prompt.deepest_shared_part().map_or_else(|| random.u64(..), |part| part.id);
        rank_by_address(&key.to_be_bytes(), indexes.iter().copied(), address)
    }

    /// The candidate with the least cost; of equal ones, the first in rank. In another region, one of the first few whose
    /// costs are close, at random.
    fn cheapest(&self, evaluated: &[Evaluated], random: &mut fastrand::Rng) -> Option<Placed> {
        let cheapest = evaluated.iter().min_by_key(|evaluated| evaluated.cost_micros())?;
        let is_far = |evaluated: &Evaluated| self.distance.is_other_region(&self.back_end(evaluated.placed.index).zone);
        if !is_far(cheapest) {
            return Some(cheapest.placed);
        }
        let maximum = cheapest.cost_millis + self.config.backlog_per_request_milliseconds;
        let is_close = |evaluated: &&Evaluated| evaluated.cost_millis <= maximum && is_far(evaluated);
        let mut close: Vec<&Evaluated> = evaluated.iter().filter(is_close).collect();
        close.sort_by_key(|evaluated| evaluated.cost_micros());
        close.truncate(SPILL_OVER_CHOICES);
        Some(close[random.usize(..close.len())].placed)
    }

    /// The cost of each candidate for a prompt of `urgency`, in the order of `ranked`.
    fn evaluate(&self, ranked: &[usize], urgency: Urgency) -> Vec<Evaluated> {
        let mut cached_tokens = CachedTokens::new();
        for index in ranked {
            let cached = cached_tokens.entry(self.cache_scope(*index)).or_default();
            *cached = (*cached).max(self.cached(*index));
        }
        ranked.iter().map(|index| self.evaluate_one(*index, &cached_tokens, urgency)).collect()
    }

    /// The tokens of the prompt that the engine has cached; 0 when affinity is switched off.
    fn cached(&self, index: usize) -> u32 {
        if self.config.affinity { self.index.cached_tokens_of(&self.back_end(index).id, self.prompt) } else { 0 }
    }

    /// The candidate with its cost and the expected time until the prefill has ended and the KV cache is at the decode
    /// engine.
    fn evaluate_one(&self, index: usize, cached_tokens: &CachedTokens<'_>, urgency: Urgency) -> Evaluated {
        let back_end = self.back_end(index);
        let stage = back_end.stage.unwrap_or(EngineStage::Decode);
        let model = self.index.model();
        let cached = self.cached(index);
        let fetch = self.fetch(index, cached, cached_tokens);
        let uncached_tokens = self.prompt.tokens.saturating_sub(cached + fetch.tokens);
        let backlog = self.index.backlog(&back_end.id, stage, urgency, self.now);
        let prefill_millis = model.prefill_millis(stage, backlog + f64::from(uncached_tokens));
        let fetch_millis = self.move_millis_per_token * f64::from(fetch.tokens) * fetch.factor;
        let (handover_millis, handover_round_trip) = match stage {
            EngineStage::Prefill => self.handover(&back_end.zone),
            EngineStage::Decode => (0.0, Duration::ZERO),
        };
        let processing = Duration::from_secs_f64((prefill_millis + fetch_millis + handover_millis) / 1e3);
        let latency = self.distance.round_trip(&back_end.zone) + handover_round_trip;
        let cost_millis = self.cost_millis(index, stage, processing, latency);
        let expected_time = processing + latency;
        let placed = Placed { index, expected_time, has_backlog: backlog > 0.0, urgency, uncached_tokens };
        Evaluated { placed, cost_millis }
    }

    /// The cost of a candidate: the processing time, weighted on decode engines for the delay to other answers, the cost of
    /// the distance, and that of this node's requests at a prefill engine of another region.
    fn cost_millis(&self, index: usize, stage: EngineStage, processing: Duration, latency: Duration) -> f64 {
        let weight = if stage == EngineStage::Prefill { 1.0 } else { self.config.decode_interference };
        millis(processing) * weight
            + self.hop_millis(&self.back_end(index).zone).max(millis(latency))
            + self.index.model().prefill_millis(stage, f64::from(self.far_tokens_in_flight(index)))
    }

    /// What a candidate that has `cached` tokens fetches: from its own region, or from another one if that saves more.
    fn fetch(&self, index: usize, cached: u32, cached_tokens: &CachedTokens<'_>) -> Fetch {
        if !self.config.takes_parts_over {
            return Fetch { tokens: 0, factor: 1.0 };
        }
        let stage = self.back_end(index).stage.unwrap_or(EngineStage::Decode);
        let cached_near = cached_tokens.get(&self.cache_scope(index)).copied().unwrap_or(0);
        let cached_anywhere = cached_tokens.values().copied().max().unwrap_or(0);
        let near = Fetch { tokens: cached_near.saturating_sub(cached), factor: 1.0 };
        let far = Fetch { tokens: cached_anywhere.saturating_sub(cached), factor: REGION_TRANSFER_FACTOR };
        let saving =
            |fetch: &Fetch| self.index.model().fetch_saving_millis(stage, fetch.tokens, fetch.factor, self.now);
        if far.tokens > near.tokens && saving(&far) > saving(&near) { far } else { near }
    }

    /// The time of the KV cache transfer from a prefill engine in `zone` to the nearest decode engine, in milliseconds,
    /// and the round trip between the node and that engine.
    fn handover(&self, zone: &ZoneName) -> (f64, Duration) {
        let nearest = self.decode_zones.iter().copied().min_by(|one, other| {
            let key =
                |decode: &ZoneName| (self.distance.transfer_factor(zone, decode), self.distance.hop_millis(decode));
            key(one).partial_cmp(&key(other)).unwrap_or(std::cmp::Ordering::Equal)
        });
        let factor = nearest.map_or(1.0, |decode| self.distance.transfer_factor(zone, decode));
        let round_trip = nearest.map_or(Duration::ZERO, |decode| self.distance.round_trip(decode));
        (self.move_millis_per_token * f64::from(self.prompt.tokens) * factor, round_trip)
    }

    /// The cost of the distance. A prompt with a shared part ignores zones within the region: if each zone preferred its
    /// own engines, each would process and keep the part.
    fn hop_millis(&self, zone: &ZoneName) -> f64 {
        let shares_part = self.config.affinity && self.prompt.deepest_shared_part().is_some();
        if shares_part && !self.distance.is_other_region(zone) { 0.0 } else { self.distance.hop_millis(zone) }
    }

    /// The tokens of this node's requests at a prefill engine of another region, each taken for one like this prompt. The
    /// backlog that other nodes cause there isn't known; without this, nodes go on sending to engines that are behind.
    fn far_tokens_in_flight(&self, index: usize) -> u32 {
        let Candidate { back_end, in_flight, .. } = self.candidates[index];
        let is_far_prefill =
            back_end.stage == Some(EngineStage::Prefill) && self.distance.is_other_region(&back_end.zone);
        if is_far_prefill { in_flight.saturating_mul(self.prompt.tokens) } else { 0 }
    }

    fn cache_scope(&self, index: usize) -> CacheScope<'a> {
        self.distance.cache_scope(&self.back_end(index).zone)
    }

    fn back_end(&self, index: usize) -> &'a BackEnd {
        self.candidates[index].back_end
    }
}

impl Evaluated {
    fn cost_micros(&self) -> u64 {
        (self.cost_millis * 1e3) as u64
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
