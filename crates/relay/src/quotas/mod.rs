//! Enforcement of tenants' limits: the admission of requests, and the units that this node requests and grants.
//!
//! [`TenantQuotas`] makes the decisions. This module supplies it with the current peers, limits and share of the fleet,
//! wakes the requests that wait for units, and determines when messages to peers are due. While limits are not
//! enforced, no state exists and nothing is sent.

mod admission;
mod home_changes;
mod permit;
mod reach_changes;
mod summary;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use havengate_core::quota::{
    OutgoingQuotaMessage, QuotaConfig, QuotaGrant, QuotaRequest, TenantLimitTable, TenantQuotaStatus, TenantQuotas,
};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, TenantName};
use havengate_node::clock::Clock;
use tokio::sync::Notify;
use tokio::time::timeout;

pub use self::admission::QuotaRefusal;
use self::home_changes::HomeChanges;
pub use self::permit::QuotaPermit;
use self::reach_changes::ReachChanges;
use self::summary::QuotaSummary;
use crate::knowledge::SharedKnowledge;
use crate::metrics::RelayMetrics;

/// How often a node applies new peers and limits, and logs changes of homes, while nothing else happens.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest pause between two polls that are due by time.
const POLL_PAUSE_MINIMUM: Duration = Duration::from_millis(1);

/// The limits of tenants at this node. Clones share the state.
#[derive(Clone)]
pub struct Quotas {
    shared: Rc<Shared>,
}

struct Shared {
    /// `None` while limits are not enforced.
    enforcement: RefCell<Option<Enforcement>>,
    /// The number of times that enforcement was switched on.
    epoch: Cell<u64>,
    knowledge: SharedKnowledge,
    /// The share of all nodes that this node may grant for at a time.
    grant_share: Box<dyn Fn(Timestamp) -> f64>,
    clock: Clock,
    metrics: RelayMetrics,
    /// Wakes requests that wait for units.
    changed: Notify,
    /// Wakes the task that exchanges messages with peers.
    due: Notify,
}

/// The state that exists while limits are enforced.
struct Enforcement {
    quotas: TenantQuotas,
    /// The peers that `quotas` was last given.
    peers: Arc<Vec<Address>>,
    /// The limits that `quotas` was last given.
    limits: Option<Arc<TenantLimitTable>>,
    /// When the task that exchanges messages wakes by itself; `None` while it polls and sends.
    wakes_at: Option<Timestamp>,
    home_changes: HomeChanges,
    reach_changes: ReachChanges,
    summary: QuotaSummary,
}

impl Quotas {
    /// Limits that are not enforced yet. `grant_share` returns the share of all nodes that this node may grant for.
    pub fn new(
        knowledge: SharedKnowledge,
        grant_share: impl Fn(Timestamp) -> f64 + 'static,
        clock: Clock,
        metrics: RelayMetrics,
    ) -> Self {
        Quotas {
            shared: Rc::new(Shared {
                enforcement: RefCell::default(),
                epoch: Cell::default(),
                knowledge,
                grant_share: Box::new(grant_share),
                clock,
                metrics,
                changed: Notify::new(),
                due: Notify::new(),
            }),
        }
    }

    /// Enforces the limits from now on; `own` is the address where this node receives notices. Keeps the state if they
    /// are enforced already.
    pub fn enforce(&self, config: QuotaConfig, own: Address) {
        if self.is_enforced() {
            return;
        }
        let config = QuotaConfig { first_sequence: unix_micros(), ..config };
        let quotas = TenantQuotas::new(config, own, self.shared.clock.now());
        let enforcement = Enforcement {
            quotas,
            peers: Arc::default(),
            limits: None,
            wakes_at: None,
            home_changes: HomeChanges::new(own),
            reach_changes: ReachChanges::new(),
            summary: QuotaSummary::default(),
        };
        self.shared.enforcement.replace(Some(enforcement));
        self.shared.epoch.set(self.shared.epoch.get() + 1);
        self.shared.due.notify_one();
        log::info!(event = "tenant_limits_enforced", enforced = true; "");
    }

    /// Ceases to enforce the limits. Requests that wait for units go on at once.
    pub fn suspend(&self) {
        let Some(enforcement) = self.shared.enforcement.take() else {
            return;
        };
        for (tenant, _) in enforcement.limits.iter().flat_map(|limits| limits.iter()) {
            self.shared.metrics.remove_limited_tenant(tenant);
        }
        self.shared.changed.notify_waiters();
        log::info!(event = "tenant_limits_enforced", enforced = false; "");
    }

    /// Whether limits are enforced.
    pub fn is_enforced(&self) -> bool {
        self.shared.enforcement.borrow().is_some()
    }

    /// Handles a peer's request for units; the answer is sent with the next poll. `false` if the request is dropped
    /// because it is older than another one of its sender, or this node may not answer it.
    pub fn receive_request(&self, request: &QuotaRequest) -> bool {
        let is_answered = self.with_quotas(|quotas, now| {
            let dropped = quotas.dropped();
            quotas.receive_request(request, now);
            quotas.dropped() == dropped
        });
        is_answered.unwrap_or(false)
    }

    /// Handles a peer's answer to a request of this node; `false` if it is dropped because it is not awaited.
    pub fn receive_grant(&self, grant: &QuotaGrant) -> bool {
        let is_awaited = self.with_quotas(|quotas, now| quotas.receive_grant(grant, now)).unwrap_or(false);
        if is_awaited {
            self.shared.changed.notify_waiters();
        }
        is_awaited
    }

    /// The messages that are to be sent now. Also logs changes of homes, and of the peers that answer them.
    pub fn poll(&self) -> Vec<OutgoingQuotaMessage> {
        let outgoing = self.with_enforcement(|enforcement, now| {
            enforcement.wakes_at = None;
            let outgoing = enforcement.quotas.poll(now);
            if enforcement.home_changes.is_due(now) {
                let statuses = enforcement.quotas.statuses(now);
                enforcement.home_changes.log(&statuses, &enforcement.peers, now);
                enforcement.reach_changes.log(enforcement.quotas.answered_share(now));
            }
            outgoing
        });
        if outgoing.is_some() {
            self.shared.changed.notify_waiters();
        }
        outgoing.unwrap_or_default()
    }

    /// Waits until the next poll is due.
    pub async fn wait_until_due(&self) {
        let wait = self.with_enforcement(|enforcement, now| {
            let next = enforcement.quotas.next_poll(now).map_or(REFRESH_INTERVAL, |next| next.since(now));
            let wait = next.clamp(POLL_PAUSE_MINIMUM, REFRESH_INTERVAL);
            enforcement.wakes_at = Some(now + wait);
            wait
        });
        let due = self.shared.due.notified();
        match wait {
            // Both outcomes mean that a poll is due.
            Some(wait) => drop(timeout(wait, due).await),
            None => due.await,
        }
    }

    /// Sets the metrics of each limited tenant.
    pub fn set_metrics(&self) {
        if let Some(statuses) = self.with_enforcement(|enforcement, now| enforcement.quotas.statuses(now)) {
            self.shared.metrics.set_tenant_limits(&statuses);
        }
    }

    /// Logs the state of the limited tenants that had requests since the last summary.
    pub fn log_summary(&self) {
        self.with_enforcement(|enforcement, now| enforcement.summary.log(&enforcement.quotas.statuses(now)));
    }

    /// The state of each limited tenant at this node; empty while limits are not enforced.
    pub fn statuses(&self) -> Vec<TenantQuotaStatus> {
        self.with_enforcement(|enforcement, now| enforcement.quotas.statuses(now)).unwrap_or_default()
    }

    /// Whether requests of `tenant` need a permit.
    fn has_limit(&self, tenant: &TenantName) -> bool {
        self.is_enforced() && self.shared.knowledge.load().limit_of(tenant).is_some()
    }

    /// Calls `change` with the quotas, and wakes the task that exchanges messages if the change makes it due earlier.
    fn with_quotas<T>(&self, change: impl FnOnce(&mut TenantQuotas, Timestamp) -> T) -> Option<T> {
        let (result, is_due_earlier) = self.with_enforcement(|enforcement, now| {
            let result = change(&mut enforcement.quotas, now);
            let next = enforcement.quotas.next_poll(now).map(|next| next.max(now + POLL_PAUSE_MINIMUM));
            let is_due_earlier = next.is_some_and(|next| enforcement.wakes_at.is_none_or(|wakes_at| next < wakes_at));
            (result, is_due_earlier)
        })?;
        if is_due_earlier {
            self.shared.due.notify_one();
        }
        Some(result)
    }

    /// Calls `change` with the current state; `None` while limits are not enforced.
    fn with_enforcement<T>(&self, change: impl FnOnce(&mut Enforcement, Timestamp) -> T) -> Option<T> {
        let mut enforcement = self.shared.enforcement.borrow_mut();
        let enforcement = enforcement.as_mut()?;
        let now = self.shared.clock.now();
        if enforcement.apply_knowledge(&self.shared, now) {
            self.shared.changed.notify_waiters();
        }
        Some(change(enforcement, now))
    }
}

impl Enforcement {
    /// Applies what the control thread knows now; whether the limits have changed.
    fn apply_knowledge(&mut self, shared: &Shared, now: Timestamp) -> bool {
        let knowledge = shared.knowledge.load();
        if !Arc::ptr_eq(&self.peers, &knowledge.peers) {
            self.peers = Arc::clone(&knowledge.peers);
            self.quotas.set_peers(&self.peers, now);
        }
        self.quotas.set_grant_share((shared.grant_share)(now));
        let is_same = match (&self.limits, &knowledge.tenant_limits) {
            (Some(own), Some(known)) => Arc::ptr_eq(own, known),
            (own, known) => own.is_none() && known.is_none(),
        };
        if is_same {
            return false;
        }
        let before = std::mem::replace(&mut self.limits, knowledge.tenant_limits.clone());
        self.quotas.set_limits(self.limits.clone(), now);
        for (tenant, _) in before.iter().flat_map(|before| before.iter()) {
            if self.limits.as_ref().is_none_or(|limits| limits.get(tenant).is_none()) {
                shared.metrics.remove_limited_tenant(tenant);
            }
        }
        true
    }
}

/// Microseconds since 1970 by the wall clock. Sequence numbers start there, so that they increase across restarts.
fn unix_micros() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_1970.as_micros()).unwrap_or(u64::MAX)
}
