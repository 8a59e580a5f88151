//! Log lines about the homes of limited tenants: when this node begins or ceases to act as home, and when it asks
//! another node because the home does not answer.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::membership::rank_by_address;
use havengate_core::quota::TenantQuotaStatus;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, TenantName};

/// The shortest interval between two checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The most tenants whose changes are logged at each check. A node that starts is the home of all tenants until it knows
/// its peers.
const LOGGED_CHANGES_MAXIMUM: usize = 20;

/// A tenant's home as a check found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ObservedHome {
    /// Whether this node acts as the home.
    is_home: bool,
    /// The node that ranks first.
    first: Address,
    /// The node that is asked.
    asked: Address,
}

impl ObservedHome {
    /// The node that is asked because the home does not answer.
    fn substitute(self) -> Option<Address> {
        (self.asked != self.first).then_some(self.asked)
    }
}

/// The homes of limited tenants, as the last check found them.
pub(super) struct HomeChanges {
    own: Address,
    observed: BTreeMap<TenantName, ObservedHome>,
    /// The peers at the last check.
    peers: Vec<Address>,
    checked_at: Option<Timestamp>,
}

impl HomeChanges {
    /// Starts without tenants, for the node at `own`.
    pub(super) fn new(own: Address) -> Self {
        HomeChanges { own, observed: BTreeMap::new(), peers: Vec::new(), checked_at: None }
    }

    /// Whether the next check is due.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.checked_at.is_none_or(|checked_at| now.since(checked_at) >= CHECK_INTERVAL)
    }

    /// Logs what has changed since the last check.
    pub(super) fn log(&mut self, statuses: &[TenantQuotaStatus], peers: &[Address], now: Timestamp) {
        self.checked_at = Some(now);
        let has_same_peers = self.peers == peers;
        if !has_same_peers {
            self.peers = peers.to_vec();
        }
        let mut changes = 0;
        let mut next = BTreeMap::new();
        for status in statuses {
            let before = self.observed.remove(&status.tenant);
            // Ranking all nodes is expensive, so it is repeated only after a change of the peers or of the node asked.
            let unchanged = before.filter(|before| has_same_peers && before.asked == status.home);
            let first = unchanged.map_or_else(|| self.first(status), |before| before.first);
            let home = ObservedHome { is_home: status.is_home, first, asked: status.home };
            changes += usize::from(log_change(&status.tenant, before, home, changes < LOGGED_CHANGES_MAXIMUM));
            next.insert(status.tenant.clone(), home);
        }
        self.observed = next;
        if changes > LOGGED_CHANGES_MAXIMUM {
            log::info!(event = "tenant_homes_changed", untold = changes - LOGGED_CHANGES_MAXIMUM; "");
        }
    }

    /// The node that ranks first for the tenant.
    fn first(&self, status: &TenantQuotaStatus) -> Address {
        let nodes = self.peers.iter().copied().chain([self.own]);
        let ranked = rank_by_address(status.tenant.as_str().as_bytes(), nodes, |address| *address);
        ranked.first().copied().unwrap_or(self.own)
    }
}

/// Logs the change of a tenant's home if `may_log` permits it. Returns whether there is a change.
fn log_change(tenant: &TenantName, before: Option<ObservedHome>, home: ObservedHome, may_log: bool) -> bool {
    let role_changed = home.is_home != before.is_some_and(|before| before.is_home);
    let substitute_changed = home.substitute() != before.and_then(ObservedHome::substitute);
    if role_changed && may_log {
        log::info!(event = "tenant_home", tenant:% = tenant, acts = home.is_home; "");
    }
    if substitute_changed && may_log {
        match home.substitute() {
            Some(asked) => {
                log::warn!(event = "tenant_home_suspended", tenant:% = tenant, home:% = home.first, asked:% = asked; "");
            }
            None => log::info!(event = "tenant_home_resumed", tenant:% = tenant, home:% = home.first; ""),
        }
    }
    role_changed || substitute_changed
}
