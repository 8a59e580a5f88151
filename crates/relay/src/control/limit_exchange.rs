//! The exchange of tenants' limits between nodes. The configuration that nodes send each other doesn't contain them,
//! so that its layout remains that of previous releases.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use havengate_core::quota::{LimitTableAssembly, TenantLimitNotice, TenantLimitQuery, split_into_notices};
use havengate_core::routing::ConfigurationNumber;
use havengate_core::world::Address;

use super::learner::{Learner, Source};
use crate::metrics::RelayMetrics;

/// After this time without a part from any peer, the node reads the configuration from the store.
const PEERS_TIME_LIMIT: Duration = Duration::from_secs(2);

/// The longest random addition to [`PEERS_TIME_LIMIT`]. The first node that reads the store sends the limits to its peers,
/// so the others need not read it.
const STORE_READ_JITTER: Duration = Duration::from_millis(500);

/// Requests the limits of the configuration in force from other nodes, and sends them to others. Clones share the
/// state. If limits are not enforced, it requests and answers nothing.
#[derive(Clone)]
pub struct LimitExchange {
    own: Address,
    learner: Learner,
    assembly: Rc<RefCell<LimitTableAssembly>>,
    /// [`PEERS_TIME_LIMIT`] with this node's random addition.
    peers_time_limit: Duration,
    /// The configuration for which a read of the store was last reported.
    reported: Rc<Cell<ConfigurationNumber>>,
    metrics: RelayMetrics,
}

impl LimitExchange {
    /// The exchange of the node at `own`.
    pub fn new(own: Address, learner: Learner, metrics: RelayMetrics) -> Self {
        let peers_time_limit = PEERS_TIME_LIMIT + STORE_READ_JITTER.mul_f64(fastrand::f64());
        let (assembly, reported) = (Rc::default(), Rc::default());
        LimitExchange { own, learner, assembly, peers_time_limit, reported, metrics }
    }

    /// The query to send to a peer; `None` when the limits are known or not enforced.
    pub fn query(&self) -> Option<TenantLimitQuery> {
        let version = self.with_assembly(|assembly| assembly.missing())?;
        Some(TenantLimitQuery { sender: self.own, version })
    }

    /// The answer to a peer's query; empty when this node doesn't know these limits.
    pub fn answer(&self, query: &TenantLimitQuery) -> Vec<TenantLimitNotice> {
        let knowledge = self.learner.knowledge();
        let known = knowledge.tenant_limits.as_ref().filter(|_| knowledge.tenant_limits_version == query.version);
        known.map(|limits| split_into_notices(limits, self.own, query.version)).unwrap_or_default()
    }

    /// Adds a part of the limits that a peer sent, and adopts the limits once they are complete.
    pub fn receive(&self, notice: TenantLimitNotice) {
        let (version, now) = (notice.version, self.learner.clock().now());
        match self.with_assembly(|assembly| assembly.receive(notice, now)) {
            Ok(Some(limits)) => self.learner.adopt_tenant_limits(version, limits, Source::Peer),
            Ok(None) => {}
            Err(dropped) => self.metrics.record_dropped_message(dropped.code()),
        }
    }

    /// Whether peers have sent nothing for so long that the limits must be read from the store.
    pub fn must_read_store(&self) -> bool {
        let now = self.learner.clock().now();
        let waiting_since = self.with_assembly(|assembly| assembly.waiting_since());
        waiting_since.is_some_and(|since| now.since(since) >= self.peers_time_limit)
    }

    /// Logs that the limits are about to be read from the store, once for each configuration.
    pub fn report_store_read(&self) {
        let version = self.learner.knowledge().configuration_number();
        if self.reported.replace(version) != version {
            log::warn!(event = "tenant_limits_read_from_store", version = version.0, cause = "no peer sent them"; "");
        }
    }

    /// Records that the store was read. If it did not have the limits of the configuration in force, because it is
    /// behind, peers are given the same time again.
    pub fn record_store_read(&self) {
        let now = self.learner.clock().now();
        self.with_assembly(|assembly| assembly.restart_wait(now));
    }

    /// Calls `use_assembly` with the assembly for the configuration in force.
    fn with_assembly<R>(&self, use_assembly: impl FnOnce(&mut LimitTableAssembly) -> R) -> R {
        let knowledge = self.learner.knowledge();
        let is_known = !self.learner.enforces_tenant_limits() || knowledge.has_current_limits();
        let mut assembly = self.assembly.borrow_mut();
        assembly.set_in_force(knowledge.configuration_number(), is_known, self.learner.clock().now());
        use_assembly(&mut assembly)
    }
}
