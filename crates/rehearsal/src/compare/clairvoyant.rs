//! A planner that knows the trace: for each phase the split that does best in it, changed ahead of the phase.
//!
//! It pays for its changes as everybody does. It isn't proven to be the best plan; it is the best of the phases' few
//! best splits and of the lead times that are tried.

use std::time::Duration;

use havengate_core::policy::RoleCounts;
use havengate_core::time::Timestamp;

use super::error::CompareError;
use super::plan::{Comparison, Contender};
use super::runs::{Progress, run_all};
use super::sweep::SplitResult;
use crate::simulate::{RoleSchedule, RoleSource, ScheduledRoles};

/// How long before a phase its roles are wanted.
const LEADS: [Duration; 4] =
    [Duration::ZERO, Duration::from_secs(10), Duration::from_secs(20), Duration::from_secs(35)];

/// Splits that are tried for each phase, the best first.
const SPLITS_A_PHASE: usize = 2;

/// The best clairvoyant plan on the sweep's seeds.
pub(super) fn clairvoyant(
    comparison: &Comparison,
    splits: &[SplitResult],
    progress: Progress<'_>,
) -> Result<Option<Contender>, CompareError> {
    let candidates = candidates(comparison, splits);
    let seeds: Vec<u64> = comparison.sweep_seeds.seeds().collect();
    let plans: Vec<_> = candidates
        .iter()
        .flat_map(|contender| seeds.iter().map(|seed| comparison.simulation(contender, *seed)))
        .collect();
    let figures = run_all(&plans, comparison.threads, progress)?;
    let goodputs = figures.chunks(seeds.len()).map(|runs| runs.iter().map(|figures| figures.goodput).sum::<f64>());
    let best = candidates.into_iter().zip(goodputs).rev().max_by(|left, right| left.1.total_cmp(&right.1));
    Ok(best.map(|(contender, _)| contender))
}

fn candidates(comparison: &Comparison, splits: &[SplitResult]) -> Vec<Contender> {
    let choices = comparison.experiment.phases.iter().map(|phase| best_in(splits, &phase.name));
    let mut by_phase: Vec<Vec<RoleCounts>> = vec![Vec::new()];
    for choice in choices {
        let extended = by_phase.iter().flat_map(|chosen| {
            choice.iter().map(move |roles| chosen.iter().copied().chain([*roles]).collect::<Vec<RoleCounts>>())
        });
        by_phase = extended.collect();
    }
    let leads = |roles: Vec<RoleCounts>| LEADS.map(|lead| contender(comparison, &roles, lead));
    by_phase.into_iter().flat_map(leads).collect()
}

fn best_in(splits: &[SplitResult], phase: &str) -> Vec<RoleCounts> {
    let mut ranked: Vec<&SplitResult> = splits.iter().collect();
    ranked.sort_by(|left, right| right.goodput_in(phase).total_cmp(&left.goodput_in(phase)));
    ranked.into_iter().take(SPLITS_A_PHASE).map(|result| result.roles).collect()
}

fn contender(comparison: &Comparison, roles: &[RoleCounts], lead: Duration) -> Contender {
    let mut entries = Vec::new();
    let mut begins = Timestamp::ZERO;
    for _ in 0..comparison.experiment.repetitions {
        for (phase, roles) in comparison.experiment.phases.iter().zip(roles) {
            entries.push(ScheduledRoles { from: begins - lead, roles: *roles });
            begins = begins + phase.duration;
        }
    }
    let named = |roles: &RoleCounts| format!("{}P {}D {}M", roles.prefill, roles.decode, roles.mixed);
    let names: Vec<String> = roles.iter().map(named).collect();
    Contender {
        name: format!("clairvoyant {}, {} s ahead", names.join(" / "), lead.as_secs()),
        roles: RoleSource::Schedule(RoleSchedule { entries }),
        first_roles: roles.first().copied(),
        placement: havengate_core::configuration::PolicyChoice::with_defaults("cost"),
    }
}
