//! A run of a deployment under load that ends by itself.

use std::time::{Duration, Instant};

use displaydoc::Display;

use super::cluster::{Cluster, ClusterError};
use super::load::{CallerTargets, LoadPlan, ReadinessError, plan_calls, run_load, wait_for_claims};
use super::summary::LiveSummary;
use crate::deployment::Deployment;
use crate::engine::model::EngineHistory;
use crate::experiment::Experiment;

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
}

/// Why a rehearsal has no result.
#[derive(Debug, Display, thiserror::Error)]
pub enum RehearsalError {
    /// {0}
    Cluster(#[from] ClusterError),
    /// {0}
    Readiness(#[from] ReadinessError),
}

/// Starts the deployment, sends the load, and stops the deployment when each request has an outcome.
///
/// # Errors
/// When the deployment does not start, or does not take requests with idempotency keys.
pub fn rehearse(rehearsal: Rehearsal) -> Result<LiveSummary, RehearsalError> {
    let Rehearsal { deployment, experiment, duration, rate_scale, seed } = rehearsal;
    let configuration = deployment.configuration.clone();
    let cluster = Cluster::start(deployment)?;
    wait_for_claims(&cluster.deployment)?;
    let calls =
        plan_calls(&LoadPlan { configuration: &configuration, experiment: &experiment, duration, rate_scale, seed });
    let addresses = cluster.deployment.machines.iter().map(|machine| machine.callers_address).collect();
    let load = run_load(calls, &CallerTargets::new(addresses), Instant::now());
    let histories: Vec<EngineHistory> = cluster.engines.values().map(|engine| engine.history()).collect();
    let summary = LiveSummary {
        experiment: experiment.name,
        seed,
        ..LiveSummary::of(&cluster.deployment, &load, histories.iter())
    };
    cluster.stop();
    Ok(summary)
}
