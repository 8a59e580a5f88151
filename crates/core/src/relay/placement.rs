//! Selects the back end of its service that a request is sent to. All nodes use the same rules.

use std::time::Duration;

use super::placement_config::PlacementConfig;
use super::prompt::Prompt;
use super::prompt_index::PromptIndex;
use super::urgency::Urgency;
use crate::back_ends::{BackEnd, EngineStage, Usability};
use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::ZoneName;

/// A back end as the node sees it when it places a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The back end.
    pub back_end: &'a BackEnd,
    /// Whether the directory allows its use.
    pub usability: Usability,
    /// Whether its recent answers allow its use.
    pub healthy: bool,
    /// Whether the node may open or reuse one more connection to it.
    pub connectable: bool,
    /// This node's requests in flight to it.
    pub in_flight: u32,
}

/// The purpose of sending a request.
#[derive(Clone, Copy, Debug)]
pub enum Purpose<'a> {
    /// An answer from a plain application.
    Application,
    /// Prefill of a long prompt, by a prefill engine or by the decode engine that answers it.
    Prefill {
        /// The prompt.
        prompt: &'a Prompt,
        /// The time within which the prefill has to end to be in time; `None`: it is never late.
        in_time: Option<Duration>,
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
    /// Prefill of a short prompt by an idle prefill engine.
    PrefillShort {
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
    /// An answer from a decode engine.
    Decode {
        /// The zone of the engine that processed the prompt, if that was another one.
        near: Option<&'a ZoneName>,
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
}

impl Purpose<'_> {
    fn accepts(&self, back_end: &BackEnd, config: &PlacementConfig) -> bool {
        match self {
            Purpose::Application => back_end.stage.is_none(),
            Purpose::Prefill { .. } if config.decode_engines_read => back_end.stage.is_some(),
            Purpose::Prefill { .. } | Purpose::PrefillShort { .. } => back_end.stage == Some(EngineStage::Prefill),
            Purpose::Decode { .. } => back_end.stage == Some(EngineStage::Decode),
        }
    }
}

/// The candidate selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// Its index among the candidates.
    pub index: usize,
    /// The expected time until the prefill there has ended and the prompt is ready for its answer; zero without a prefill.
    pub expected_time: Duration,
    /// Whether the prompt would queue behind others there.
    pub has_backlog: bool,
    /// Whether the request is expected to be in time.
    pub urgency: Urgency,
    /// The tokens of the prompt that need prefill there; 0 without a prefill.
    pub uncached_tokens: u32,
}

impl Placed {
    /// Whether to refuse a request that must end within `left` instead of sending it. Late prompts take `late_stretch`
    /// times as long as expected.
    ///
    /// Only requests that would queue are refused: if requests to an idle engine were refused because its estimate is too
    /// slow, no request could correct the estimate.
    pub fn should_refuse(&self, left: Duration, late_stretch: Option<f64>) -> bool {
        self.has_backlog && self.expected_time.mul_f64(late_stretch.unwrap_or(1.0)) > left
    }
}

/// Selects the candidate that the request is sent to; `None` when none may be used.
///
/// Usable and healthy back ends come first, then usable but failing ones (a request there is better than none), then
/// those that began to drain recently. `avoid` is true for candidates that the request was already sent to.
pub fn place(
    candidates: &[Candidate<'_>],
    purpose: &Purpose<'_>,
    config: &PlacementConfig,
    avoid: impl Fn(&BackEnd) -> bool,
    random: &mut fastrand::Rng,
) -> Option<Placed> {
    let eligible = || {
        let is_eligible = |candidate: &Candidate<'_>| {
            purpose.accepts(candidate.back_end, config) && candidate.connectable && !avoid(candidate.back_end)
        };
        (0..candidates.len()).filter(move |index| is_eligible(&candidates[*index]))
    };
    let usable = |index: &usize| candidates[*index].usability == Usability::Usable;
    let healthy: Vec<usize> = eligible().filter(usable).filter(|index| candidates[*index].healthy).collect();
    if !healthy.is_empty() {
        return choose(candidates, &healthy, purpose, config, random);
    }
    let failing: Vec<usize> = eligible().filter(usable).collect();
    if !failing.is_empty() {
        return choose(candidates, &failing, purpose, config, random);
    }
    let draining: Vec<usize> =
        eligible().filter(|index| candidates[*index].usability == Usability::LastResort).collect();
    choose(candidates, &draining, purpose, config, random)
}

fn choose(
    candidates: &[Candidate<'_>],
    indexes: &[usize],
    purpose: &Purpose<'_>,
    config: &PlacementConfig,
    random: &mut fastrand::Rng,
) -> Option<Placed> {
    let without_prefill = |index| Placed {
        index,
        expected_time: Duration::ZERO,
        has_backlog: false,
        urgency: Urgency::InTime,
        uncached_tokens: 0,
    };
    match purpose {
        Purpose::Prefill { prompt, in_time, index, now } => {
            let move_millis_per_token = index.model().move_millis(1.0, *now);
            let placement = PrefillPlacement { candidates, prompt, index, config, move_millis_per_token, now: *now };
            placement.choose(indexes, *in_time, random)
        }
        Purpose::PrefillShort { index, now } => {
            let is_idle = |candidate: &usize| {
                let engine = &candidates[*candidate].back_end.id;
                index.backlog(engine, EngineStage::Prefill, Urgency::Late, *now) <= 0.0
            };
            let idle: Vec<usize> = indexes.iter().copied().filter(is_idle).collect();
            least(&idle, random, |candidate| f64::from(candidates[candidate].in_flight)).map(without_prefill)
        }
        Purpose::Decode { near, index, now } => least(indexes, random, |candidate| {
            let Candidate { back_end, in_flight, .. } = candidates[candidate];
            let is_other_zone = near.is_some_and(|zone| back_end.zone != *zone);
            let backlog = index.backlog(&back_end.id, EngineStage::Decode, Urgency::Late, *now);
            let backlog_millis = index.model().prefill_millis(EngineStage::Decode, backlog);
            f64::from(in_flight)
                + backlog_millis / config.backlog_per_request_milliseconds
                + if is_other_zone { config.zone_advantage } else { 0.0 }
        })
        .map(without_prefill),
        Purpose::Application => {
            least(indexes, random, |candidate| f64::from(candidates[candidate].in_flight)).map(without_prefill)
        }
    }
}

/// Selects the engine that processes a prompt.
struct PrefillPlacement<'a> {
    candidates: &'a [Candidate<'a>],
    prompt: &'a Prompt,
    index: &'a PromptIndex,
    config: &'a PlacementConfig,
    /// The estimated time of a KV cache transfer per token, the same for all candidates.
    move_millis_per_token: f64,
    now: Timestamp,
}

impl PrefillPlacement<'_> {
    /// The cheapest candidate if it is in time. If it is late, the cheapest one for a prompt that queues behind those that
    /// can be in time.
    fn choose(&self, indexes: &[usize], in_time: Option<Duration>, random: &mut fastrand::Rng) -> Option<Placed> {
        let ranked = self.ranked(indexes, random);
        if let Some(placed) = self.on_prefill_engine(&ranked, in_time) {
            return Some(placed);
        }
        let placed = self.cheapest(&ranked, Urgency::InTime)?;
        let is_late = in_time.is_some_and(|in_time| placed.expected_time > in_time);
        if self.config.orders_by_urgency && is_late {
            return self.cheapest(&ranked, Urgency::Late);
        }
        Some(placed)
    }

    /// The prefill engine that processes the prompt early enough to leave out decode engines.
    fn on_prefill_engine(&self, ranked: &[usize], in_time: Option<Duration>) -> Option<Placed> {
        let sufficient_time = self.config.prefill_suffices_within(in_time)?;
        let is_prefill = |index: &usize| self.candidates[*index].back_end.stage == Some(EngineStage::Prefill);
        let prefill_engines: Vec<usize> = ranked.iter().copied().filter(is_prefill).collect();
        self.cheapest(&prefill_engines, Urgency::InTime).filter(|placed| placed.expected_time <= sufficient_time)
    }

    /// Ranks the engines in the same order on all nodes, so that a part that no engine has cached yet is processed once.
    fn ranked(&self, indexes: &[usize], random: &mut fastrand::Rng) -> Vec<usize> {
        let address = |index: &usize| self.candidates[*index].back_end.address;
        let key = self.prompt.deepest_shared_part().map_or_else(|| random.u64(..), |part| part.id);
        rank_by_address(&key.to_be_bytes(), indexes.iter().copied(), address)
    }

    /// The candidate with the least cost for a prompt of `urgency`; of equal ones, the first in rank.
    fn cheapest(&self, ranked: &[usize], urgency: Urgency) -> Option<Placed> {
        let cached_anywhere = ranked.iter().map(|index| self.cached(*index)).max().unwrap_or(0);
        let expected = ranked.iter().map(|index| self.expected(*index, cached_anywhere, urgency));
        expected.min_by_key(|placed| (self.cost_millis(placed) * 1e3) as u64)
    }

    /// The tokens of the prompt that the engine has cached; 0 when affinity is switched off.
    fn cached(&self, index: usize) -> u32 {
        if self.config.affinity {
            self.index.cached_tokens_of(&self.candidates[index].back_end.id, self.prompt)
        } else {
            0
        }
    }

    /// The cost in milliseconds: the time until the prompt is ready for its answer, weighted on decode engines for the
    /// delay to other answers.
    fn cost_millis(&self, placed: &Placed) -> f64 {
        match self.candidates[placed.index].back_end.stage {
            Some(EngineStage::Prefill) => millis(placed.expected_time),
            _ => millis(placed.expected_time) * self.config.decode_interference,
        }
    }

    /// The expected time until the prefill has ended and the KV cache is at the decode engine.
    fn expected(&self, index: usize, cached_anywhere: u32, urgency: Urgency) -> Placed {
        let back_end = self.candidates[index].back_end;
        let stage = back_end.stage.unwrap_or(EngineStage::Decode);
        let model = self.index.model();
        let cached = self.cached(index);
        let fetched = if self.config.takes_parts_over { cached_anywhere.saturating_sub(cached) } else { 0 };
        let uncached_tokens = self.prompt.tokens.saturating_sub(cached + fetched);
        let backlog = self.index.backlog(&back_end.id, stage, urgency, self.now);
        let prefill_millis = model.prefill_millis(stage, backlog + f64::from(uncached_tokens));
        let fetch_millis = self.move_millis_per_token * f64::from(fetched);
        let handover_millis = match stage {
            EngineStage::Prefill => self.move_millis_per_token * f64::from(self.prompt.tokens),
            EngineStage::Decode => 0.0,
        };
        let expected_time = Duration::from_secs_f64((prefill_millis + fetch_millis + handover_millis) / 1e3);
        Placed { index, expected_time, has_backlog: backlog > 0.0, urgency, uncached_tokens }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// The index with the least cost. Ties are broken at random, so that nodes with equal views choose different candidates.
fn least(indexes: &[usize], random: &mut fastrand::Rng, cost: impl Fn(usize) -> f64) -> Option<usize> {
    let costs: Vec<(usize, f64)> = indexes.iter().map(|index| (*index, cost(*index))).collect();
    let minimum = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
    let best: Vec<usize> = costs.iter().filter(|(_, cost)| *cost <= minimum).map(|(index, _)| *index).collect();
    Some(best[random.usize(..best.len())])
}
