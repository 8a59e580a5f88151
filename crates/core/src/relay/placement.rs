//! Where a request is sent: a choice among the back ends of its service, made alike by every node.

use std::time::Duration;

use super::placement_config::PlacementConfig;
use super::prompt::Prompt;
use super::prompt_index::PromptIndex;
use super::urgency::Urgency;
use crate::back_ends::{BackEnd, EngineStage, Usability};
use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::ZoneName;

/// A back end as the node sees it at the moment of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The back end.
    pub back_end: &'a BackEnd,
    /// Whether the directory lets it be used.
    pub usability: Usability,
    /// Whether its answers lately let it be used.
    pub healthy: bool,
    /// Whether the node may open or reuse one more connection to it.
    pub connectable: bool,
    /// This node's requests that are under way there.
    pub in_flight: u32,
}

/// What the request is sent for.
#[derive(Clone, Copy, Debug)]
pub enum Purpose<'a> {
    /// To be answered by a plain application.
    Application,
    /// To have a long prompt read, by a prefill engine or by the engine that answers it.
    Prefill {
        /// The prompt.
        prompt: &'a Prompt,
        /// The time within which it has to be read to be in time; `None`: it is never late.
        in_time: Option<Duration>,
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
    /// To have a short prompt read by a prefill engine that has nothing else to read.
    PrefillShort {
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
    /// To be answered by an engine.
    Decode {
        /// The zone of the engine that read the prompt, if another did.
        near: Option<&'a ZoneName>,
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
}

impl Purpose<'_> {
    fn takes(&self, back_end: &BackEnd, config: &PlacementConfig) -> bool {
        match self {
            Purpose::Application => back_end.stage.is_none(),
            Purpose::Prefill { .. } if config.decode_engines_read => back_end.stage.is_some(),
            Purpose::Prefill { .. } | Purpose::PrefillShort { .. } => back_end.stage == Some(EngineStage::Prefill),
            Purpose::Decode { .. } => back_end.stage == Some(EngineStage::Decode),
        }
    }
}

/// The candidate that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placed {
    /// Its index among the candidates.
    pub index: usize,
    /// The time until a prompt is expected to be read there and ready for its answer; zero where nothing is read.
    pub expected_time: Duration,
    /// Whether the prompt waits for others there.
    pub has_backlog: bool,
    /// Whether it is expected to be in time.
    pub urgency: Urgency,
    /// The tokens of the prompt that have to be read there; 0 where nothing is read.
    pub uncached_tokens: u32,
}

impl Placed {
    /// Whether a request that must end within `left` is better refused than sent. Late prompts take `late_stretch` times
    /// what is expected of them.
    ///
    /// Only what waits for others is refused: were an engine with nothing to do taken for too slow, nothing would be sent
    /// there any more that could show the contrary.
    pub fn should_refuse(&self, left: Duration, late_stretch: Option<f64>) -> bool {
        self.has_backlog && self.expected_time.mul_f64(late_stretch.unwrap_or(1.0)) > left
    }
}

/// The candidate that the request is sent to; `None` when none may be used.
///
/// Usable and healthy back ends come first, then usable ones that fail (a request there is better than none), then
/// those that left a moment ago. `avoid` tells which candidates the request was already sent to.
pub fn place(
    candidates: &[Candidate<'_>],
    purpose: &Purpose<'_>,
    config: &PlacementConfig,
    avoid: impl Fn(&BackEnd) -> bool,
    random: &mut fastrand::Rng,
) -> Option<Placed> {
    let fitting = || {
        let fits = |candidate: &Candidate<'_>| {
            purpose.takes(candidate.back_end, config) && candidate.connectable && !avoid(candidate.back_end)
        };
        (0..candidates.len()).filter(move |index| fits(&candidates[*index]))
    };
    let usable = |index: &usize| candidates[*index].usability == Usability::Usable;
    let healthy: Vec<usize> = fitting().filter(usable).filter(|index| candidates[*index].healthy).collect();
    if !healthy.is_empty() {
        return choose(candidates, &healthy, purpose, config, random);
    }
    let failing: Vec<usize> = fitting().filter(usable).collect();
    if !failing.is_empty() {
        return choose(candidates, &failing, purpose, config, random);
    }
    let leaving: Vec<usize> = fitting().filter(|index| candidates[*index].usability == Usability::LastResort).collect();
    choose(candidates, &leaving, purpose, config, random)
}

fn choose(
    candidates: &[Candidate<'_>],
    indexes: &[usize],
    purpose: &Purpose<'_>,
    config: &PlacementConfig,
    random: &mut fastrand::Rng,
) -> Option<Placed> {
    let at_once = |index| Placed {
        index,
        expected_time: Duration::ZERO,
        has_backlog: false,
        urgency: Urgency::InTime,
        uncached_tokens: 0,
    };
    match purpose {
        Purpose::Prefill { prompt, in_time, index, now } => {
            let move_millis_a_token = index.model().move_millis(1.0, *now);
            let readers = Readers { candidates, prompt, index, config, move_millis_a_token, now: *now };
            readers.choose(indexes, *in_time, random)
        }
        Purpose::PrefillShort { index, now } => {
            let is_idle = |candidate: &usize| {
                let engine = &candidates[*candidate].back_end.id;
                index.backlog(engine, EngineStage::Prefill, Urgency::Late, *now) <= 0.0
            };
            let idle: Vec<usize> = indexes.iter().copied().filter(is_idle).collect();
            least(&idle, random, |candidate| f64::from(candidates[candidate].in_flight)).map(at_once)
        }
        Purpose::Decode { near, index, now } => least(indexes, random, |candidate| {
            let Candidate { back_end, in_flight, .. } = candidates[candidate];
            let elsewhere = near.is_some_and(|zone| back_end.zone != *zone);
            let backlog = index.backlog(&back_end.id, EngineStage::Decode, Urgency::Late, *now);
            let backlog_millis = index.model().prefill_millis(EngineStage::Decode, backlog);
            f64::from(in_flight)
                + backlog_millis / config.backlog_per_request_milliseconds
                + if elsewhere { config.zone_advantage } else { 0.0 }
        })
        .map(at_once),
        Purpose::Application => {
            least(indexes, random, |candidate| f64::from(candidates[candidate].in_flight)).map(at_once)
        }
    }
}

/// The choice of the engine that reads a prompt.
struct Readers<'a> {
    candidates: &'a [Candidate<'a>],
    prompt: &'a Prompt,
    index: &'a PromptIndex,
    config: &'a PlacementConfig,
    /// What is believed of moves, the same for all candidates.
    move_millis_a_token: f64,
    now: Timestamp,
}

impl Readers<'_> {
    /// One that has the prompt read in time, or, when none can, the one that has it read first behind those that can be.
    fn choose(&self, indexes: &[usize], in_time: Option<Duration>, random: &mut fastrand::Rng) -> Option<Placed> {
        let ranked = self.ranked(indexes, random);
        if let Some(placed) = self.by_prefill(&ranked, in_time) {
            return Some(placed);
        }
        let placed = self.cheapest(&ranked, Urgency::InTime)?;
        let is_late = in_time.is_some_and(|in_time| placed.expected_time > in_time);
        if self.config.orders_by_urgency && is_late {
            return self.cheapest(&ranked, Urgency::Late);
        }
        Some(placed)
    }

    /// The prefill engine that reads the prompt early enough for decode engines to be left out.
    fn by_prefill(&self, ranked: &[usize], in_time: Option<Duration>) -> Option<Placed> {
        let suffices = self.config.prefill_suffices_within(in_time)?;
        let is_prefill = |index: &usize| self.candidates[*index].back_end.stage == Some(EngineStage::Prefill);
        let prefill: Vec<usize> = ranked.iter().copied().filter(is_prefill).collect();
        self.cheapest(&prefill, Urgency::InTime).filter(|placed| placed.expected_time <= suffices)
    }

    /// All nodes rank the engines alike, so that a part that nobody has read yet is read once.
    fn ranked(&self, indexes: &[usize], random: &mut fastrand::Rng) -> Vec<usize> {
        let address = |index: &usize| self.candidates[*index].back_end.address;
        let key = self.prompt.deepest_shared_part().map_or_else(|| random.u64(..), |part| part.id);
        rank_by_address(&key.to_be_bytes(), indexes.iter().copied(), address)
    }

    /// The candidate with the least cost for a prompt of `urgency`, of equal ones the first in rank.
    fn cheapest(&self, ranked: &[usize], urgency: Urgency) -> Option<Placed> {
        let kept_anywhere = ranked.iter().map(|index| self.kept(*index)).max().unwrap_or(0);
        let expected = ranked.iter().map(|index| self.expected(*index, kept_anywhere, urgency));
        expected.min_by_key(|placed| (self.cost_millis(placed) * 1e3) as u64)
    }

    /// The tokens of the prompt that need not be read, as far as that counts.
    fn kept(&self, index: usize) -> u32 {
        if self.config.affinity {
            self.index.kept_tokens_of(&self.candidates[index].back_end.id, self.prompt)
        } else {
            0
        }
    }

    /// What it costs, in milliseconds: the time until the prompt is ready for its answer, and what a decode engine's
    /// reading costs others.
    fn cost_millis(&self, placed: &Placed) -> f64 {
        match self.candidates[placed.index].back_end.stage {
            Some(EngineStage::Prefill) => millis_of(placed.expected_time),
            _ => millis_of(placed.expected_time) * self.config.decode_interference,
        }
    }

    /// When the prompt would be read and its KV cache be where it is answered.
    fn expected(&self, index: usize, kept_anywhere: u32, urgency: Urgency) -> Placed {
        let back_end = self.candidates[index].back_end;
        let stage = back_end.stage.unwrap_or(EngineStage::Decode);
        let model = self.index.model();
        let kept = self.kept(index);
        let taken_over = if self.config.takes_parts_over { kept_anywhere.saturating_sub(kept) } else { 0 };
        let uncached_tokens = self.prompt.tokens.saturating_sub(kept + taken_over);
        let backlog = self.index.backlog(&back_end.id, stage, urgency, self.now);
        let reading = model.prefill_millis(stage, backlog + f64::from(uncached_tokens));
        let taking_over = self.move_millis_a_token * f64::from(taken_over);
        let handing_over = match stage {
            EngineStage::Prefill => self.move_millis_a_token * f64::from(self.prompt.tokens),
            EngineStage::Decode => 0.0,
        };
        let expected_time = Duration::from_secs_f64((reading + taking_over + handing_over) / 1e3);
        Placed { index, expected_time, has_backlog: backlog > 0.0, urgency, uncached_tokens }
    }
}

fn millis_of(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// The index with the least cost; ties are broken at random, so that nodes with equal views don't all choose alike.
fn least(indexes: &[usize], random: &mut fastrand::Rng, cost: impl Fn(usize) -> f64) -> Option<usize> {
    let costs: Vec<(usize, f64)> = indexes.iter().map(|index| (*index, cost(*index))).collect();
    let minimum = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
    let best: Vec<usize> = costs.iter().filter(|(_, cost)| *cost <= minimum).map(|(index, _)| *index).collect();
    Some(best[random.usize(..best.len())])
}
