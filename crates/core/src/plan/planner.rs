//! Makes a plan from an intent with a pure function, so that every node makes the same plan for the same intent.

use std::collections::BTreeMap;
use std::time::Duration;

use displaydoc::Display;

use super::intent::Intent;
use super::plan::{ModelDemand, Plan, plan_id};
use super::{prediction, waves};
use crate::configuration::{ChangeError, Configuration, ConfigurationError, VersionedConfiguration};
use crate::world::{EngineName, ModelName};

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerConfig {
    /// The maximum number of engines of one model in one zone that may be out of service at once.
    pub concurrent_outages_maximum: usize,
    /// The assumed time that an engine is out of service while it loads a version or an adapter; the planner does not
    /// know the transfer rate of the weight store.
    pub load_time: Duration,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        PlannerConfig { concurrent_outages_maximum: 1, load_time: Duration::from_secs(30) }
    }
}

/// The reason why no plan was made; nothing is changed.
#[derive(Clone, Debug, Display, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// the intent leads to no valid configuration: {0:?}
    Invalid(Vec<ConfigurationError>),
    /// the intent changes nothing
    NothingToChange,
    /// engine `{engine}` can't go out of service without going below a floor of model `{model}`
    FloorBlocks {
        /// The first engine to be changed.
        engine: EngineName,
        /// Its model.
        model: ModelName,
    },
    /// the changes can't be applied to the version that they were made from: {0}
    Changes(ChangeError),
    /// the changes can't be written as text
    Unwritable,
}

/// Makes the plan that implements `intent` on `latest`, the configuration with all staged changes. `demand` is the
/// demand measured over the last seconds, where known; only the prediction uses it.
///
/// # Errors
/// When the intent names unknown objects, changes nothing, results in an invalid configuration, or a floor blocks it.
pub fn plan_intent(
    config: &PlannerConfig,
    latest: &VersionedConfiguration,
    intent: &Intent,
    demand: &BTreeMap<ModelName, ModelDemand>,
) -> Result<Plan, PlanError> {
    let desired = intent.apply_to(&latest.configuration).map_err(PlanError::Invalid)?;
    plan_configuration(config, latest, &desired, demand)
}

/// Makes the plan that changes `latest` to the configuration `desired`, for example to the first configuration.
///
/// # Errors
/// When `desired` is invalid or changes nothing, or when a floor blocks the changes.
pub fn plan_configuration(
    config: &PlannerConfig,
    latest: &VersionedConfiguration,
    desired: &Configuration,
    demand: &BTreeMap<ModelName, ModelDemand>,
) -> Result<Plan, PlanError> {
    let current = &latest.configuration;
    desired.validate().map_err(PlanError::Invalid)?;
    let changes = current.changes_to(desired);
    if changes.is_empty() {
        return Err(PlanError::NothingToChange);
    }
    current.as_ref().clone().apply(&changes).map_err(PlanError::Changes)?;
    let outages = waves::outages(config, current, desired);
    let waves = waves::waves(config, current, desired, outages)?;
    let effects = prediction::predict(current, desired, &waves, demand);
    let id = plan_id(latest.version, &changes).map_err(|_| PlanError::Unwritable)?;
    Ok(Plan { id, base: latest.version, changes, waves, effects })
}
