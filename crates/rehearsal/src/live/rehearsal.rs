//! A run of a deployment under load that ends by itself.

use std::thread;
use std::time::{Duration, Instant};

use displaydoc::Display;
use havengate_core::world::EngineName;

use super::cluster::{Cluster, ClusterError};
use super::fault_driver::{FaultDriver, FaultHistory};
use super::fault_schedule::Event;
use super::load::{CallerTargets, LoadHistory, LoadPlan, ReadinessError, plan_calls, run_load, wait_for_claims};
use super::summary::LiveSummary;
use crate::checker::{CallRecord, EngineObservation, Evidence, check};
use crate::deployment::Deployment;
use crate::engine::model::EngineHistory;
use crate::engine::server::EngineHandle;
use crate::experiment::Experiment;

/// The time from an engine's announcement until it may get no new work; what its load report lags comes on top.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// What is rehearsed.
#[derive(Clone, Debug)]
pub struct Rehearsal {
    /// The deployment that is started.
    pub deployment: Deployment,
    /// What callers ask for.
    pub experiment: Experiment,
    /// How long they ask, once the deployment is ready.
    pub duration: Duration,
    /// Multiplies the rates of the experiment.
    pub rate_scale: f64,
    /// The seed of the load.
    pub seed: u64,
    /// What fails, and is changed, meanwhile.
    pub events: Vec<Event>,
}

/// Why a rehearsal has no result.
#[derive(Debug, Display, thiserror::Error)]
pub enum RehearsalError {
    /// {0}
    Cluster(#[from] ClusterError),
    /// {0}
    Readiness(#[from] ReadinessError),
}

/// Starts the deployment, sends the load while events happen, and checks what came of it.
///
/// # Errors
/// When the deployment does not start, or does not take requests with idempotency keys.
pub fn rehearse(rehearsal: Rehearsal) -> Result<LiveSummary, RehearsalError> {
    let mut cluster = Cluster::start(rehearsal.deployment.clone())?;
    let probes = wait_for_claims(&cluster.deployment)?;
    let (load, faults) = run_with_events(&rehearsal, &mut cluster);
    let histories: Vec<EngineHistory> = cluster.engines.values().map(|engine| engine.history()).collect();
    let mut summary = LiveSummary::of(&cluster.deployment, &load, histories.iter());
    summary.experiment = rehearsal.experiment.name;
    summary.seed = rehearsal.seed;
    summary.events.clone_from(&faults.notes);
    summary.violations.clone_from(&faults.forced_stops);
    let evidence = evidence(&cluster, load, probes, &faults);
    summary.violations.extend(check(&evidence).iter().map(ToString::to_string));
    cluster.stop();
    Ok(summary)
}

fn run_with_events(rehearsal: &Rehearsal, cluster: &mut Cluster) -> (LoadHistory, FaultHistory) {
    let calls = plan_calls(&LoadPlan {
        configuration: &rehearsal.deployment.configuration,
        experiment: &rehearsal.experiment,
        duration: rehearsal.duration,
        rate_scale: rehearsal.rate_scale,
        seed: rehearsal.seed,
    });
    let machines = rehearsal.deployment.machines.iter();
    let targets = CallerTargets::new(machines.map(|machine| machine.callers_address).collect());
    let start = Instant::now();
    thread::scope(|scope| {
        let load = scope.spawn(|| run_load(calls, &targets, start));
        let faults = FaultDriver::new(cluster, start).run(&rehearsal.events);
        // A load whose thread has panicked shows as requests without an outcome.
        (load.join().unwrap_or_default(), faults)
    })
}

fn evidence(cluster: &Cluster, load: LoadHistory, probes: Vec<CallRecord>, faults: &FaultHistory) -> Evidence {
    let observe = |(name, engine): (&EngineName, &EngineHandle)| {
        let history = engine.history();
        EngineObservation {
            engine: name.clone(),
            runs: history.runs().cloned().collect(),
            dropped_runs: history.dropped_runs(),
            orders: history.orders().cloned().collect(),
            departures: faults.departures.get(name).cloned().unwrap_or_default(),
        }
    };
    Evidence {
        offered: load.offered,
        calls: load.calls,
        probes,
        engines: cluster.engines.iter().map(observe).collect(),
        disturbances: faults.disturbances.clone(),
        leaving_bound: LEAVING_BOUND + cluster.deployment.engines.load_report_lag,
    }
}
