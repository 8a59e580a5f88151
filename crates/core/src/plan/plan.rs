//! The content of a plan: the exact changes, the engines that they take out of service, and the predicted effect.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::{Change, ConfigurationVersion, PlanId};
use crate::world::{AdapterName, EngineName, EngineRole, ModelName, ModelVersion, ZoneName};

/// A proposal that takes effect only when it is confirmed, and only while its base version is the latest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's identifier.
    pub id: PlanId,
    /// The version that the plan was made for.
    pub base: ConfigurationVersion,
    /// The changes against the base version.
    pub changes: Vec<Change>,
    /// Groups of engines that are changed one after another, so that the floors are met at all times.
    pub waves: Vec<Wave>,
    /// The predicted effect on each model that the changes affect.
    pub effects: Vec<PredictedEffect>,
}

/// Engines that are out of service at the same time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// The engines.
    pub engines: Vec<EngineOutage>,
    /// The duration of the wave: its longest outage.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
}

/// An engine that a plan takes out of service once its open streams are finished.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOutage {
    /// The engine.
    pub engine: EngineName,
    /// The model that it serves.
    pub model: ModelName,
    /// The zone that it is in.
    pub zone: ZoneName,
    /// Why it goes out of service.
    pub reasons: Vec<OutageReason>,
    /// The estimated duration of the outage.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
}

/// Why an engine goes out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageReason {
    /// It changes its role.
    Role {
        /// The role before.
        from: EngineRole,
        /// The role after.
        to: EngineRole,
    },
    /// It loads another version of its model.
    Version {
        /// The version before.
        from: ModelVersion,
        /// The version after.
        to: ModelVersion,
    },
    /// It loads another adapter, or unloads its adapter.
    Adapter {
        /// The adapter before.
        from: Option<AdapterName>,
        /// The adapter after.
        to: Option<AdapterName>,
    },
}

/// The predicted effect on one model's goodput.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PredictedEffect {
    /// The model.
    pub model: ModelName,
    /// The demand that the prediction is based on.
    pub basis: PredictionBasis,
    /// The share of the demand that the engines can serve before the changes, from 0 to 1.
    pub before: f64,
    /// The lowest such share during the waves.
    pub during: f64,
    /// The share after all changes.
    pub after: f64,
}

/// The demand that a prediction is based on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PredictionBasis {
    /// The demand measured over the last seconds.
    Measured(ModelDemand),
    /// No demand is known. The prediction assumes the demand that fully uses the engines of the base version, with
    /// equal shares of prefill and decode time.
    Capacity(ModelDemand),
}

/// Demand on a model.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Output tokens per second.
    pub decode_tokens_per_second: f64,
}

/// Computes the identifier of the plan that makes `changes` on `base`; it is the same on every node.
pub(super) fn plan_id(base: ConfigurationVersion, changes: &[Change]) -> Result<PlanId, serde_json::Error> {
    let serialized = serde_json::to_vec(changes)?;
    Ok(PlanId(xxh3_64_with_seed(&serialized, base.0)))
}
