//! The figures of a simulation.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::OrderAction;
use havengate_core::policy::ArmOutcomes;
use havengate_core::time::Timestamp;
use havengate_core::verdict::Verdict;
use serde::Serialize;

use super::checker::{Violations, check};
use super::client::ClientRecord;
use super::plan::SimulationPlan;
use super::world::World;

/// What came of a simulation. Requests made during the warm-up count for `violations` only.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SimulationFigures {
    /// The deployment's name.
    pub deployment: String,
    /// The experiment's name.
    pub experiment: String,
    /// The seed.
    pub seed: u64,
    /// What gave engines their roles.
    pub role_policy: String,
    /// What placed requests.
    pub placement: String,
    /// The share of offered requests that met their contract.
    pub goodput: f64,
    /// The same by contract.
    pub goodput_by_class: BTreeMap<String, ShareFigures>,
    /// The same by phase of the experiment.
    pub goodput_by_phase: BTreeMap<String, ShareFigures>,
    /// Requests made.
    pub offered: u64,
    /// Requests that ended with a whole answer, in time or not.
    pub completed: u64,
    /// Requests that were told that they did not run.
    pub not_run: u64,
    /// Requests that were told that they may have run.
    pub may_have_run: u64,
    /// Role changes that engines began, over the whole time.
    pub role_changes: u64,
    /// Seconds from the start of a drain to the end of the change, summed over all completed changes.
    pub out_of_service_seconds: f64,
    /// The 95th percentile of the time to the first token of completed requests, in milliseconds.
    pub ttft_p95_ms: f64,
    /// The 95th percentile of the mean time between two tokens of completed requests, in milliseconds.
    pub tpot_p95_ms: f64,
    /// Guarantees that were broken, over the whole time.
    pub violations: Violations,
    /// Outcomes by arm of a placement trial as dispatchers counted them, over the whole time.
    pub arms: Vec<ArmOutcomes>,
}

/// Requests of one kind, and how many met their contract.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ShareFigures {
    /// Requests made.
    pub offered: u64,
    /// Those that met their contract.
    pub met: u64,
    /// Their share; 1 when none was made.
    pub goodput: f64,
}

impl ShareFigures {
    fn of<'a>(clients: impl Iterator<Item = &'a ClientRecord>) -> Self {
        let mut share = ShareFigures::default();
        for client in clients {
            share.offered += 1;
            share.met += u64::from(client.met());
        }
        share.goodput = if share.offered == 0 { 1.0 } else { share.met as f64 / share.offered as f64 };
        share
    }
}

pub(super) fn figures(plan: &SimulationPlan, world: &World<'_>) -> SimulationFigures {
    let warm = Timestamp::ZERO + plan.experiment.warm_up;
    let clients: Vec<&ClientRecord> = world.clients.iter().filter(|client| client.made_at >= warm).collect();
    let count = |is: fn(&Verdict) -> bool| {
        clients.iter().filter(|client| client.verdicts.first().is_some_and(is)).count() as u64
    };
    let completed: Vec<&ClientRecord> = clients.iter().copied().filter(|client| client.completed()).collect();
    SimulationFigures {
        deployment: plan.deployment.name.clone(),
        experiment: plan.experiment.name.clone(),
        seed: plan.seed,
        role_policy: plan.role_policy_name(),
        placement: plan.placement_name(),
        goodput: ShareFigures::of(clients.iter().copied()).goodput,
        goodput_by_class: by(&clients, |client| client.contract.name.to_string()),
        goodput_by_phase: by(&clients, |client| plan.experiment.phases[client.phase].name.clone()),
        offered: clients.len() as u64,
        completed: completed.len() as u64,
        not_run: count(|verdict| matches!(verdict, Verdict::NotRun(_))),
        may_have_run: count(|verdict| matches!(verdict, Verdict::MayHaveRun(_))),
        role_changes: world.engines.iter().map(|engine| role_changes(engine.model.history().orders())).sum(),
        out_of_service_seconds: out_of_service(world).as_secs_f64(),
        ttft_p95_ms: p95_ms(completed.iter().filter_map(|client| client.first_token_after())),
        tpot_p95_ms: p95_ms(completed.iter().filter_map(|client| client.token_interval())),
        violations: check(world),
        arms: arms(world),
    }
}

fn by(clients: &[&ClientRecord], key: impl Fn(&ClientRecord) -> String) -> BTreeMap<String, ShareFigures> {
    let mut groups: BTreeMap<String, Vec<&ClientRecord>> = BTreeMap::new();
    for client in clients {
        groups.entry(key(client)).or_default().push(client);
    }
    groups.into_iter().map(|(name, clients)| (name, ShareFigures::of(clients.into_iter()))).collect()
}

fn role_changes<'a>(orders: impl Iterator<Item = &'a crate::engine::model::OrderRecord>) -> u64 {
    orders.filter(|order| matches!(order.action, OrderAction::SetRole(_))).count() as u64
}

fn out_of_service(world: &World<'_>) -> Duration {
    world.pools.iter().map(|pool| pool.control.counters().out_of_service).sum()
}

/// The 95th percentile by rank: the least value that 95 of 100 don't exceed.
pub(crate) fn p95_ms(values: impl Iterator<Item = Duration>) -> f64 {
    let mut values: Vec<Duration> = values.collect();
    values.sort_unstable();
    let rank = (values.len() * 95).div_ceil(100);
    values.get(rank.saturating_sub(1)).map_or(0.0, |value| value.as_micros() as f64 / 1_000.0)
}

/// Sums the outcomes over all pools.
fn arms(world: &World<'_>) -> Vec<ArmOutcomes> {
    let mut sums: Vec<ArmOutcomes> = Vec::new();
    for outcomes in world.pools.iter().flat_map(|pool| pool.dispatcher.arm_outcomes()) {
        match sums.iter_mut().find(|sum| sum.arm == outcomes.arm) {
            Some(sum) => add(sum, &outcomes),
            None => sums.push(outcomes),
        }
    }
    sums
}

fn add(sum: &mut ArmOutcomes, outcomes: &ArmOutcomes) {
    sum.ended += outcomes.ended;
    sum.met += outcomes.met;
    sum.missed += outcomes.missed;
    sum.not_run += outcomes.not_run;
    sum.may_have_run += outcomes.may_have_run;
}
