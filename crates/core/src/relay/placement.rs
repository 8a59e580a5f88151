//! Where a request is sent: a choice among the back ends of its service, made alike by every node.

use super::prompt::Prompt;
use super::prompt_index::PromptIndex;
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
    Read {
        /// The prompt.
        prompt: &'a Prompt,
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
    /// To be answered by an engine, near the one that read its prompt, if another did.
    Decode {
        /// The zone of the engine that read the prompt.
        near: Option<&'a ZoneName>,
        /// What is known of the reading of prompts.
        index: &'a PromptIndex,
        /// The time now.
        now: Timestamp,
    },
}

/// What the choice weighs.
#[derive(Clone, Copy, Debug)]
pub struct PlacementLimits {
    /// Requests that an engine in another zone must have fewer to be preferred to one in the prompt's zone: a KV cache
    /// takes twice as long between zones.
    pub zone_advantage: u32,
    /// Tokens that an engine has still to read that count like a request under way there: short prompts wait behind
    /// long ones.
    pub backlog_tokens_per_request: f64,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        PlacementLimits { zone_advantage: 2, backlog_tokens_per_request: 1_000.0 }
    }
}

impl Purpose<'_> {
    fn takes(&self, back_end: &BackEnd) -> bool {
        match self {
            Purpose::Application => back_end.stage.is_none(),
            Purpose::Read { .. } => back_end.stage.is_some(),
            Purpose::Decode { .. } => back_end.stage == Some(EngineStage::Decode),
        }
    }
}

/// The index of the candidate that the request is sent to; `None` when none may be used.
///
/// Usable and healthy back ends come first, then usable ones that fail (a request there is better than none), then
/// those that left a moment ago. `avoid` tells which candidates the request was already sent to.
pub fn place(
    candidates: &[Candidate<'_>],
    purpose: &Purpose<'_>,
    limits: &PlacementLimits,
    avoid: impl Fn(&BackEnd) -> bool,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let fitting = || {
        let fits = |candidate: &Candidate<'_>| {
            purpose.takes(candidate.back_end) && candidate.connectable && !avoid(candidate.back_end)
        };
        (0..candidates.len()).filter(move |index| fits(&candidates[*index]))
    };
    let usable = |index: &usize| candidates[*index].usability == Usability::Usable;
    let healthy: Vec<usize> = fitting().filter(usable).filter(|index| candidates[*index].healthy).collect();
    if !healthy.is_empty() {
        return choose(candidates, &healthy, purpose, limits, random);
    }
    let failing: Vec<usize> = fitting().filter(usable).collect();
    if !failing.is_empty() {
        return choose(candidates, &failing, purpose, limits, random);
    }
    let leaving: Vec<usize> = fitting().filter(|index| candidates[*index].usability == Usability::LastResort).collect();
    choose(candidates, &leaving, purpose, limits, random)
}

fn choose(
    candidates: &[Candidate<'_>],
    indexes: &[usize],
    purpose: &Purpose<'_>,
    limits: &PlacementLimits,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    match purpose {
        Purpose::Read { prompt, index, now } => {
            // All nodes rank engines of equal cost alike, so that a part that nobody has read yet is read once.
            let address = |index: &usize| candidates[*index].back_end.address;
            let key = prompt.first_shared_part().map_or_else(|| random.u64(..), |part| part.id);
            let ranked = rank_by_address(&key.to_be_bytes(), indexes.iter().copied(), address);
            ranked.into_iter().min_by_key(|candidate| {
                let back_end = candidates[*candidate].back_end;
                index.cost(&back_end.id, back_end.stage.unwrap_or(EngineStage::Decode), prompt, *now)
            })
        }
        Purpose::Decode { near, index, now } => least(indexes, random, |candidate| {
            let back_end = candidates[candidate].back_end;
            let elsewhere = near.is_some_and(|zone| back_end.zone != *zone);
            let backlog = index.backlog(&back_end.id, *now) / limits.backlog_tokens_per_request;
            candidates[candidate].in_flight + backlog as u32 + if elsewhere { limits.zone_advantage } else { 0 }
        }),
        Purpose::Application => least(indexes, random, |candidate| candidates[candidate].in_flight),
    }
}

/// The index with the least cost; ties are broken at random, so that nodes with equal views don't all choose alike.
fn least(indexes: &[usize], random: &mut fastrand::Rng, cost: impl Fn(usize) -> u32) -> Option<usize> {
    let minimum = indexes.iter().map(|index| cost(*index)).min()?;
    let best: Vec<usize> = indexes.iter().copied().filter(|index| cost(*index) == minimum).collect();
    Some(best[random.usize(..best.len())])
}
