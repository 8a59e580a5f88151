//! The task that steers stages: every node reports its demand, one decides, announces and orders.

use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{EngineStage, Usability};
use havengate_core::replication::{PeerMessage, StageNotice};
use havengate_core::stages::{
    ChangeEnd, ChangesConfig, HolderId, Lease, OrderAnswer, StageChanges, StageOrder, deciders,
};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::{Address, BackEndId, NodeName};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::decisions::{Decisions, WantedStages};
use super::engine_orders::{EngineOrder, EngineOrders};
use super::lease_keeper::LeaseKeeper;
use super::settings::StageSettings;
use crate::back_ends::{ConnectionPool, PoolLimits};
use crate::control::learner::Learner;
use crate::control::peers::PeerExchange;
use crate::demand::SharedDemand;
use crate::knowledge::Knowledge;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, Protocol};

/// How often a node looks what there is to do.
const STEP: Duration = Duration::from_millis(200);

/// How often a node tells the deciders what its callers ask for. A report is some hundred bytes.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two announcements of the same changes: some of them come within the time after which nodes forget.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(800);

/// How often a new change is announced at once, against loss.
const ANNOUNCED_AT_ONCE: u32 = 2;

/// Stages are decided on a directory that was confirmed within this time only.
const DIRECTORY_FRESH: Duration = Duration::from_secs(2);

/// A node decides nothing for this time after its start: it has to hear of its peers, who may have decided already.
const SETTLING: Duration = Duration::from_secs(3);

/// What the task is given.
pub struct SteeringParts<P, S> {
    /// The node's name.
    pub node: NodeName,
    /// Where peers reach this node; names it among them.
    pub own: Address,
    /// Its settings, which a reload may change.
    pub settings: watch::Receiver<StageSettings>,
    /// What engines speak.
    pub protocol: P,
    /// The store.
    pub store: S,
    /// What this node's callers ask for.
    pub demand: SharedDemand,
    /// What the node knows.
    pub learner: Learner,
    /// The exchange with peers.
    pub peers: PeerExchange,
    /// Counters.
    pub metrics: RelayMetrics,
}

/// The steering of stages at this node.
pub struct Steering<P, S> {
    own: Address,
    life: u64,
    settings: watch::Receiver<StageSettings>,
    orders: EngineOrders<P>,
    lease: LeaseKeeper<S>,
    demand: SharedDemand,
    learner: Learner,
    peers: PeerExchange,
    metrics: RelayMetrics,
    decisions: Decisions,
    changes: StageChanges,
    started: Timestamp,
    reported_at: Option<Timestamp>,
    announced_at: Option<Timestamp>,
    announce_soon: u32,
    decides: bool,
    /// Whether nobody has decided before in this system; `None` until the lease was read.
    is_first: Option<bool>,
}

impl<P: Protocol, S: ControlStore> Steering<P, S> {
    /// The steering of a node that has just started.
    pub fn new(parts: SteeringParts<P, S>) -> Self {
        let SteeringParts { node, own, settings, protocol, store, demand, learner, peers, metrics } = parts;
        let clock = learner.clock();
        let now = clock.now();
        let initial = *settings.borrow();
        let life = fastrand::u64(..);
        let holder = HolderId { node: node.clone(), life };
        let lease = Lease::new(initial.lease.lease(), holder);
        let pool = ConnectionPool::new(PoolLimits::default());
        Steering {
            own,
            life,
            settings,
            orders: EngineOrders { protocol, pool, holder: node, clock },
            lease: LeaseKeeper::new(lease, store, clock, metrics.clone()),
            decisions: Decisions::new(peers.demand(), initial.policy),
            demand,
            learner,
            peers,
            metrics,
            changes: StageChanges::new(ChangesConfig::default()),
            started: now,
            reported_at: None,
            announced_at: None,
            announce_soon: 0,
            decides: false,
            is_first: None,
        }
    }

    /// Steers for ever.
    pub async fn run(mut self) {
        let mut ticks = interval(STEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.settings.has_changed().unwrap_or(false) {
                let settings = *self.settings.borrow_and_update();
                self.decisions.set_config(settings.policy);
            }
            self.step().await;
        }
    }

    async fn step(&mut self) {
        let now = self.now();
        let deciders = deciders(self.own, &self.peers.recent(now));
        self.report(&deciders, now).await;
        self.decisions.take_loads(now);
        let knowledge = self.learner.knowledge();
        let decides = deciders.first() == Some(&self.own) && self.may_decide(&knowledge, now);
        self.note_deciding(decides);
        self.observe_changes(&knowledge, now);
        if !decides || !self.knows_whether_first().await {
            return;
        }
        let is_first = self.is_first == Some(true);
        let wanted = self.decisions.wanted(&knowledge, &self.changes, is_first, self.now());
        let is_needed = !wanted.is_empty() || !self.changes.due(now).is_empty();
        let term = if is_needed { self.lease.authority().await } else { None };
        if let Some(term) = term {
            self.begin_changes(wanted, term);
        }
        self.announce().await;
        if let Some(term) = term {
            self.give_orders(&knowledge, term).await;
        }
    }

    fn now(&self) -> Timestamp {
        self.learner.clock().now()
    }

    fn may_decide(&self, knowledge: &Knowledge, now: Timestamp) -> bool {
        let fresh = knowledge.directory_confirmed_at.is_some_and(|at| now.since(at) < DIRECTORY_FRESH);
        fresh && knowledge.is_complete() && now.since(self.started) >= SETTLING
    }

    fn note_deciding(&mut self, decides: bool) {
        if self.decides == decides {
            return;
        }
        self.decides = decides;
        log::info!(event = "stages_decider", decides; "");
        if !decides {
            let open = self.changes.hand_over();
            if open > 0 {
                log::info!(event = "stage_changes_left", open; "");
            }
            self.lease.doubt();
            self.decisions.hand_over();
        }
    }

    /// Whether it is known that somebody has decided before in this system, or nobody. Without a policy it need not be.
    async fn knows_whether_first(&mut self) -> bool {
        if self.is_first.is_none() && self.decisions.has_policy() {
            self.is_first = self.lease.is_unclaimed().await;
        }
        self.is_first.is_some()
    }

    /// Tells the deciders, of which this node may be one, what its callers ask for.
    async fn report(&mut self, deciders: &[Address], now: Timestamp) {
        if self.reported_at.is_some_and(|at| now.since(at) < REPORT_PAUSE) {
            return;
        }
        self.reported_at = Some(now);
        let report = self.demand.report(self.own, self.life);
        let others: Vec<Address> = deciders.iter().copied().filter(|decider| *decider != self.own).collect();
        if others.len() < deciders.len() {
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
    async fn announce(&mut self) {
        let now = self.now();
        let paused = self.announced_at.is_none_or(|at| now.since(at) >= ANNOUNCE_PAUSE);
        let is_due = self.announce_soon > 0 || (paused && !self.changes.is_empty());
        let Some(term) = self.lease.term().filter(|_| is_due) else {
            return;
        };
        self.announce_soon = self.announce_soon.saturating_sub(1);
        self.announced_at = Some(now);
        let open = self.changes.open();
        let engines: Vec<(BackEndId, EngineStage)> = open.map(|change| (change.engine.clone(), change.to)).collect();
        self.learner.note_changing(engines.clone(), term);
        let notice = StageNotice { sender: self.own, term, engines };
        self.peers.send_to(&PeerMessage::Stages(notice), &self.peers.recent(now)).await;
    }

    async fn give_orders(&mut self, knowledge: &Knowledge, term: Term) {
        let due = self.changes.due(self.now());
        let Some(until) = self.lease.order_until().filter(|_| !due.is_empty()) else {
            return;
        };
        let time_limit = self.lease.order_time_limit();
        let mut answers = JoinSet::new();
        for StageOrder { engine, to } in due {
            let Some(entry) = knowledge.directory.get(&engine) else {
                continue;
            };
            let order = EngineOrder { engine: entry.back_end.clone(), to, term, until, time_limit };
            self.changes.ordered(&engine);
            let orders = self.orders.clone();
            answers.spawn_local(async move { (orders.give(&order).await, order) });
        }
        while let Some(ended) = answers.join_next().await {
            // A task that panicked leaves its order as one whose fate is not known, until the change is given up.
            let Ok((answer, order)) = ended else {
                self.lease.doubt();
                continue;
            };
            self.note_answer(&order, answer);
        }
        self.orders.pool.tidy();
    }

    fn note_answer(&mut self, order: &EngineOrder, answer: OrderAnswer) {
        let (engine, to, term, code) = (&order.engine.id, order.to.code(), order.term.0, answer.code());
        log::info!(event = "stage_ordered", back_end:% = engine, to, term, answer = code; "");
        self.metrics.record_stage_order(code);
        self.changes.answered(engine, answer, self.now());
        self.lease.answered(order.term, answer);
    }
}
