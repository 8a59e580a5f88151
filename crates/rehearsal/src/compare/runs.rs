//! Runs simulations on a few threads, with results in the order in which they were asked for.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use super::error::CompareError;
use crate::simulate::{SimulationFigures, SimulationPlan, simulate};

/// Hears of the simulations that have ended: how many, and of how many.
pub type Progress<'a> = &'a (dyn Fn(usize, usize) + Sync);

/// Runs all of `plans`, `threads` at once.
///
/// # Errors
/// The first error in the order of the plans.
pub fn run_all(
    plans: &[SimulationPlan],
    threads: usize,
    progress: Progress<'_>,
) -> Result<Vec<SimulationFigures>, CompareError> {
    let next = AtomicUsize::new(0);
    let done = AtomicUsize::new(0);
    let results: Vec<Mutex<Option<_>>> = plans.iter().map(|_| Mutex::new(None)).collect();
    thread::scope(|scope| {
        for _ in 0..threads.clamp(1, plans.len().max(1)) {
            scope.spawn(|| {
                while let Some((plan, result)) = take(&next, plans, &results) {
                    let figures = simulate(plan);
                    *result.lock().unwrap_or_else(PoisonError::into_inner) = Some(figures);
                    progress(done.fetch_add(1, Ordering::Relaxed) + 1, plans.len());
                }
            });
        }
    });
    let results = results.into_iter().map(|result| result.into_inner().unwrap_or_else(PoisonError::into_inner));
    results.map(|result| Ok(result.ok_or(CompareError::ThreadLost)??)).collect()
}

fn take<'a, Slot>(
    next: &AtomicUsize,
    plans: &'a [SimulationPlan],
    results: &'a [Slot],
) -> Option<(&'a SimulationPlan, &'a Slot)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    Some((plans.get(index)?, results.get(index)?))
}
