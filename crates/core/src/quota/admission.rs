//! The results of admission by tenants' limits: decisions, messages to send and statuses.

use std::time::Duration;

use super::message::{QuotaGrant, QuotaRequest};
use crate::world::{Address, TenantName};

/// Whether a request may be sent to a back end now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The tenant has no limit.
    Unlimited,
    /// The request is admitted and counted.
    Admitted(Permit),
    /// The outcome depends on an answer that is still awaited.
    Waiting,
    /// The request is over the limit.
    Refused {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// The units that an admitted request counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The tenant whose limit the request counts towards.
    pub tenant: TenantName,
    /// The number of units.
    pub cost: u64,
}

/// A message to send to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingQuotaMessage {
    /// The address where the receiver receives notices.
    pub to: Address,
    /// The message.
    pub content: QuotaContent,
}

/// The content of an [`OutgoingQuotaMessage`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaContent {
    /// A request for units.
    Request(QuotaRequest),
    /// The answer to a request for units.
    Grant(QuotaGrant),
}

/// The state of a tenant's limit at one node, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantQuotaStatus {
    /// The tenant.
    pub tenant: TenantName,
    /// The node from which this node requests units.
    pub home: Address,
    /// Whether this node grants units.
    pub is_home: bool,
    /// The sustained rate, in units per second.
    pub per_second: u64,
    /// The units that may be used at once after an idle period.
    pub burst: u64,
    /// The units available at this node: those in the bucket at the home, those granted and unused elsewhere.
    pub balance: i64,
    /// Requests that this node admitted since its start.
    pub admitted: u64,
    /// Requests that this node refused since its start.
    pub refused: u64,
}
