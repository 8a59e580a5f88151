//! What a plan says: the exact changes, the engines that they take out of service, and the effect to be expected.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::{Change, ConfigurationVersion, PlanId};
use crate::world::{AdapterName, EngineName, EngineRole, ModelName, ModelVersion, ZoneName};

/// A proposal that takes effect only when it is confirmed, and only while its base version is the latest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's identity.
    pub id: PlanId,
    /// The version that the plan was made for.
    pub base: ConfigurationVersion,
    /// The changes against the base version.
    pub changes: Vec<Change>,
    /// Groups of engines that are changed one group after another, so that floors are kept.
    pub waves: Vec<Wave>,
    /// What is expected for each model that the changes touch.
    pub effects: Vec<PredictedEffect>,
}

/// Engines that are out of service at the same time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// The engines.
    pub engines: Vec<EngineOutage>,
    /// How long the wave takes: its longest outage.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
}

/// An engine that a plan takes out of service, after it has finished its streams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOutage {
    /// The engine.
    pub engine: EngineName,
    /// The model that it serves.
    pub model: ModelName,
    /// The zone that it stands in.
    pub zone: ZoneName,
    /// Why.
    pub reasons: Vec<OutageReason>,
    /// How long, as far as is known.
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
    /// It loads another adapter, or drops it.
    Adapter {
        /// The adapter before.
        from: Option<AdapterName>,
        /// The adapter after.
        to: Option<AdapterName>,
    },
}

/// The expected effect on one model's goodput.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PredictedEffect {
    /// The model.
    pub model: ModelName,
    /// What the prediction rests on.
    pub basis: PredictionBasis,
    /// The share of the demand that the engines can serve now, from 0 to 1.
    pub before: f64,
    /// The same while the wave that takes away most is going on.
    pub during: f64,
    /// The same once all changes are done.
    pub after: f64,
}

/// What a prediction rests on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PredictionBasis {
    /// Demand as measured over the last seconds.
    Measured(ModelDemand),
    /// No demand is known: the engines of the base version, fully used at an equal share of prefill and decode time.
    Capacity(ModelDemand),
}

/// Demand on a model.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Prompt tokens a second.
    pub prefill_tokens_per_second: f64,
    /// Output tokens a second.
    pub decode_tokens_per_second: f64,
}

/// The identity of the plan that makes `changes` on `base`; equal on every node.
pub(super) fn plan_id(base: ConfigurationVersion, changes: &[Change]) -> Result<PlanId, serde_json::Error> {
    let text = serde_json::to_vec(changes)?;
    Ok(PlanId(xxh3_64_with_seed(&text, base.0)))
}
