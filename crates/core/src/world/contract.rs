//! Tenants, the service level that their contracts promise, and their usage limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use super::names::{ContractName, TenantName};

/// The class of service of a request.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The contract's name.
    pub name: ContractName,
    /// The maximum time to the first token that meets the contract.
    #[serde(with = "humantime_serde")]
    pub first_token_within: Duration,
    /// The maximum mean time between two tokens that meets the contract.
    #[serde(with = "humantime_serde")]
    pub token_interval: Duration,
    /// Whether the request may run a second time, for example after an engine crash.
    pub repeatable: bool,
    /// The share of a contended engine, relative to other contracts.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// The priority when demand exceeds the fleet's capacity: requests with higher numbers are shed later.
    #[serde(default)]
    pub priority: u8,
}

fn default_weight() -> u16 {
    1
}

/// Limits on the usage of a tenant, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// The maximum number of requests in flight.
    pub concurrent_requests: u32,
    /// The maximum rate of prompt and output tokens per second, averaged over a few seconds.
    pub work_tokens_per_second: u32,
}

/// A group of callers that shares limits and a contract.
#[derive(Clone, Debug, PartialEq, Readable, Writable, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name, unique in the deployment.
    pub name: TenantName,
    /// The API key that callers send as bearer token.
    pub api_key: String,
    /// The contract of requests that don't name one.
    pub contract: ContractName,
    /// The usage limits; without them, only the capacity of the fleet limits the tenant.
    #[serde(default)]
    pub limits: Option<TenantLimits>,
}
