//! The messages between nodes about tenants' limits, one per datagram.

use speedy::{Readable, Writable};

use super::limit::TenantLimit;
use crate::routing::ConfigurationNumber;
use crate::world::{Address, TenantName};

/// A node's request for units of a tenant's limit, sent to the tenant's home.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct QuotaRequest {
    /// The address where the sender receives notices; identifies the sender.
    pub sender: Address,
    /// Increases with each request of the sender, also across its restarts. The sender accepts only the answer to its
    /// latest request for the tenant.
    pub sequence: u64,
    /// The tenant.
    pub tenant: TenantName,
    /// The units of the requests that wait, at least of the first one, and those that the sender has used without a
    /// grant. They are granted together or not at all. 0 when there are none.
    pub needed: u64,
    /// The units that the sender expects to use soon, including `needed`.
    pub wanted: u64,
    /// Units of earlier grants that the sender returns unused: all that it holds.
    pub returned: u64,
}

impl QuotaRequest {
    /// Whether this is a probe: a request without units, which only asks whether the receiver acts as home.
    pub(super) fn is_probe(&self) -> bool {
        self.needed == 0 && self.wanted == 0 && self.returned == 0
    }
}

/// The answer to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct QuotaGrant {
    /// The address where the sender receives notices; identifies the sender.
    pub sender: Address,
    /// The sequence number of the request that it answers.
    pub sequence: u64,
    /// The tenant.
    pub tenant: TenantName,
    /// The answer.
    pub answer: QuotaAnswer,
}

/// What a node that was asked for units answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum QuotaAnswer {
    /// The asking node may use this many units.
    Granted {
        /// The units; at least what was needed.
        units: u64,
    },
    /// The limit is used up.
    Exhausted {
        /// When units are expected to be available again.
        retry_after_millis: u32,
    },
    /// The tenant has no limit.
    Unlimited,
    /// Another node is the tenant's home, or this node may not grant.
    NotHome,
}

/// A query for the limits of a configuration, sent to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TenantLimitQuery {
    /// The address at which peers reach the sender.
    pub sender: Address,
    /// The configuration in force at the sender.
    pub version: ConfigurationNumber,
}

/// A part of the limits of a configuration, in answer to a [`TenantLimitQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TenantLimitNotice {
    /// The address at which peers reach the sender.
    pub sender: Address,
    /// The configuration that the limits belong to.
    pub version: ConfigurationNumber,
    /// The number of this part, from 0.
    pub part: u16,
    /// The number of parts, at least 1.
    pub parts: u16,
    /// The limits in this part.
    pub limits: Vec<NamedLimit>,
}

impl TenantLimitNotice {
    /// The largest number of limits in one notice: with names of 20 bytes it still fits a datagram.
    pub const LIMITS_MAXIMUM: usize = 25;
}

/// A tenant with its limit.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct NamedLimit {
    /// The tenant.
    pub tenant: TenantName,
    /// Its limit.
    pub limit: TenantLimit,
}
