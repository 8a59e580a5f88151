//! The task that steers stages: every node reports its demand, one decides, announces and orders.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{BackEnd, EngineStage, Usability};
use havengate_core::replication::{PeerMessage, StageNotice};
use havengate_core::stages::{
    ChangeEnd, ChangesConfig, DemandReport, DemandTable, HolderId, Lease, LeaseStep, LeaseWrite, OrderAnswer,
    StageChanges, StageCounts, StageDecision, StageOrder, StagePolicy, StagePolicyName, StagedEngine, deciders,
};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, NodeName, ServiceName};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::engine_orders::{EngineOrder, EngineOrders};
use super::settings::StageSettings;
use crate::back_ends::{ConnectionPool, PoolLimits};
use crate::control::learner::Learner;
use crate::control::peers::PeerExchange;
use crate::demand::SharedDemand;
use crate::knowledge::Knowledge;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, Protocol, WriteEnd};

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

/// The pause after a call to the store failed, doubled with each failure up to the maximum.
const STORE_PAUSE_MINIMUM: Duration = Duration::from_millis(400);
const STORE_PAUSE_MAXIMUM: Duration = Duration::from_secs(4);

/// The engines that an announcement names; more change at no time.
const ENGINES_ANNOUNCED: usize = 40;

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
    store: S,
    demand: SharedDemand,
    learner: Learner,
    peers: PeerExchange,
    metrics: RelayMetrics,
    table: Rc<RefCell<DemandTable>>,
    policy: StagePolicy,
    changes: StageChanges,
    lease: Lease,
    started: Timestamp,
    reported_at: Option<Timestamp>,
    announced_at: Option<Timestamp>,
    announce_soon: u32,
    store_pause: Duration,
    store_again: Timestamp,
    decides: bool,
    /// Whether nobody has decided before in this system; `None` until the lease was read.
    is_first: Option<bool>,
    /// The decision that was logged last, by service.
    decided: Vec<(ServiceName, StageDecision)>,
    /// Since when another number of prefill engines was wanted, by service.
    wanted_since: BTreeMap<ServiceName, Timestamp>,
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
        let table = peers.demand();
        let pool = ConnectionPool::new(PoolLimits::default());
        Steering {
            own,
            life,
            settings,
            orders: EngineOrders { protocol, pool, holder: node, clock },
            store,
            demand,
            learner,
            peers,
            metrics,
            table,
            policy: StagePolicy::new(initial.policy),
            changes: StageChanges::new(ChangesConfig::default()),
            lease: Lease::new(initial.lease.lease(), holder),
            started: now,
            reported_at: None,
            announced_at: None,
            announce_soon: 0,
            store_pause: STORE_PAUSE_MINIMUM,
            store_again: now,
            decides: false,
            is_first: None,
            decided: Vec::new(),
            wanted_since: BTreeMap::new(),
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
                self.policy.set_config(settings.policy);
            }
            self.step().await;
        }
    }

    async fn step(&mut self) {
        let now = self.now();
        let deciders = deciders(self.own, &self.peers.recent(now));
        self.report(&deciders, now).await;
        self.take_loads(now);
        let knowledge = self.learner.knowledge();
        let decides = deciders.first() == Some(&self.own) && self.may_decide(&knowledge, now);
        self.note_deciding(decides);
        self.observe_changes(&knowledge, now);
        if !decides {
            return;
        }
        if self.is_first.is_none() && !self.learn_whether_first(now).await {
            return;
        }
        let wanted = self.decide(&knowledge);
        let is_due = !self.changes.due(now).is_empty();
        if wanted.is_empty() && !is_due {
            self.announce(now).await;
            return;
        }
        let Some(term) = self.authority(now).await else {
            self.announce(self.now()).await;
            return;
        };
        self.begin_changes(wanted, term);
        self.announce(self.now()).await;
        self.give_orders(&knowledge, term).await;
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
            self.decided.clear();
            self.wanted_since.clear();
        }
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
            self.receive(report.clone());
        }
        self.peers.send_to(&PeerMessage::Demand(report), &others).await;
    }

    fn receive(&self, report: DemandReport) {
        let now = self.now();
        self.table.borrow_mut().receive(report, now);
    }

    fn take_loads(&mut self, now: Timestamp) {
        let mut table = self.table.borrow_mut();
        table.tick(now);
        for (service, load) in table.take_loads() {
            self.policy.observe(&service, load, now);
        }
    }

    fn observe_changes(&mut self, knowledge: &Knowledge, now: Timestamp) {
        let stage_of = |engine: &BackEndId| {
            let entry = knowledge.directory.get(engine)?;
            entry.back_end.stage.filter(|_| entry.usability(now) != Usability::Unusable)
        };
        for (change, end) in self.changes.observe(stage_of, now) {
            let took_ms = u64::try_from(now.since(change.began).as_millis()).unwrap_or(u64::MAX);
            self.metrics.record_stage_change(code_of_stage(change.to), code_of_end(&end), now.since(change.began));
            let (to, outcome) = (code_of_stage(change.to), code_of_end(&end));
            log::info!(event = "stage_change_ended", back_end:% = change.engine, to, outcome, took_ms; "");
            self.announce_soon = ANNOUNCED_AT_ONCE;
        }
    }

    /// The services whose engines are to change, with their usable engines and the prefill engines that are wanted.
    fn decide(&mut self, knowledge: &Knowledge) -> Vec<(ServiceName, Vec<StagedEngine>, usize)> {
        let now = self.now();
        let Some(active) = &knowledge.configuration else {
            return Vec::new();
        };
        let mut wanted = Vec::new();
        for service in &active.configuration.services {
            let (engines, slots) = staged_engines(knowledge, &service.name, now);
            let prefill = self.changes.prefill_after(&service.name, &engines);
            let counts = StageCounts { prefill, decode: engines.len() - prefill, slots };
            let is_first = self.is_first == Some(true);
            let Some(decision) = self.policy.decide(&service.name, counts, is_first) else {
                self.wanted_since.remove(&service.name);
                continue;
            };
            self.log_decision(&service.name, counts, decision);
            if decision.prefill == prefill {
                self.wanted_since.remove(&service.name);
                continue;
            }
            let since = *self.wanted_since.entry(service.name.clone()).or_insert(now);
            if now.since(since).as_secs_f64() >= self.policy.config().dwell_seconds {
                wanted.push((service.name.clone(), engines, decision.prefill));
            }
        }
        wanted
    }

    fn log_decision(&mut self, service: &ServiceName, counts: StageCounts, decision: StageDecision) {
        let logged = self.decided.iter().position(|(name, _)| name == service);
        let is_new = logged.is_none_or(|index| self.decided[index].1.prefill != decision.prefill);
        if !is_new {
            return;
        }
        match logged {
            Some(index) => self.decided[index].1 = decision,
            None => self.decided.push((service.clone(), decision)),
        }
        let table = self.table.borrow();
        log::info!(
            event = "stages_decided",
            service:% = service,
            policy:? = self.policy.config().policy,
            prefill = counts.prefill,
            decode = counts.decode,
            wanted = decision.prefill,
            reading_need = decision.reading_need,
            answering_need = decision.answering_need,
            reading_rate = table.reading_rate(),
            reporters = table.reporters();
            ""
        );
    }

    /// Reads the lease once, to learn whether anybody has held it before; whether that is known now. A system without a
    /// policy needs no lease.
    async fn learn_whether_first(&mut self, now: Timestamp) -> bool {
        if self.policy.config().policy == StagePolicyName::None || now < self.store_again {
            return false;
        }
        if self.lease.is_unclaimed().is_none() {
            self.read_lease().await;
        }
        self.is_first = self.lease.is_unclaimed();
        self.is_first.is_some()
    }

    /// The term under which this node may order now; takes one step towards it where it has none.
    async fn authority(&mut self, now: Timestamp) -> Option<Term> {
        if now < self.store_again {
            return None;
        }
        for _ in 0..2 {
            match self.lease.step(self.now()) {
                LeaseStep::Order(term) => return Some(term),
                LeaseStep::Wait(_) => return None,
                LeaseStep::Read => self.read_lease().await?,
                LeaseStep::Write(write) => self.write_lease(write).await?,
            }
        }
        self.lease.may_order(self.now())
    }

    async fn read_lease(&mut self) -> Option<()> {
        match self.store.read_lease().await {
            Ok(read) => {
                self.metrics.record_store_call("lease_read", "ok");
                self.lease.observe(read.record, read.revision, self.now());
                Some(())
            }
            Err(error) => {
                self.metrics.record_store_call("lease_read", "failed");
                self.lease.doubt();
                self.pause_store("lease_read", &error.to_string());
                None
            }
        }
    }

    async fn write_lease(&mut self, write: LeaseWrite) -> Option<()> {
        let sent = self.now();
        match self.store.write_lease(&write).await {
            Ok(WriteEnd::Written(revision)) => {
                self.metrics.record_store_call("lease_write", "ok");
                if write.record.renewal == 0 {
                    let (term, renewed) = (write.record.term.0, write.expected.is_some());
                    log::info!(event = "stages_lease_taken", term, from_another = renewed; "");
                }
                self.store_pause = STORE_PAUSE_MINIMUM;
                self.lease.written(write, revision, sent, self.now());
                Some(())
            }
            Ok(WriteEnd::Conflict) => {
                self.metrics.record_store_call("lease_write", "conflict");
                log::info!(event = "stages_lease_conflict", term = write.record.term.0; "");
                self.lease.doubt();
                None
            }
            Err(error) => {
                self.metrics.record_store_call("lease_write", "failed");
                self.lease.doubt();
                self.pause_store("lease_write", &error.to_string());
                None
            }
        }
    }

    fn pause_store(&mut self, call: &'static str, error: &str) {
        let pause_ms = u64::try_from(self.store_pause.as_millis()).unwrap_or(u64::MAX);
        log::warn!(event = "stages_lease_unknown", call, error, pause_ms; "");
        self.store_again = self.now() + self.store_pause.mul_f64(0.5 + fastrand::f64());
        self.store_pause = (2 * self.store_pause).min(STORE_PAUSE_MAXIMUM);
    }

    fn begin_changes(&mut self, wanted: Vec<(ServiceName, Vec<StagedEngine>, usize)>, term: Term) {
        let now = self.now();
        for (service, engines, prefill) in wanted {
            for StageOrder { engine, to } in self.changes.plan(&service, &engines, prefill, now) {
                let to = code_of_stage(to);
                log::info!(event = "stage_change_begins", back_end:% = engine, service:% = service, to, term = term.0; "");
                self.announce_soon = ANNOUNCED_AT_ONCE;
            }
        }
    }

    /// Tells all nodes, this one included, which engines change.
    async fn announce(&mut self, now: Timestamp) {
        let paused = self.announced_at.is_none_or(|at| now.since(at) >= ANNOUNCE_PAUSE);
        let is_due = self.announce_soon > 0 || (paused && !self.changes.is_empty());
        let Some(term) = self.lease.term().filter(|_| is_due) else {
            return;
        };
        self.announce_soon = self.announce_soon.saturating_sub(1);
        self.announced_at = Some(now);
        let open = self.changes.open().take(ENGINES_ANNOUNCED);
        let engines: Vec<(BackEndId, EngineStage)> = open.map(|change| (change.engine.clone(), change.to)).collect();
        self.learner.note_changing(engines.clone(), term);
        let receivers = self.peers.recent(now);
        let notice = StageNotice { sender: self.own, term, engines };
        self.peers.send_to(&PeerMessage::Stages(notice), &receivers).await;
    }

    async fn give_orders(&mut self, knowledge: &Knowledge, term: Term) {
        let now = self.now();
        let due = self.changes.due(now);
        let Some(until) = self.lease.order_until().filter(|_| !due.is_empty()) else {
            return;
        };
        let time_limit = self.lease.config().order_time_limit;
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
        let (to, code) = (code_of_stage(order.to), code_of_answer(answer));
        let (engine, term) = (&order.engine.id, order.term.0);
        log::info!(event = "stage_ordered", back_end:% = engine, to, term, answer = code; "");
        self.metrics.record_stage_order(code);
        let now = self.now();
        self.changes.answered(engine, answer, now);
        match answer {
            OrderAnswer::Fenced => self.lease.fenced(order.term),
            OrderAnswer::Unknown => self.lease.doubt(),
            _ => {}
        }
    }
}

/// The engines of `service` that may be used and serve a stage, and the answers that each generates at the same time.
fn staged_engines(knowledge: &Knowledge, service: &ServiceName, now: Timestamp) -> (Vec<StagedEngine>, u32) {
    let entries = || knowledge.directory.of_service(service);
    let slots = entries().map(|entry| entry.back_end.slots).min().unwrap_or(1);
    let usable = entries().filter(|entry| entry.usability(now) == Usability::Usable);
    let staged = |back_end: &BackEnd| {
        let stage = back_end.stage?;
        Some(StagedEngine { id: back_end.id.clone(), zone: back_end.zone.clone(), stage })
    };
    (usable.filter_map(|entry| staged(&entry.back_end)).collect(), slots)
}

fn code_of_stage(stage: EngineStage) -> &'static str {
    match stage {
        EngineStage::Prefill => "prefill",
        EngineStage::Decode => "decode",
    }
}

fn code_of_end(end: &ChangeEnd) -> &'static str {
    match end {
        ChangeEnd::Done => "done",
        ChangeEnd::EngineGone => "engine_gone",
        ChangeEnd::GivenUp => "given_up",
        ChangeEnd::CalledOff => "called_off",
    }
}

fn code_of_answer(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Holds => "holds",
        OrderAnswer::Busy => "busy",
        OrderAnswer::Fenced => "fenced",
        OrderAnswer::AnotherEngine => "another_engine",
        OrderAnswer::NotUnderstood => "not_understood",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Unknown => "unknown",
    }
}
