//! Looks for the best static split of the largest pool: a coarse grid first, then the neighbours of the best.

use std::collections::BTreeMap;

use havengate_core::policy::RoleCounts;

use super::error::CompareError;
use super::plan::{Comparison, Contender};
use super::runs::{Progress, run_all};
use crate::simulate::SimulationFigures;

/// Parts into which the coarse grid divides the pool.
const COARSE_PARTS: u16 = 4;

/// What a split did on the sweep's seeds.
#[derive(Clone, Debug)]
pub(super) struct SplitResult {
    pub(super) roles: RoleCounts,
    pub(super) figures: Vec<SimulationFigures>,
}

impl SplitResult {
    /// Mean goodput.
    pub(super) fn goodput(&self) -> f64 {
        self.mean(|figures| figures.goodput)
    }

    /// Mean goodput in a phase.
    pub(super) fn goodput_in(&self, phase: &str) -> f64 {
        self.mean(|figures| figures.goodput_by_phase.get(phase).map_or(1.0, |share| share.goodput))
    }

    fn mean(&self, of: impl Fn(&SimulationFigures) -> f64) -> f64 {
        self.figures.iter().map(of).sum::<f64>() / self.figures.len().max(1) as f64
    }
}

/// Splits in steps of a quarter of the pool, and those with no engine of one role, that serve both kinds of work.
pub fn coarse_splits(engines: u16) -> Vec<RoleCounts> {
    let step = (engines / COARSE_PARTS).max(1);
    let on_grid = |roles: &RoleCounts| roles.prefill.is_multiple_of(step) && roles.decode.is_multiple_of(step);
    all_splits(engines).filter(on_grid).filter(serves_all).collect()
}

/// Splits that differ from `roles` by the role of one engine, and that serve both kinds of work.
pub fn neighbours(roles: RoleCounts) -> Vec<RoleCounts> {
    all_splits(roles.total()).filter(|other| roles.changes_to(*other) == 1).filter(serves_all).collect()
}

fn all_splits(engines: u16) -> impl Iterator<Item = RoleCounts> {
    (0..=engines).flat_map(move |prefill| {
        (0..=engines - prefill).map(move |decode| RoleCounts { prefill, decode, mixed: engines - prefill - decode })
    })
}

fn serves_all(roles: &RoleCounts) -> bool {
    roles.prefill + roles.mixed > 0 && roles.decode + roles.mixed > 0
}

/// Simulates the coarse splits, then the neighbours of the best, until none of them is better.
pub(super) fn sweep(
    comparison: &Comparison,
    engines: u16,
    progress: Progress<'_>,
) -> Result<Vec<SplitResult>, CompareError> {
    let mut results = simulate_splits(comparison, &coarse_splits(engines), progress)?;
    loop {
        let Some(best) = best_split(&results).map(|result| result.roles) else { return Ok(results) };
        let mut unknown = neighbours(best);
        unknown.retain(|roles| results.iter().all(|result| result.roles != *roles));
        if unknown.is_empty() {
            return Ok(results);
        }
        results.extend(simulate_splits(comparison, &unknown, progress)?);
        if best_split(&results).map(|result| result.roles) == Some(best) {
            return Ok(results);
        }
    }
}

/// The split with the highest mean goodput; of two alike the one that was tried first.
pub(super) fn best_split(results: &[SplitResult]) -> Option<&SplitResult> {
    best_by(results, SplitResult::goodput)
}

/// The result with the highest value; of two alike the first.
pub(super) fn best_by(results: &[SplitResult], value: impl Fn(&SplitResult) -> f64) -> Option<&SplitResult> {
    results.iter().rev().max_by(|left, right| value(left).total_cmp(&value(right)))
}

fn simulate_splits(
    comparison: &Comparison,
    splits: &[RoleCounts],
    progress: Progress<'_>,
) -> Result<Vec<SplitResult>, CompareError> {
    let seeds: Vec<u64> = comparison.sweep_seeds.seeds().collect();
    let contenders: Vec<Contender> = splits.iter().copied().map(Contender::split).collect();
    let plans: Vec<_> = contenders
        .iter()
        .flat_map(|contender| seeds.iter().map(|seed| comparison.simulation(contender, *seed)))
        .collect();
    let mut figures = run_all(&plans, comparison.threads, progress)?.into_iter();
    let mut by_split = BTreeMap::new();
    for (place, _) in splits.iter().enumerate() {
        by_split.insert(place, figures.by_ref().take(seeds.len()).collect());
    }
    let results = by_split.into_iter().map(|(place, figures)| SplitResult { roles: splits[place], figures });
    Ok(results.collect())
}
