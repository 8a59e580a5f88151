//! Placement policies that can be selected by name in configuration.

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::PolicyError;
use super::cost::Cost;
use super::parameters::{Parameter, check};
use super::placement::{EngineView, PlacementPolicy, Stage};
use crate::configuration::PolicyChoice;
use crate::request::RequestProfile;
use crate::time::Timestamp;
use crate::world::EngineName;

const KNOWN: &str = "cost, least_loaded, power_of_two, prefix_affinity, round_robin";
/// An engine with fewer requests than this may always be chosen for its cache.
const LOAD_LIMIT_MINIMUM: u32 = 4;
const LOAD_BOUND: Parameter = Parameter::new("load_bound", 0.25, 0.0, 10.0)
    .meaning("share by which an engine may exceed the mean number of requests to be taken for its cache");
pub(super) const PREFIX_AFFINITY_PARAMETERS: [Parameter; 1] = [LOAD_BOUND];

/// Creates the placement policy named by `choice`. `seed` makes its random choices reproducible.
///
/// # Errors
/// Returns an error if the name or a parameter is unknown, or a value is out of range.
pub fn placement_policy(choice: &PolicyChoice, seed: u64) -> Result<Box<dyn PlacementPolicy>, PolicyError> {
    match choice.name.as_str() {
        "cost" => Ok(Box::new(Cost::from_choice(choice)?)),
        "least_loaded" => without_parameters(choice, LeastLoaded),
        "power_of_two" => without_parameters(choice, PowerOfTwo { random: Rng::with_seed(seed) }),
        "prefix_affinity" => Ok(Box::new(PrefixAffinity::from_choice(choice)?)),
        "round_robin" => without_parameters(choice, RoundRobin { last: None }),
        name => Err(PolicyError::UnknownName { name: name.to_owned(), known: KNOWN.to_owned() }),
    }
}

fn without_parameters(
    choice: &PolicyChoice,
    policy: impl PlacementPolicy + 'static,
) -> Result<Box<dyn PlacementPolicy>, PolicyError> {
    check(choice, &[])?;
    Ok(Box::new(policy))
}

/// The sort key for load: requests first, then prompt tokens waiting for prefill.
fn load(engine: &EngineView) -> (u32, u32) {
    (engine.running, engine.waiting_prefill_tokens)
}

fn index_of_least_loaded(candidates: &[EngineView]) -> Option<usize> {
    (0..candidates.len()).min_by_key(|&index| load(&candidates[index]))
}

/// Chooses the engine with the fewest requests.
struct LeastLoaded;

impl PlacementPolicy for LeastLoaded {
    fn choose(&mut self, _: &RequestProfile, _: Stage, candidates: &[EngineView], _: Timestamp) -> Option<usize> {
        index_of_least_loaded(candidates)
    }
}

/// Chooses engines in turn, regardless of load.
struct RoundRobin {
    last: Option<EngineName>,
}

impl PlacementPolicy for RoundRobin {
    fn choose(&mut self, _: &RequestProfile, _: Stage, candidates: &[EngineView], _: Timestamp) -> Option<usize> {
        let is_next = |engine: &EngineView| self.last.as_ref().is_none_or(|last| engine.name > *last);
        let next = candidates.iter().position(is_next).unwrap_or(0);
        self.last = Some(candidates.get(next)?.name.clone());
        Some(next)
    }
}

/// Draws two engines at random and chooses the one with fewer requests.
struct PowerOfTwo {
    random: Rng,
}

impl PlacementPolicy for PowerOfTwo {
    fn choose(&mut self, _: &RequestProfile, _: Stage, candidates: &[EngineView], _: Timestamp) -> Option<usize> {
        if candidates.len() < 2 {
            return index_of_least_loaded(candidates);
        }
        let first = self.random.usize(..candidates.len());
        let second = (first + self.random.usize(1..candidates.len())) % candidates.len();
        [first, second].into_iter().min_by_key(|&index| load(&candidates[index]))
    }
}

/// Chooses the engine with the longest cached prefix of the prompt, unless its load is too far above the mean.
struct PrefixAffinity {
    load_bound: f64,
}

impl PrefixAffinity {
    fn from_choice(choice: &PolicyChoice) -> Result<Self, PolicyError> {
        check(choice, &PREFIX_AFFINITY_PARAMETERS)?;
        Ok(PrefixAffinity { load_bound: LOAD_BOUND.value_in(choice) })
    }

    /// The number of running requests at which an engine is no longer chosen for its cache: the mean plus `load_bound`
    /// times the mean, but at least [`LOAD_LIMIT_MINIMUM`].
    fn load_limit(&self, candidates: &[EngineView]) -> u32 {
        let total: u32 = candidates.iter().map(|engine| engine.running).sum();
        let mean = f64::from(total + 1) / candidates.len().max(1) as f64;
        ((mean * (1.0 + self.load_bound)).ceil() as u32).max(LOAD_LIMIT_MINIMUM)
    }
}

impl PlacementPolicy for PrefixAffinity {
    fn choose(&mut self, request: &RequestProfile, _: Stage, candidates: &[EngineView], _: Timestamp) -> Option<usize> {
        let load_limit = self.load_limit(candidates);
        let within_bound = |&index: &usize| candidates[index].running < load_limit;
        let preference =
            |&index: &usize| (candidates[index].cached_prefix_tokens, rendezvous_hash(request, &candidates[index]));
        let preferred = (0..candidates.len()).filter(within_bound).max_by_key(preference);
        preferred.or_else(|| index_of_least_loaded(candidates))
    }
}

/// Rendezvous hash of the prompt's first block and the engine. Requests with the same prefix rank the engines alike, so
/// they go to one engine even before its cache contents are known.
fn rendezvous_hash(request: &RequestProfile, engine: &EngineView) -> u64 {
    let prefix = request.blocks.first().map_or(request.id.0 as u64, |block| block.0);
    xxh3_64_with_seed(engine.name.as_str().as_bytes(), prefix)
}
