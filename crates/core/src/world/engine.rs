//! Engines, their roles and the models that they serve.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::address::Address;
use super::names::{AdapterName, EngineName, ModelName, ZoneName};

/// The part of a request's work that an engine does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefills prompts and exports their KV cache.
    Prefill,
    /// Imports KV cache and generates tokens.
    Decode,
    /// Does both for each of its requests.
    #[default]
    Mixed,
}

impl EngineRole {
    /// The stable name of the role in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EngineRole::Prefill => "prefill",
            EngineRole::Decode => "decode",
            EngineRole::Mixed => "mixed",
        }
    }

    /// Whether an engine of this role prefills prompts.
    pub fn serves_prefill(self) -> bool {
        matches!(self, EngineRole::Prefill | EngineRole::Mixed)
    }

    /// Whether an engine of this role generates tokens.
    pub fn serves_decode(self) -> bool {
        matches!(self, EngineRole::Decode | EngineRole::Mixed)
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.code())
    }
}

/// A version of a model's weights.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ModelVersion(pub u32);

/// A model that the deployment serves.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model's name as used in requests.
    pub name: ModelName,
    /// The version of the weights that the engines should have loaded.
    #[serde(default)]
    pub version: ModelVersion,
    /// The minimum number of engines that must serve prefill while roles change.
    #[serde(default = "one")]
    pub prefill_floor: u16,
    /// The minimum number of engines that must serve decode while roles change.
    #[serde(default = "one")]
    pub decode_floor: u16,
    /// The performance of one engine of this model; predictions start from it.
    #[serde(default)]
    pub performance: EnginePerformance,
}

/// The performance of one engine as measured by the users; predictions of waiting times start from it.
#[derive(Clone, Copy, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EnginePerformance {
    /// Prompt tokens per second prefilled by an otherwise idle engine.
    pub prefill_tokens_per_second: f64,
    /// Time of one generation step with a single running request.
    #[serde(with = "humantime_serde")]
    pub step_time: Duration,
    /// Time that each further running request adds to a step.
    #[serde(with = "humantime_serde")]
    pub step_time_per_request: Duration,
    /// The maximum number of requests that run at once.
    pub batch_maximum: u32,
    /// KV cache capacity in tokens, shared by running requests and cached prefixes.
    pub kv_capacity_tokens: u32,
    /// Tokens of KV cache transferred per second from one engine to another.
    pub kv_transfer_tokens_per_second: f64,
    /// How long an engine is out of service when its role changes.
    #[serde(with = "humantime_serde")]
    pub role_change: Duration,
}

impl Default for EnginePerformance {
    fn default() -> Self {
        EnginePerformance {
            prefill_tokens_per_second: 8_000.0,
            step_time: Duration::from_millis(20),
            step_time_per_request: Duration::from_micros(500),
            batch_maximum: 32,
            kv_capacity_tokens: 200_000,
            kv_transfer_tokens_per_second: 200_000.0,
            role_change: Duration::from_secs(4),
        }
    }
}

impl EnginePerformance {
    /// Time to prefill `tokens` on an otherwise idle engine.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        bounded_prediction(f64::from(tokens) / self.prefill_tokens_per_second)
    }

    /// Time to transfer the KV cache of `tokens` from one engine to another.
    pub fn transfer_time(&self, tokens: u32) -> Duration {
        bounded_prediction(f64::from(tokens) / self.kv_transfer_tokens_per_second)
    }

    /// Time of one generation step with `requests` running requests.
    pub fn step_time_of(&self, requests: u32) -> Duration {
        self.step_time.saturating_add(self.step_time_per_request.saturating_mul(requests.saturating_sub(1)))
    }

    /// Time to generate `tokens` at the throughput of a full batch.
    pub fn generation_time(&self, tokens: u32) -> Duration {
        bounded_prediction(f64::from(tokens) / self.decode_tokens_per_second())
    }

    /// Tokens generated per second with a full batch.
    pub fn decode_tokens_per_second(&self) -> f64 {
        f64::from(self.batch_maximum) / self.step_time_of(self.batch_maximum).as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Upper bound of predicted times, also used when no prediction is possible, for example at a rate of zero.
const PREDICTION_MAXIMUM_SECONDS: f64 = 86_400.0;

fn bounded_prediction(seconds: f64) -> Duration {
    Duration::from_secs_f64(if seconds.is_finite() {
        seconds.clamp(0.0, PREDICTION_MAXIMUM_SECONDS)
    } else {
        PREDICTION_MAXIMUM_SECONDS
    })
}

fn one() -> u16 {
    1
}

/// An engine of the fixed fleet with its desired state from configuration.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The engine's name, unique in the deployment.
    pub name: EngineName,
    /// The address of the engine's API.
    pub address: Address,
    /// The zone where the engine runs.
    pub zone: ZoneName,
    /// The model that the engine serves.
    pub model: ModelName,
    /// The adapter on top of the model, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// The configured role; a role policy other than `static` may change it.
    #[serde(default)]
    pub role: EngineRole,
}
