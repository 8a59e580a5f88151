//! Why a simulation can't be run.

use displaydoc::Display;
use havengate_core::policy::PolicyError;
use havengate_core::world::ModelName;

use crate::engine::model::EngineConfigError;
use crate::experiment::ExperimentError;

/// Why a simulation can't be run.
#[derive(Debug, Display, thiserror::Error)]
pub enum SimulationError {
    /// the experiment does not fit the deployment: {0}
    Experiment(#[from] ExperimentError),
    /// a policy can't be created: {0}
    Policy(#[from] PolicyError),
    /// the engines of `{model}` can't be modelled: {error}
    Engine {
        /// The model that they serve.
        model: ModelName,
        /// What is wrong with its performance.
        error: EngineConfigError,
    },
    /// the fault `{0}` is not simulated; take it out, or run the experiment on a live deployment
    FaultNotSimulated(&'static str),
    /// roles for {given} engines were given, but the largest pool has {engines}
    WrongSplit {
        /// The sum of the roles.
        given: u16,
        /// Engines in the largest pool.
        engines: u16,
    },
    /// the deployment has no engines
    NoEngines,
}
