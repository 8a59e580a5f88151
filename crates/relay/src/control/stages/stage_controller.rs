//! The duty of controlling stages: every node reports its demand; the lease holder decides, announces and orders
//! changes.

use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{EngineStage, Usability};
use havengate_core::replication::{PeerMessage, StageNotice};
use havengate_core::stages::{ChangeEnd, ChangesConfig, OrderAnswer, StageChanges, StageOrder, StagePolicyConfig};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::{Address, BackEndId, NodeName};
use tokio::task::JoinSet;

use super::decisions::{Decisions, RequiredChange};
use super::engine_orders::{EngineOrder, EngineOrders};
use crate::back_ends::{ConnectionPool, PoolLimits, SharedNotices};
use crate::control::duties::LeaseKeeper;
use crate::control::learner::Learner;
use crate::control::peers::PeerExchange;
use crate::demand::SharedDemand;
use crate::knowledge::Knowledge;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, Protocol};

/// Interval at which a node reports its demand to the candidates. A report is a few hundred bytes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between announcements of the same changes; several of them fit into the time after which nodes forget a
/// change.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(800);

/// Number of announcements sent without waiting for the interval when a change starts or ends, against message loss.
const IMMEDIATE_ANNOUNCEMENTS: u32 = 2;

/// Stages are decided only on a directory that was confirmed within this time.
const DIRECTORY_AGE_MAXIMUM: Duration = Duration::from_secs(2);

/// Dependencies of [`StageController`].
pub struct StageControllerParts<P> {
    /// The node's name.
    pub node: NodeName,
    /// The node's peer address, which identifies it among its peers.
    pub own: Address,
    /// Distinguishes incarnations of the node's process.
    pub incarnation: u64,
    /// The policy that assigns engines to stages.
    pub policy: StagePolicyConfig,
    /// Protocol of the engines.
    pub protocol: P,
    /// Demand of this node's callers.
    pub demand: SharedDemand,
    /// Notices that back ends sent with their answers.
    pub notices: SharedNotices,
    /// State that the node has learned.
    pub learner: Learner,
    /// The exchange with peers.
    pub peers: PeerExchange,
    /// The node's metrics.
    pub metrics: RelayMetrics,
}

/// Changes and orders that this node, as the acting one, has to carry out.
#[derive(Default)]
pub struct StageWork {
    decides: bool,
    services: Vec<RequiredChange>,
    orders_due: bool,
}

impl StageWork {
    /// Whether the lease is needed.
    pub fn is_needed(&self) -> bool {
        !self.services.is_empty() || self.orders_due
    }
}

/// Controls the stages of engines from this node.
pub struct StageController<P> {
    own: Address,
    incarnation: u64,
    orders: EngineOrders<P>,
    demand: SharedDemand,
    notices: SharedNotices,
    learner: Learner,
    peers: PeerExchange,
    metrics: RelayMetrics,
    decisions: Decisions,
    changes: StageChanges,
    reported_at: Option<Timestamp>,
    announced_at: Option<Timestamp>,
    immediate_announcements_left: u32,
    /// Whether no node has decided before in this system; `None` until the lease was read.
    is_first: Option<bool>,
}

impl<P: Protocol> StageController<P> {
    /// Creates the controller of a node that has just started.
    pub fn new(parts: StageControllerParts<P>) -> Self {
        let StageControllerParts { node, own, incarnation, policy, protocol, demand, notices, learner, peers, metrics } =
            parts;
        let pool = ConnectionPool::new(PoolLimits::default());
        StageController {
            own,
            incarnation,
            orders: EngineOrders { protocol, pool, holder: node, clock: learner.clock() },
            decisions: Decisions::new(peers.demand(), policy),
            demand,
            notices,
            learner,
            peers,
            metrics,
            changes: StageChanges::new(ChangesConfig::default()),
            reported_at: None,
            announced_at: None,
            immediate_announcements_left: 0,
            is_first: None,
        }
    }

    /// Replaces the policy limits.
    pub fn set_config(&mut self, policy: StagePolicyConfig) {
        self.decisions.set_config(policy);
    }

    /// Records which changes have ended and, if this node `acts`, returns the changes and orders to carry out.
    pub async fn prepare<S: ControlStore>(
        &mut self,
        knowledge: &Knowledge,
        acts: bool,
        lease: &mut LeaseKeeper<S>,
    ) -> StageWork {
        let now = self.now();
        self.decisions.take_loads(now);
        self.observe_changes(knowledge, now);
        let decides = acts && self.may_decide(knowledge, now);
        if !decides || !self.knows_is_first(lease).await {
            return StageWork::default();
        }
        let is_first = self.is_first == Some(true);
        let services = self.decisions.required_changes(knowledge, &self.changes, is_first, self.now());
        StageWork { decides, services, orders_due: !self.changes.due(now).is_empty() }
    }

    /// Starts and orders changes if there is a `term` for it, and announces the open ones.
    pub async fn act<S: ControlStore>(
        &mut self,
        knowledge: &Knowledge,
        work: StageWork,
        term: Option<Term>,
        lease: &mut LeaseKeeper<S>,
    ) {
        if !work.decides {
            return;
        }
        if let Some(term) = term {
            self.start_changes(work.services, term);
        }
        self.announce(lease).await;
        if let Some(term) = term {
            self.send_orders(knowledge, term, lease).await;
        }
    }

    /// Drops the open changes because another node acts from now on.
    pub fn hand_over(&mut self) {
        let open = self.changes.hand_over();
        if open > 0 {
            log::info!(event = "stage_changes_left", open; "");
        }
        self.decisions.hand_over();
    }

    fn now(&self) -> Timestamp {
        self.learner.clock().now()
    }

    fn may_decide(&self, knowledge: &Knowledge, now: Timestamp) -> bool {
        let is_fresh = knowledge.directory_confirmed_at.is_some_and(|at| now.since(at) < DIRECTORY_AGE_MAXIMUM);
        is_fresh && knowledge.is_complete()
    }

    /// Returns whether it is known if any node has decided before in this system. Reads the lease for it only with a
    /// policy.
    async fn knows_is_first<S: ControlStore>(&mut self, lease: &mut LeaseKeeper<S>) -> bool {
        if self.is_first.is_none() && self.decisions.has_policy() {
            self.is_first = lease.is_unclaimed().await;
        }
        self.is_first.is_some()
    }

    /// Reports the demand of this node's callers to the candidates, which may include this node.
    pub async fn report(&mut self, candidates: &[Address]) {
        let now = self.now();
        if self.reported_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return;
        }
        self.reported_at = Some(now);
        let report = self.demand.report(self.own, self.incarnation);
        let others: Vec<Address> = candidates.iter().copied().filter(|candidate| *candidate != self.own).collect();
        if others.len() < candidates.len() {
            self.peers.demand().borrow_mut().receive(report.clone(), now);
        }
        self.peers.send_to(&PeerMessage::Demand(report), &others).await;
    }

    fn observe_changes(&mut self, knowledge: &Knowledge, now: Timestamp) {
        let stage_of = |engine: &BackEndId| {
            let entry = knowledge.directory.get(engine)?;
            entry.back_end.stage.filter(|_| entry.usability(now) != Usability::Unusable)
        };
        for (change, end) in self.changes.observe(stage_of, now) {
            let (to, outcome, took) = (change.to.code(), end.code(), now.since(change.began));
            self.metrics.record_stage_change(to, outcome, took);
            let took_ms = whole_millis(took);
            log::info!(event = "stage_change_ended", back_end:% = change.engine, to, outcome, took_ms; "");
            let pause = self.changes.pause(&change.service, now);
            if end == ChangeEnd::EngineGone && !pause.is_zero() {
                let pause_ms = whole_millis(pause);
                log::warn!(event = "stages_paused", service:% = change.service, cause = "engines_end_by_orders", pause_ms; "");
            }
            self.immediate_announcements_left = IMMEDIATE_ANNOUNCEMENTS;
        }
    }

    fn start_changes(&mut self, required: Vec<RequiredChange>, term: Term) {
        let now = self.now();
        for RequiredChange { service, engines, prefill } in required {
            for StageOrder { engine, to } in self.changes.plan(&service, &engines, prefill, now) {
                let (to, term) = (to.code(), term.0);
                log::info!(event = "stage_change_begins", back_end:% = engine, service:% = service, to, term; "");
                self.immediate_announcements_left = IMMEDIATE_ANNOUNCEMENTS;
            }
        }
    }

    /// Announces the changing engines to all nodes, including this one.
    async fn announce<S: ControlStore>(&mut self, lease: &LeaseKeeper<S>) {
        let now = self.now();
        let is_interval_over = self.announced_at.is_none_or(|at| now.since(at) >= ANNOUNCEMENT_INTERVAL);
        let is_due = self.immediate_announcements_left > 0 || (is_interval_over && !self.changes.is_empty());
        let Some(term) = lease.term().filter(|_| is_due) else {
            return;
        };
        self.immediate_announcements_left = self.immediate_announcements_left.saturating_sub(1);
        self.announced_at = Some(now);
        let open = self.changes.open();
        let engines: Vec<(BackEndId, EngineStage)> = open.map(|change| (change.engine.clone(), change.to)).collect();
        self.learner.apply_announced_changes(engines.clone(), term);
        let notice = StageNotice { sender: self.own, term, engines };
        self.peers.send_to(&PeerMessage::Stages(notice), &self.peers.recent(now)).await;
    }

    async fn send_orders<S: ControlStore>(&mut self, knowledge: &Knowledge, term: Term, lease: &mut LeaseKeeper<S>) {
        let due = self.changes.due(self.now());
        let Some(until) = lease.order_until().filter(|_| !due.is_empty()) else {
            return;
        };
        let time_limit = lease.order_time_limit();
        let mut answers = JoinSet::new();
        for StageOrder { engine, to } in due {
            let Some(entry) = knowledge.directory.get(&engine) else {
                continue;
            };
            // Orders follow the rules of other calls: an engine that drains or backs off gets its order when it accepts
            // requests again, or never.
            if let Some(ineligibility) = self.notices.lock().record_call_if_eligible(&engine, self.now()) {
                log::info!(event = "stage_order_waits", back_end:% = engine, back_end_says = ineligibility.code(); "");
                continue;
            }
            let order = EngineOrder { engine: entry.back_end.clone(), to, term, until, time_limit };
            self.changes.ordered(&engine);
            let orders = self.orders.clone();
            answers.spawn_local(async move { (orders.send(&order).await, order) });
        }
        while let Some(ended) = answers.join_next().await {
            // If the task panicked, the outcome of its order stays unknown until the change is given up.
            let Ok((answer, order)) = ended else {
                lease.suspend_orders();
                continue;
            };
            self.record_answer(&order, answer, lease);
        }
        self.orders.pool.tidy();
    }

    fn record_answer<S: ControlStore>(&mut self, order: &EngineOrder, answer: OrderAnswer, lease: &mut LeaseKeeper<S>) {
        let (engine, to, term, code) = (&order.engine.id, order.to.code(), order.term.0, answer.code());
        log::info!(event = "stage_ordered", back_end:% = engine, to, term, answer = code; "");
        self.metrics.record_stage_order(code);
        self.changes.answered(engine, answer, self.now());
        match answer {
            OrderAnswer::Fenced => lease.fenced(order.term),
            OrderAnswer::Unknown => lease.suspend_orders(),
            _ => {}
        }
    }
}
