//! Selects the back end of its service that a request is sent to. All nodes use the same rules.

use std::time::Duration;

use super::distance_cost::DistanceCost;
use super::placement_config::PlacementConfig;
use super::prefill_placement::PrefillPlacement;
use super::prompt::Prompt;
use super::prompt_index::PromptIndex;
use super::urgency::Urgency;
use crate::back_ends::{BackEnd, EngineStage, Usability};
use crate::time::Timestamp;
use crate::world::{Topology, ZoneName};

/// Requests may go to an engine of another region that costs this much more than the cheapest one there, in requests in
/// flight. Nodes don't know what others send to that region; if all chose the cheapest one, they would overload it.
const SPILL_OVER_TOLERANCE_REQUESTS: f64 = 1.0;

/// What placement depends on, apart from the request and the back ends.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRules<'a> {
    /// The settings.
    pub config: &'a PlacementConfig,
    /// The node's zone and the regions of the zones; `None`: distance is not considered.
    pub topology: Option<&'a Topology>,
}

impl<'a> From<&'a PlacementConfig> for PlacementRules<'a> {
    fn from(config: &'a PlacementConfig) -> Self {
        PlacementRules { config, topology: None }
    }
}

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
    fn without_prefill(index: usize) -> Self {
        Placed {
            index,
            expected_time: Duration::ZERO,
            has_backlog: false,
            urgency: Urgency::InTime,
            uncached_tokens: 0,
        }
    }

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
pub fn place<'a>(
    candidates: &[Candidate<'_>],
    purpose: &Purpose<'_>,
    rules: impl Into<PlacementRules<'a>>,
    avoid: impl Fn(&BackEnd) -> bool,
    random: &mut fastrand::Rng,
) -> Option<Placed> {
    let PlacementRules { config, topology } = rules.into();
    let may_connect = |candidate: &Candidate<'_>| candidate.connectable && !avoid(candidate.back_end);
    let placement = Placement { candidates, config, distance: DistanceCost::new(topology, config) };
    let eligible = || {
        let is_eligible =
            |candidate: &Candidate<'_>| purpose.accepts(candidate.back_end, config) && may_connect(candidate);
        (0..candidates.len()).filter(move |index| is_eligible(&candidates[*index]))
    };
    let usable = |index: &usize| candidates[*index].usability == Usability::Usable;
    let healthy: Vec<usize> = eligible().filter(usable).filter(|index| candidates[*index].healthy).collect();
    if !healthy.is_empty() {
        return placement.choose(&healthy, purpose, may_connect, random);
    }
    let failing: Vec<usize> = eligible().filter(usable).collect();
    if !failing.is_empty() {
        return placement.choose(&failing, purpose, may_connect, random);
    }
    let draining: Vec<usize> =
        eligible().filter(|index| candidates[*index].usability == Usability::LastResort).collect();
    placement.choose(&draining, purpose, may_connect, random)
}

/// Selects among candidates that are equally usable.
struct Placement<'a> {
    candidates: &'a [Candidate<'a>],
    config: &'a PlacementConfig,
    distance: DistanceCost<'a>,
}

impl Placement<'_> {
    fn choose(
        &self,
        indexes: &[usize],
        purpose: &Purpose<'_>,
        may_connect: impl Fn(&Candidate<'_>) -> bool,
        random: &mut fastrand::Rng,
    ) -> Option<Placed> {
        let chosen = match purpose {
            Purpose::Prefill { prompt, in_time, index, now } => {
                let placement = PrefillPlacement {
                    candidates: self.candidates,
                    prompt,
                    index,
                    config: self.config,
                    distance: self.distance,
                    decode_zones: self.decode_zones(may_connect),
                    move_millis_per_token: index.model().move_millis(1.0, *now),
                    now: *now,
                };
                return placement.choose(indexes, *in_time, random);
            }
            Purpose::PrefillShort { index, now } => self.short_prefill(indexes, index, *now, random),
            Purpose::Decode { near, index, now } => self.decode(indexes, *near, index, *now, random),
            Purpose::Application => self.least(indexes, random, |index| self.requests(index)),
        };
        chosen.map(Placed::without_prefill)
    }

    /// Selects an idle prefill engine for a short prompt. An engine of another region is never worth the round trip: the
    /// decode engine that answers can prefill the prompt.
    fn short_prefill(
        &self,
        indexes: &[usize],
        index: &PromptIndex,
        now: Timestamp,
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        let is_idle = |candidate: &usize| {
            let engine = &self.candidates[*candidate].back_end.id;
            index.backlog(engine, EngineStage::Prefill, Urgency::Late, now) <= 0.0
        };
        let is_near = |candidate: &usize| !self.distance.is_other_region(self.zone(*candidate));
        let idle: Vec<usize> = indexes.iter().copied().filter(is_near).filter(is_idle).collect();
        self.least(&idle, random, |candidate| self.requests(candidate))
    }

    /// Selects the engine that answers. After a prefill in the zone `near`, engines of other regions are used only if there
    /// is none in the region of that zone.
    fn decode(
        &self,
        indexes: &[usize],
        near: Option<&ZoneName>,
        index: &PromptIndex,
        now: Timestamp,
        random: &mut fastrand::Rng,
    ) -> Option<usize> {
        let is_of_region =
            |candidate: &usize| near.is_none_or(|zone| self.distance.is_same_scope(zone, self.zone(*candidate)));
        let of_region: Vec<usize> = indexes.iter().copied().filter(is_of_region).collect();
        // The zone of the prefill decides within its region, the zone of the node elsewhere.
        let is_by_hop = near.is_none() || of_region.is_empty();
        let eligible = if of_region.is_empty() { indexes } else { &of_region };
        self.least(eligible, random, |candidate| {
            let Candidate { back_end, in_flight, .. } = self.candidates[candidate];
            let is_other_zone = near.is_some_and(|zone| back_end.zone != *zone);
            let backlog = index.backlog(&back_end.id, EngineStage::Decode, Urgency::Late, now);
            let backlog_millis = index.model().prefill_millis(EngineStage::Decode, backlog);
            f64::from(in_flight)
                + backlog_millis / self.config.backlog_per_request_milliseconds
                + if is_other_zone { self.config.zone_advantage } else { 0.0 }
                + if is_by_hop { self.distance.hop_requests(&back_end.zone) } else { 0.0 }
        })
    }

    /// The node's requests in flight to a candidate, and the cost of the distance.
    fn requests(&self, index: usize) -> f64 {
        f64::from(self.candidates[index].in_flight) + self.distance.hop_requests(self.zone(index))
    }

    /// The zones with a decode engine that can be used; empty in a single region, where they don't matter.
    fn decode_zones(&self, may_connect: impl Fn(&Candidate<'_>) -> bool) -> Vec<&ZoneName> {
        let is_decode = |candidate: &&Candidate<'_>| {
            let is_usable = candidate.usability == Usability::Usable && candidate.healthy && may_connect(candidate);
            is_usable && candidate.back_end.stage == Some(EngineStage::Decode)
        };
        let decode_engines = self.candidates.iter().filter(|_| self.distance.applies()).filter(is_decode);
        let mut zones: Vec<&ZoneName> = decode_engines.map(|candidate| &candidate.back_end.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    fn zone(&self, index: usize) -> &ZoneName {
        &self.candidates[index].back_end.zone
    }

    /// The index with the least cost. Ties are broken at random, so that nodes with equal views choose different
    /// candidates; in other regions, engines whose costs are close count as ties.
    fn least(&self, indexes: &[usize], random: &mut fastrand::Rng, cost: impl Fn(usize) -> f64) -> Option<usize> {
        let costs: Vec<(usize, f64)> = indexes.iter().map(|index| (*index, cost(*index))).collect();
        let (cheapest, minimum) = costs.iter().copied().min_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let is_far = |index: usize| self.distance.is_other_region(self.zone(index));
        let spills_over = is_far(cheapest);
        let maximum = minimum + if spills_over { SPILL_OVER_TOLERANCE_REQUESTS } else { 0.0 };
        let is_tie = |(index, cost): &&(usize, f64)| *cost <= maximum && (*cost <= minimum || is_far(*index));
        let best: Vec<usize> = costs.iter().filter(is_tie).map(|(index, _)| *index).collect();
        Some(best[random.usize(..best.len())])
    }
}
