//! What a tenant's requests are promised, and what the tenant may ask for.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::names::{ContractName, TenantName};

/// The class of service that a request gets.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The contract's name.
    pub name: ContractName,
    /// The longest wait for the first token that still counts as met.
    #[serde(with = "humantime_serde")]
    pub first_token_within: Duration,
    /// The longest mean time between two tokens that still counts as met.
    #[serde(with = "humantime_serde")]
    pub token_interval: Duration,
    /// Whether the request may run a second time, for example after an engine's crash.
    pub repeatable: bool,
    /// The share of a contended engine, relative to other contracts.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// Who is shed last when demand exceeds the fleet: a higher number is shed later.
    #[serde(default)]
    pub priority: u8,
}

fn default_weight() -> u16 {
    1
}

/// What a tenant may use at once, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Requests in flight.
    pub concurrent_requests: u32,
    /// Prompt and output tokens a second, averaged over a few seconds.
    pub work_tokens_per_second: u32,
}

/// A group of callers that shares limits and a contract.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name, unique in the deployment.
    pub name: TenantName,
    /// The bearer key that callers present.
    pub api_key: String,
    /// The contract of requests that name none.
    pub contract: ContractName,
    /// What the tenant may use at once; without limits, only the fleet limits it.
    #[serde(default)]
    pub limits: Option<TenantLimits>,
}
