//! The duty of steering stages: every node reports its demand, the holder of the lease decides, announces and orders.

use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{EngineStage, Usability};
use havengate_core::replication::{PeerMessage, StageNotice};
use havengate_core::stages::{ChangeEnd, ChangesConfig, OrderAnswer, StageChanges, StageOrder, StagePolicyConfig};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::{Address, BackEndId, NodeName};
use tokio::task::JoinSet;

use super::decisions::{Decisions, WantedStages};
use super::engine_orders::{EngineOrder, EngineOrders};
use crate::back_ends::{ConnectionPool, PoolLimits, SharedNotices};
use crate::control::duties::LeaseKeeper;
use crate::control::learner::Learner;
use crate::control::peers::PeerExchange;
use crate::demand::SharedDemand;
use crate::knowledge::Knowledge;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, Protocol};

/// How often a node tells the candidates what its callers ask for. A report is some hundred bytes.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two announcements of the same changes: some of them come within the time after which nodes forget.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(800);

/// How often a new change is announced at once, against loss.
const ANNOUNCED_AT_ONCE: u32 = 2;

/// Stages are decided on a directory that was confirmed within this time only.
const DIRECTORY_FRESH: Duration = Duration::from_secs(2);

/// What the duty is given.
pub struct SteeringParts<P> {
    /// The node's name.
    pub node: NodeName,
    /// Where peers reach this node; names it among them.
    pub own: Address,
    /// Tells the lives of the node's process apart.
    pub life: u64,
    /// How stages are decided.
    pub policy: StagePolicyConfig,
    /// What engines speak.
    pub protocol: P,
    /// What this node's callers ask for.
    pub demand: SharedDemand,
    /// What back ends have said of themselves in answers.
    pub notices: SharedNotices,
    /// What the node knows.
    pub learner: Learner,
    /// The exchange with peers.
    pub peers: PeerExchange,
    /// Counters.
    pub metrics: RelayMetrics,
}

/// What this node, as the one that acts, has to order.
#[derive(Default)]
pub struct StagesWanted {
    decides: bool,
    services: Vec<WantedStages>,
    orders_due: bool,
}

impl StagesWanted {
    /// Whether the lease is needed.
    pub fn is_needed(&self) -> bool {
        !self.services.is_empty() || self.orders_due
    }
}

/// The steering of stages at this node.
pub struct Steering<P> {
    own: Address,
    life: u64,
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
    announce_soon: u32,
    /// Whether nobody has decided before in this system; `None` until the lease was read.
    is_first: Option<bool>,
}

impl<P: Protocol> Steering<P> {
    /// The steering of a node that has just started.
    pub fn new(parts: SteeringParts<P>) -> Self {
        let SteeringParts { node, own, life, policy, protocol, demand, notices, learner, peers, metrics } = parts;
        let pool = ConnectionPool::new(PoolLimits::default());
        Steering {
            own,
            life,
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
            announce_soon: 0,
            is_first: None,
        }
    }

    /// Goes by other limits from now on.
    pub fn set_config(&mut self, policy: StagePolicyConfig) {
        self.decisions.set_config(policy);
    }

    /// Looks at what has changed, and, if this node is to act, what it has to order.
    pub async fn prepare<S: ControlStore>(
        &mut self,
        knowledge: &Knowledge,
        acts: bool,
        lease: &mut LeaseKeeper<S>,
    ) -> StagesWanted {
        let now = self.now();
        self.decisions.take_loads(now);
        self.observe_changes(knowledge, now);
        let decides = acts && self.may_decide(knowledge, now);
        if !decides || !self.knows_whether_first(lease).await {
            return StagesWanted::default();
        }
        let is_first = self.is_first == Some(true);
        let services = self.decisions.wanted(knowledge, &self.changes, is_first, self.now());
        StagesWanted { decides, services, orders_due: !self.changes.due(now).is_empty() }
    }

    /// Begins, announces and orders what is wanted, as far as there is a term to do it under.
    pub async fn act<S: ControlStore>(
        &mut self,
        knowledge: &Knowledge,
        wanted: StagesWanted,
        term: Option<Term>,
        lease: &mut LeaseKeeper<S>,
    ) {
        if !wanted.decides {
            return;
        }
        if let Some(term) = term {
            self.begin_changes(wanted.services, term);
        }
        self.announce(lease).await;
        if let Some(term) = term {
            self.give_orders(knowledge, term, lease).await;
        }
    }

    /// Leaves what is open: another node acts from now on.
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
        let fresh = knowledge.directory_confirmed_at.is_some_and(|at| now.since(at) < DIRECTORY_FRESH);
        fresh && knowledge.is_complete()
    }

    /// Whether it is known that somebody has decided before in this system, or nobody. Without a policy it need not be.
    async fn knows_whether_first<S: ControlStore>(&mut self, lease: &mut LeaseKeeper<S>) -> bool {
        if self.is_first.is_none() && self.decisions.has_policy() {
            self.is_first = lease.is_unclaimed().await;
        }
        self.is_first.is_some()
    }

    /// Tells the candidates, of which this node may be one, what its callers ask for.
    pub async fn report(&mut self, candidates: &[Address]) {
        let now = self.now();
        if self.reported_at.is_some_and(|at| now.since(at) < REPORT_PAUSE) {
            return;
        }
        self.reported_at = Some(now);
        let report = self.demand.report(self.own, self.life);
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
            self.announce_soon = ANNOUNCED_AT_ONCE;
        }
    }

    fn begin_changes(&mut self, wanted: Vec<WantedStages>, term: Term) {
        let now = self.now();
        for WantedStages { service, engines, prefill } in wanted {
            for StageOrder { engine, to } in self.changes.plan(&service, &engines, prefill, now) {
                let (to, term) = (to.code(), term.0);
                log::info!(event = "stage_change_begins", back_end:% = engine, service:% = service, to, term; "");
                self.announce_soon = ANNOUNCED_AT_ONCE;
            }
        }
    }

    /// Tells all nodes, this one included, which engines change.
    async fn announce<S: ControlStore>(&mut self, lease: &LeaseKeeper<S>) {
        let now = self.now();
        let paused = self.announced_at.is_none_or(|at| now.since(at) >= ANNOUNCE_PAUSE);
        let is_due = self.announce_soon > 0 || (paused && !self.changes.is_empty());
        let Some(term) = lease.term().filter(|_| is_due) else {
            return;
        };
        self.announce_soon = self.announce_soon.saturating_sub(1);
        self.announced_at = Some(now);
        let open = self.changes.open();
        let engines: Vec<(BackEndId, EngineStage)> = open.map(|change| (change.engine.clone(), change.to)).collect();
        self.learner.apply_announced_changes(engines.clone(), term);
        let notice = StageNotice { sender: self.own, term, engines };
        self.peers.send_to(&PeerMessage::Stages(notice), &self.peers.recent(now)).await;
    }

    async fn give_orders<S: ControlStore>(&mut self, knowledge: &Knowledge, term: Term, lease: &mut LeaseKeeper<S>) {
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
            // An order is a call like any other: one that leaves, or rests, is asked when it takes requests again, or never.
            if let Some(unwelcome) = self.notices.lock().note_call_if_welcome(&engine, self.now()) {
                log::info!(event = "stage_order_waits", back_end:% = engine, back_end_says = unwelcome.code(); "");
                continue;
            }
            let order = EngineOrder { engine: entry.back_end.clone(), to, term, until, time_limit };
            self.changes.ordered(&engine);
            let orders = self.orders.clone();
            answers.spawn_local(async move { (orders.give(&order).await, order) });
        }
        while let Some(ended) = answers.join_next().await {
            // A task that panicked leaves its order as one whose fate is not known, until the change is given up.
            let Ok((answer, order)) = ended else {
                lease.doubt();
                continue;
            };
            self.note_answer(&order, answer, lease);
        }
        self.orders.pool.tidy();
    }

    fn note_answer<S: ControlStore>(&mut self, order: &EngineOrder, answer: OrderAnswer, lease: &mut LeaseKeeper<S>) {
        let (engine, to, term, code) = (&order.engine.id, order.to.code(), order.term.0, answer.code());
        log::info!(event = "stage_ordered", back_end:% = engine, to, term, answer = code; "");
        self.metrics.record_stage_order(code);
        self.changes.answered(engine, answer, self.now());
        match answer {
            OrderAnswer::Fenced => lease.fenced(order.term),
            OrderAnswer::Unknown => lease.doubt(),
            _ => {}
        }
    }
}
