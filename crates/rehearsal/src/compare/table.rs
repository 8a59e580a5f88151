//! The table of a comparison.

use serde::Serialize;

use super::clairvoyant::clairvoyant;
use super::error::CompareError;
use super::interval::Interval;
use super::plan::{Comparison, Contender};
use super::runs::{Progress, run_all};
use super::sweep::{best_split, sweep};
use crate::simulate::{SimulationError, SimulationFigures, largest_pool};

/// A comparison's result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ComparisonTable {
    /// The deployment's name.
    pub deployment: String,
    /// The experiment's name.
    pub experiment: String,
    /// The seeds that the rows are made from.
    pub seeds: Vec<u64>,
    /// The seeds of the sweep; empty without one.
    pub sweep_seeds: Vec<u64>,
    /// Static splits that were tried.
    pub splits_tried: usize,
    /// One row a contender, in the order in which they were given; then the best split and the clairvoyant plan.
    pub rows: Vec<Row>,
}

/// What one contender did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The contender.
    pub name: String,
    /// Goodput over the seeds.
    pub goodput: Interval,
    /// Goodput as a share of that of the best static split, seed by seed; `None` without a sweep.
    pub against_static: Option<Interval>,
    /// Goodput as a share of that of the clairvoyant plan, seed by seed; `None` without a sweep.
    pub against_clairvoyant: Option<Interval>,
    /// Role changes.
    pub role_changes: Interval,
    /// Seconds out of service.
    pub out_of_service_seconds: Interval,
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub ttft_p95_ms: Interval,
    /// The 95th percentile of the mean time between two tokens, in milliseconds.
    pub tpot_p95_ms: Interval,
    /// Violations, summed over the seeds.
    pub violations: u64,
}

/// Runs a comparison.
///
/// # Errors
/// When a simulation can't be run, or there is nothing to compare.
pub fn compare(comparison: &Comparison, progress: Progress<'_>) -> Result<ComparisonTable, CompareError> {
    if comparison.contenders.is_empty() {
        return Err(CompareError::NothingToCompare);
    }
    let references = if comparison.sweep { references(comparison, progress)? } else { References::default() };
    let contenders: Vec<&Contender> = comparison.contenders.iter().chain(&references.contenders).collect();
    let seeds: Vec<u64> = comparison.seeds.seeds().collect();
    let plans: Vec<_> = contenders
        .iter()
        .flat_map(|contender| seeds.iter().map(|seed| comparison.simulation(contender, *seed)))
        .collect();
    let figures = run_all(&plans, comparison.threads, progress)?;
    let runs: Vec<&[SimulationFigures]> = figures.chunks(seeds.len()).collect();
    let given = comparison.contenders.len();
    let (best_static, planner) = (runs.get(given).copied(), runs.get(given + 1).copied());
    let rows = contenders.iter().zip(&runs).map(|(contender, runs)| row(&contender.name, runs, best_static, planner));
    Ok(ComparisonTable {
        deployment: comparison.deployment.name.clone(),
        experiment: comparison.experiment.name.clone(),
        seeds: seeds.clone(),
        sweep_seeds: if comparison.sweep { comparison.sweep_seeds.seeds().collect() } else { Vec::new() },
        splits_tried: references.splits_tried,
        rows: rows.collect(),
    })
}

/// What contenders are held against.
#[derive(Default)]
struct References {
    splits_tried: usize,
    /// The best static split, then the clairvoyant plan.
    contenders: Vec<Contender>,
}

fn references(comparison: &Comparison, progress: Progress<'_>) -> Result<References, CompareError> {
    let pool = largest_pool(&comparison.deployment.configuration).ok_or(SimulationError::NoEngines)?;
    let engines = u16::try_from(pool.engines.len()).unwrap_or(u16::MAX);
    let splits = sweep(comparison, engines, progress)?;
    let best = best_split(&splits).ok_or(CompareError::NothingToCompare)?;
    let mut best = Contender::split(best.roles);
    best.name = format!("best {}", best.name);
    let planner = clairvoyant(comparison, &splits, progress)?.ok_or(CompareError::NothingToCompare)?;
    Ok(References { splits_tried: splits.len(), contenders: vec![best, planner] })
}

fn row(
    name: &str,
    runs: &[SimulationFigures],
    best_static: Option<&[SimulationFigures]>,
    planner: Option<&[SimulationFigures]>,
) -> Row {
    let over = |of: fn(&SimulationFigures) -> f64| Interval::of(&runs.iter().map(of).collect::<Vec<f64>>());
    let against = |other: &[SimulationFigures]| {
        let shares = runs.iter().zip(other).map(|(own, other)| own.goodput / other.goodput.max(f64::MIN_POSITIVE));
        Interval::of(&shares.collect::<Vec<f64>>())
    };
    Row {
        name: name.to_owned(),
        goodput: over(|figures| figures.goodput),
        against_static: best_static.map(against),
        against_clairvoyant: planner.map(against),
        role_changes: over(|figures| figures.role_changes as f64),
        out_of_service_seconds: over(|figures| figures.out_of_service_seconds),
        ttft_p95_ms: over(|figures| figures.ttft_p95_ms),
        tpot_p95_ms: over(|figures| figures.tpot_p95_ms),
        violations: runs.iter().map(|figures| figures.violations.total()).sum(),
    }
}
