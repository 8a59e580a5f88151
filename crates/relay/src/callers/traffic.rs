//! The state that all requests of a node share on its traffic thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use havengate_core::relay::{
    BudgetShare, DistanceCost, LatePrefillId, LatePrefills, PlacementConfig, SharedRetryBudget,
    SharedRetryBudgetConfig, ShortPrefill,
};
use havengate_core::routing::SplitTurns;
use havengate_core::time::Timestamp;
use havengate_core::world::{ServiceName, Topology, ZoneName};
use havengate_node::clock::Clock;

use super::body_memory::BodyMemory;
use super::connections::CallerConnections;
use super::planned_stop::PlannedStop;
use crate::answer_memory::AnswerMemory;
use crate::back_ends::{BackEndLoads, ConnectionPool, PoolLimits, SharedNotices};
use crate::broken_runs::BrokenRuns;
use crate::control::SharedWithTraffic;
use crate::demand::SharedDemand;
use crate::knowledge::{SharedKnowledge, SharedTimestamp};
use crate::machine::Machine;
use crate::metrics::RelayMetrics;
use crate::paths::BackEndPaths;
use crate::peer_notices::PeerNotices;
use crate::quotas::Quotas;
use crate::stream_origins::StreamOrigins;
use crate::tunnels::Tunnels;
use crate::usage::SharedUsage;

/// The state that all requests of a node share.
pub struct Traffic<P> {
    /// The protocol of callers and back ends.
    pub protocol: P,
    /// The knowledge published by the control thread.
    pub knowledge: SharedKnowledge,
    /// The demand of this node's callers on engines.
    pub demand: SharedDemand,
    /// The usage of this node's callers.
    pub usage: SharedUsage,
    /// When the configuration in force was last confirmed to be the newest.
    configuration_current_at: SharedTimestamp,
    /// The longest time for which a key may still be accepted after its revocation; `None`: no limit.
    revocation_limit: Cell<Option<Duration>>,
    /// The node's clock.
    pub clock: Clock,
    /// The paths to back ends.
    pub paths: BackEndPaths,
    /// Tunnels to back ends through peers, and those of peers through this node.
    pub tunnels: Tunnels,
    /// Connections to back ends.
    pub pool: ConnectionPool,
    /// The requests in flight at each back end, and the health of its answers.
    pub loads: BackEndLoads,
    /// The notices about themselves that back ends have sent with answers.
    pub notices: SharedNotices,
    /// Runs that back ends interrupted.
    pub broken_runs: BrokenRuns,
    /// The prefills in progress, and the engines that cache shared prompt parts.
    pub peer_notices: PeerNotices,
    /// Where recent streams began.
    pub origins: StreamOrigins,
    /// The limits of tenants.
    pub quotas: Quotas,
    /// How long requests with short prompts took, by where the prompt was prefilled.
    pub short_prefill: Cell<ShortPrefill>,
    /// The late prompts that wait for their prefill.
    late_prefills: RefCell<LatePrefills>,
    /// Counters and histograms.
    pub metrics: RelayMetrics,
    /// The connections of callers.
    pub connections: CallerConnections,
    /// The memory of the bodies of callers' requests.
    pub bodies: BodyMemory,
    /// The memory of buffered answers.
    pub answers: AnswerMemory,
    /// The number of open requests.
    pub active: ActiveRequests,
    /// The planned stop.
    pub stop: PlannedStop,
    budgets: RefCell<HashMap<ServiceName, SharedRetryBudget>>,
    budget_config: Cell<SharedRetryBudgetConfig>,
    placement: Cell<PlacementConfig>,
    topology: Rc<Topology>,
    splits: RefCell<SplitTurns>,
    random: RefCell<fastrand::Rng>,
}

impl<P> Traffic<P> {
    /// The state of a node that has just started.
    pub fn new(
        protocol: P,
        shared: SharedWithTraffic,
        budget_config: SharedRetryBudgetConfig,
        placement: PlacementConfig,
        machine: Machine,
    ) -> Self {
        let SharedWithTraffic {
            knowledge,
            demand,
            usage,
            configuration_current_at,
            notices,
            fleet_reach,
            engine_path_loss,
            topology,
            clock,
            metrics,
        } = shared;
        let paths = BackEndPaths::new(Arc::clone(&knowledge), engine_path_loss, clock, metrics.clone());
        let tunnels = Tunnels::new(paths.clone(), topology.clone(), clock, metrics.clone());
        let pool = ConnectionPool::new(PoolLimits::default())
            .in_topology(topology.clone())
            .recording(paths.clone())
            .with_tunnels(tunnels.clone());
        let peer_notices = PeerNotices::new(Arc::clone(&knowledge), notices.clone(), clock, metrics.clone());
        peer_notices.set_topology(topology.clone());
        peer_notices.use_region_streams_from(placement.region_streams_peers);
        let engine_terminations = peer_notices.engine_terminations().clone();
        let part_terminations = peer_notices.part_terminations().clone();
        let grant_share = move |now| fleet_reach.grant_share(now);
        let quotas = Quotas::new(Arc::clone(&knowledge), grant_share, clock, metrics.clone());
        Traffic {
            protocol,
            clock,
            broken_runs: BrokenRuns::new(pool.clone(), engine_terminations, part_terminations, clock, metrics.clone()),
            paths,
            tunnels,
            pool,
            loads: BackEndLoads::default(),
            notices,
            peer_notices,
            origins: StreamOrigins::default(),
            quotas,
            short_prefill: Cell::default(),
            late_prefills: RefCell::default(),
            placement: Cell::new(placement),
            topology: Rc::new(topology),
            knowledge,
            demand,
            usage,
            configuration_current_at,
            revocation_limit: Cell::default(),
            metrics,
            connections: CallerConnections::new(machine.caller_connections_maximum()),
            bodies: BodyMemory::new(machine.bodies_maximum_bytes()),
            answers: AnswerMemory::new(machine.answers_maximum_bytes()),
            active: ActiveRequests::default(),
            stop: PlannedStop::default(),
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

    /// Changes the limits of retries. What was spent under the previous limits still counts.
    pub fn set_budget_config(&self, config: SharedRetryBudgetConfig) {
        self.budget_config.set(config);
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_config(config);
        }
    }

    /// The current settings of placement.
    pub fn placement(&self) -> PlacementConfig {
        self.placement.get()
    }

    /// Changes the settings of placement for requests that are placed from now on.
    pub fn set_placement(&self, placement: PlacementConfig) {
        self.placement.set(placement);
        self.peer_notices.use_region_streams_from(placement.region_streams_peers);
    }

    /// The node's zone and the regions of the zones.
    pub fn topology(&self) -> Rc<Topology> {
        Rc::clone(&self.topology)
    }

    /// The time that a request to a back end in `zone` and its answer spend between regions.
    pub fn round_trip(&self, zone: &ZoneName) -> Duration {
        self.with_distance_cost(|cost| cost.round_trip(zone))
    }

    /// How much longer a KV cache transfer between these zones takes than one within a zone.
    pub fn transfer_factor(&self, from: &ZoneName, to: &ZoneName) -> f64 {
        self.with_distance_cost(|cost| cost.transfer_factor(from, to))
    }

    fn with_distance_cost<R>(&self, read: impl FnOnce(&DistanceCost<'_>) -> R) -> R {
        let (config, topology) = (self.placement(), self.topology());
        read(&DistanceCost::new(Some(&topology), &config))
    }

    /// Readmits back ends whenever the node's paths to them are lost: it ejected them for the failures of its own paths,
    /// and peers reach them. Never returns.
    pub async fn readmit_after_losses(&self) {
        loop {
            let group = self.paths.next_loss().await;
            self.paths.back_ends(&group).iter().for_each(|back_end| self.loads.readmit(&back_end.id));
        }
    }

    /// Sets the maximum age of the node's keys. Requests that need a key are refused while the node can't prove that
    /// its keys are newer.
    pub fn set_revocation_limit(&self, limit: Option<Duration>) {
        self.revocation_limit.set(limit);
    }

    /// Whether keys may be checked: no maximum age is set, or the keys are newer.
    pub fn may_use_keys(&self) -> bool {
        let is_new = |limit| self.configuration_current_at.get().is_some_and(|at| self.clock.now().since(at) < limit);
        self.revocation_limit.get().is_none_or(is_new)
    }

    /// The retries left in the budget of each service.
    pub fn repeats_left(&self) -> Vec<(ServiceName, f64)> {
        let now = self.clock.now();
        let budgets = self.budgets.borrow();
        budgets.iter().map(|(service, budget)| (service.clone(), budget.left(now))).collect()
    }

    /// Times a request with a short prompt from now until its answer begins or it is given up. `on_prefill_engine` tells
    /// whether a separate engine prefills the prompt.
    pub fn time_short_prompt(&self, on_prefill_engine: bool) -> ShortPromptTimer<'_, P> {
        ShortPromptTimer { traffic: self, on_prefill_engine, began: self.clock.now() }
    }

    /// By which factor the prefill of late prompts takes longer than expected.
    pub fn late_stretch(&self) -> f64 {
        self.late_prefills.borrow().stretch(self.clock.now())
    }

    /// Times a late prompt from now until its prefill ends, or until the timer is dropped because the request was given
    /// up.
    pub fn time_late_prefill(&self, expected: Duration) -> LatePrefillTimer<'_, P> {
        let id = self.late_prefills.borrow_mut().begin(expected, self.clock.now());
        LatePrefillTimer { traffic: self, id, is_prefilled: false }
    }

    /// Calls `choose` with the state that spreads split routes over their services.
    pub fn with_splits<T>(&self, choose: impl FnOnce(&mut SplitTurns) -> T) -> T {
        choose(&mut self.splits.borrow_mut())
    }

    /// Calls `choose` with the node's random number generator.
    pub fn with_random<T>(&self, choose: impl FnOnce(&mut fastrand::Rng) -> T) -> T {
        choose(&mut self.random.borrow_mut())
    }
}

/// Records on drop how long a request with a short prompt took. This also counts callers that hung up.
pub struct ShortPromptTimer<'t, P> {
    traffic: &'t Traffic<P>,
    on_prefill_engine: bool,
    began: Timestamp,
}

impl<P> Drop for ShortPromptTimer<'_, P> {
    fn drop(&mut self) {
        let mut short_prefill = self.traffic.short_prefill.get();
        short_prefill.observe(self.on_prefill_engine, self.traffic.clock.now().since(self.began));
        self.traffic.short_prefill.set(short_prefill);
    }
}

/// Times the prefill of a late prompt.
pub struct LatePrefillTimer<'t, P> {
    traffic: &'t Traffic<P>,
    id: LatePrefillId,
    is_prefilled: bool,
}

impl<P> LatePrefillTimer<'_, P> {
    /// Records that the prefill is complete.
    pub fn end(mut self) {
        self.is_prefilled = true;
    }
}

impl<P> Drop for LatePrefillTimer<'_, P> {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        self.traffic.late_prefills.borrow_mut().end(self.id, self.is_prefilled, now);
    }
}

/// Counts the requests that are open. Copies share the count.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequests {
    count: Rc<Cell<usize>>,
}

impl ActiveRequests {
    /// The number of open requests.
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
