//! What all requests of a node share, on its traffic thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use havengate_core::relay::{
    BudgetShare, LatePrefillId, LatePrefills, PlacementConfig, SharedRetryBudget, SharedRetryBudgetConfig, ShortPrefill,
};
use havengate_core::routing::SplitTurns;
use havengate_core::time::Timestamp;
use havengate_core::world::ServiceName;
use havengate_node::clock::Clock;

use crate::back_ends::{BackEndLoads, ConnectionPool, PoolLimits, SharedNotices};
use crate::broken_runs::BrokenRuns;
use crate::control::SharedWithTraffic;
use crate::demand::SharedDemand;
use crate::knowledge::{SharedKnowledge, SharedMoment};
use crate::metrics::RelayMetrics;
use crate::peer_notices::PeerNotices;
use crate::usage::SharedUsage;

/// What all requests of a node share.
pub struct Traffic<P> {
    /// What callers and back ends speak.
    pub protocol: P,
    /// What the control thread knows.
    pub knowledge: SharedKnowledge,
    /// What this node's callers ask of engines.
    pub demand: SharedDemand,
    /// What this node's callers have used.
    pub usage: SharedUsage,
    /// When the configuration in force was last shown to be the newest.
    configuration_shown: SharedMoment,
    /// The longest that a key may go on being taken after it was taken away; `None`: no node is bound to it.
    revocation: Cell<Option<Duration>>,
    /// The node's clock.
    pub clock: Clock,
    /// Connections to back ends.
    pub pool: ConnectionPool,
    /// What is under way at back ends, and how they answer.
    pub loads: BackEndLoads,
    /// What back ends have said of themselves in answers.
    pub notices: SharedNotices,
    /// Runs that back ends broke off.
    pub broken_runs: BrokenRuns,
    /// The prompts that are read now, and where shared parts are kept.
    pub peer_notices: PeerNotices,
    /// How long short prompts took, by where they were read.
    pub short_reading: Cell<ShortPrefill>,
    /// The late prompts that wait to be read.
    late_readings: RefCell<LatePrefills>,
    /// Counters and histograms.
    pub metrics: RelayMetrics,
    /// Requests that are open now.
    pub active: ActiveRequests,
    /// Whether the node is in a planned stop: answers then tell that their connection closes.
    pub leaving: Cell<bool>,
    budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    budget_config: Cell<SharedRetryBudgetConfig>,
    placement: Cell<PlacementConfig>,
    splits: RefCell<SplitTurns>,
    random: RefCell<fastrand::Rng>,
}

impl<P> Traffic<P> {
    /// What a node shares that has just started.
    pub fn new(
        protocol: P,
        shared: SharedWithTraffic,
        budget_config: SharedRetryBudgetConfig,
        placement: PlacementConfig,
    ) -> Self {
        let SharedWithTraffic { knowledge, demand, usage, configuration_shown, notices, clock, metrics } = shared;
        let pool = ConnectionPool::new(PoolLimits::default());
        let peer_notices = PeerNotices::new(Arc::clone(&knowledge), notices.clone(), clock, metrics.clone());
        let engine_ends = peer_notices.engine_terminations().clone();
        Traffic {
            protocol,
            clock,
            broken_runs: BrokenRuns::new(pool.clone(), engine_ends, clock, metrics.clone()),
            pool,
            loads: BackEndLoads::default(),
            notices,
            peer_notices,
            short_reading: Cell::default(),
            late_readings: RefCell::default(),
            placement: Cell::new(placement),
            knowledge,
            demand,
            usage,
            configuration_shown,
            revocation: Cell::default(),
            metrics,
            active: ActiveRequests::default(),
            leaving: Cell::new(false),
            budgets: RefCell::default(),
            budget_config: Cell::new(budget_config),
            splits: RefCell::default(),
            random: RefCell::new(fastrand::Rng::new()),
        }
    }

    /// Calls `change` with the retry budget of `service`.
    pub fn with_budget<T>(&self, service: &ServiceName, change: impl FnOnce(&mut SharedRetryBudget) -> T) -> T {
        let share = BudgetShare { nodes: self.knowledge.load().nodes };
        let mut budgets = self.budgets.borrow_mut();
        let budget =
            budgets.entry(service.clone()).or_insert_with(|| SharedRetryBudget::new(self.budget_config.get(), share));
        budget.set_share(share);
        change(budget)
    }

    /// Changes the limits of repeats. What was spent under the former ones is not forgotten.
    pub fn set_budget_config(&self, config: SharedRetryBudgetConfig) {
        self.budget_config.set(config);
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_config(config);
        }
    }

    /// What the placement of requests weighs now.
    pub fn placement(&self) -> PlacementConfig {
        self.placement.get()
    }

    /// Changes what placement weighs, for requests that are placed from now on.
    pub fn set_placement(&self, placement: PlacementConfig) {
        self.placement.set(placement);
    }

    /// Binds the node to refuse what needs a key while it can't show that its keys are newer than this.
    pub fn set_revocation(&self, revocation: Option<Duration>) {
        self.revocation.set(revocation);
    }

    /// Whether keys may be gone by: the node is not bound to show that they are new, or can.
    pub fn may_go_by_keys(&self) -> bool {
        let is_new = |limit| self.configuration_shown.get().is_some_and(|at| self.clock.now().since(at) < limit);
        self.revocation.get().is_none_or(is_new)
    }

    /// The repeats that are left for each service.
    pub fn repeats_left(&self) -> Vec<(ServiceName, f64)> {
        let now = self.clock.now();
        let budgets = self.budgets.borrow();
        budgets.iter().map(|(service, budget)| (service.clone(), budget.left(now))).collect()
    }

    /// Times a request with a short prompt from now until its answer begins, or until it is given up.
    pub fn time_short_prompt(&self, apart: bool) -> ShortPromptTimer<'_, P> {
        ShortPromptTimer { traffic: self, apart, began: self.clock.now() }
    }

    /// By how much more than expected late prompts take to be read.
    pub fn late_stretch(&self) -> f64 {
        self.late_readings.borrow().stretch(self.clock.now())
    }

    /// Times a late prompt from now until it was read, or until the timer is dropped because it was given up.
    pub fn time_late_reading(&self, expected: Duration) -> LatePrefillTimer<'_, P> {
        let id = self.late_readings.borrow_mut().begin(expected, self.clock.now());
        LatePrefillTimer { traffic: self, id, is_read: false }
    }

    /// Calls `choose` with the turns of split routes.
    pub fn with_splits<T>(&self, choose: impl FnOnce(&mut SplitTurns) -> T) -> T {
        choose(&mut self.splits.borrow_mut())
    }

    /// Calls `choose` with the node's source of randomness.
    pub fn with_random<T>(&self, choose: impl FnOnce(&mut fastrand::Rng) -> T) -> T {
        choose(&mut self.random.borrow_mut())
    }
}

/// Notes how long a request with a short prompt took when it is dropped: a caller that hung up has waited as well.
pub struct ShortPromptTimer<'t, P> {
    traffic: &'t Traffic<P>,
    apart: bool,
    began: Timestamp,
}

impl<P> Drop for ShortPromptTimer<'_, P> {
    fn drop(&mut self) {
        let mut short_reading = self.traffic.short_reading.get();
        short_reading.observe(self.apart, self.traffic.clock.now().since(self.began));
        self.traffic.short_reading.set(short_reading);
    }
}

/// Times a late prompt.
pub struct LatePrefillTimer<'t, P> {
    traffic: &'t Traffic<P>,
    id: LatePrefillId,
    is_read: bool,
}

impl<P> LatePrefillTimer<'_, P> {
    /// Notes that the prompt was read.
    pub fn end(mut self) {
        self.is_read = true;
    }
}

impl<P> Drop for LatePrefillTimer<'_, P> {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        self.traffic.late_readings.borrow_mut().end(self.id, self.is_read, now);
    }
}

/// Counts the requests that are open. Copies share the count.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequests {
    count: Rc<Cell<usize>>,
}

impl ActiveRequests {
    /// Requests that are open now.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn begin(&self) -> ActiveRequest {
        self.count.set(self.count.get() + 1);
        ActiveRequest { requests: self.clone() }
    }
}

/// A request that is open.
#[derive(Debug)]
pub struct ActiveRequest {
    requests: ActiveRequests,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.requests.count.set(self.requests.count.get().saturating_sub(1));
    }
}
