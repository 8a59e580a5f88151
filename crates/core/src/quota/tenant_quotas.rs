//! Tenants' limits at one node: requests units from the homes, and grants them as home.

use std::sync::Arc;

use super::admission::{Admission, OutgoingQuotaMessage, Permit, TenantQuotaStatus};
use super::config::QuotaConfig;
use super::limit::TenantLimitTable;
use super::message::{QuotaGrant, QuotaRequest};
use crate::time::Timestamp;
use crate::world::{Address, TenantName};

/// Both roles of one node: it requests units for its callers, and grants units as home.
#[derive(Debug)]
pub struct TenantQuotas {
    _config: QuotaConfig,
}

impl TenantQuotas {
    /// The limits of the node that receives notices at `own`, without peers and limits.
    pub fn new(config: QuotaConfig, _own: Address, _now: Timestamp) -> Self {
        TenantQuotas { _config: config }
    }

    /// Sets the notice addresses of recently seen peers. Cheap when they are unchanged.
    pub fn set_peers(&mut self, _peers: &[Address], _now: Timestamp) {}

    /// Sets the limits in force; `None` while they are unknown. Cheap when it is the same table.
    pub fn set_limits(&mut self, _limits: Option<Arc<TenantLimitTable>>, _now: Timestamp) {}

    /// Sets the share of the limits that this node may grant as home, from 0 to 1.
    pub fn set_grant_share(&mut self, _share: f64) {}

    /// Admits a request, or says that it waits or is refused. A request that waits calls this again whenever the state
    /// has changed; `waiting_since` is when it first asked.
    pub fn try_admit(
        &mut self,
        _tenant: &TenantName,
        _token_count: Option<u64>,
        _waiting_since: Timestamp,
        _now: Timestamp,
    ) -> Admission {
        Admission::Unlimited
    }

    /// Returns the units of a request that certainly did not run.
    pub fn refund(&mut self, _permit: &Permit, _now: Timestamp) {}

    /// Charges the units again for a request that is sent to another back end after it may have run.
    pub fn charge(&mut self, _permit: &Permit, _now: Timestamp) {}

    /// Handles another node's request for units. [`TenantQuotas::poll`] returns the answer.
    pub fn receive_request(&mut self, _request: &QuotaRequest, _now: Timestamp) {}

    /// Handles an answer. Returns false if it is old, repeated or was not asked for: then it is dropped.
    pub fn receive_grant(&mut self, _grant: &QuotaGrant, _now: Timestamp) -> bool {
        false
    }

    /// The messages to send now, never to this node itself.
    pub fn poll(&mut self, _now: Timestamp) -> Vec<OutgoingQuotaMessage> {
        Vec::new()
    }

    /// When [`TenantQuotas::poll`] must be called again at the latest.
    pub fn next_poll(&self, _now: Timestamp) -> Option<Timestamp> {
        None
    }

    /// The state of each limit, for operators.
    pub fn statuses(&self, _now: Timestamp) -> Vec<TenantQuotaStatus> {
        Vec::new()
    }
}
