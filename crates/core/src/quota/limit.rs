//! The limits of tenants, as a configuration states them.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

use crate::world::TenantName;

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum LimitUnit {
    /// Each request counts 1.
    Requests,
    /// Each request counts its tokens, prompt and longest output together.
    Tokens {
        /// What a request without a token count counts.
        default_cost: u64,
    },
}

/// A tenant's limit over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TenantLimit {
    /// The sustained rate, in units per second.
    pub per_second: u64,
    /// The units that may be used at once after an idle period.
    pub burst: u64,
    /// What is counted.
    pub unit: LimitUnit,
}

impl TenantLimit {
    /// The units that a request with `token_count` tokens counts; `None`: it states none.
    pub fn cost_of(&self, token_count: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { default_cost } => token_count.unwrap_or(default_cost),
        }
    }
}

/// The limits of one configuration. A tenant that is not in the table has no limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantLimitTable {
    limits: BTreeMap<TenantName, TenantLimit>,
}

impl TenantLimitTable {
    /// The limit of `tenant`; `None` when it has none.
    pub fn get(&self, tenant: &TenantName) -> Option<&TenantLimit> {
        self.limits.get(tenant)
    }

    /// All limits, ordered by tenant.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantName, &TenantLimit)> {
        self.limits.iter()
    }

    /// The number of tenants with a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no tenant has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}

impl FromIterator<(TenantName, TenantLimit)> for TenantLimitTable {
    fn from_iter<I: IntoIterator<Item = (TenantName, TenantLimit)>>(limits: I) -> Self {
        TenantLimitTable { limits: limits.into_iter().collect() }
    }
}
