//! The duty of reporting what tenants have used: every node tells its counts to the candidates, the holder reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::duties::usage::{
    LedgerWrite, UsageAnnouncements, UsageConfig, UsageCountsMessage, UsageLedger, UsageReport, UsageReports,
    UsageStep, UsageTable, WindowNumber,
};
use havengate_core::duties::{DutyAnswer, Succession};
use havengate_core::replication::PeerMessage;
use havengate_core::store::ObjectVersion;
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::{Address, NodeName, TenantName};
use havengate_node::clock::Clock;

use super::lease_keeper::LeaseKeeper;
use super::pacing::Pacing;
use crate::control::learner::Learner;
use crate::control::peers::PeerExchange;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, DutyReceiver, DutyRight, StoreError, WriteEnd};
use crate::usage::SharedUsage;

/// How often a node tells what it has counted: a node that is killed takes no more than this with it.
const TELL_PAUSE: Duration = Duration::from_secs(1);

/// How long after its start a candidate asks for all counts: those of its former life were told, and are gone with it.
const ASKS_FOR: Duration = Duration::from_secs(4);

/// The steps that are made at most before other duties have their turn: a read, a write, and a report.
const STEPS_AT_ONCE: usize = 3;

/// What the duty is given.
pub struct UsageDutyParts<S, D> {
    /// The node's name.
    pub node: NodeName,
    /// Where peers reach this node; names it among them.
    pub own: Address,
    /// Tells the lives of the node's process apart.
    pub life: u64,
    /// The store.
    pub store: S,
    /// What takes reports.
    pub receiver: D,
    /// What this node's callers have used.
    pub usage: SharedUsage,
    /// The exchange with peers.
    pub peers: PeerExchange,
    /// What the node knows.
    pub learner: Learner,
    /// Counters.
    pub metrics: RelayMetrics,
}

/// The duty at this node.
pub struct UsageDuty<S, D> {
    node: NodeName,
    own: Address,
    life: u64,
    store: S,
    receiver: D,
    usage: SharedUsage,
    peers: PeerExchange,
    learner: Learner,
    clock: Clock,
    metrics: RelayMetrics,
    table: Rc<RefCell<UsageTable>>,
    telling: UsageAnnouncements,
    reports: UsageReports,
    pacing: Pacing,
    started: Timestamp,
    told_at: Option<Timestamp>,
    /// The term under which it was last acted.
    term: Term,
}

impl<S: ControlStore, D: DutyReceiver> UsageDuty<S, D> {
    /// The duty at a node that has just started.
    pub fn new(parts: UsageDutyParts<S, D>) -> Self {
        let UsageDutyParts { node, own, life, store, receiver, usage, peers, learner, metrics } = parts;
        let clock = learner.clock();
        UsageDuty {
            node,
            own,
            life,
            store,
            receiver,
            usage,
            table: peers.usage(),
            peers,
            learner,
            clock,
            metrics,
            telling: UsageAnnouncements::default(),
            reports: UsageReports::default(),
            pacing: Pacing::default(),
            started: clock.now(),
            told_at: None,
            term: Term(0),
        }
    }

    /// Tells the `candidates`, of which this node may be one, what its callers have used. A candidate that has just started
    /// asks for what others have told before.
    pub async fn tell(&mut self, candidates: &[Address], config: &UsageConfig) {
        let now = self.clock.now();
        if self.told_at.is_some_and(|at| now.since(at) < TELL_PAUSE) {
            return;
        }
        self.told_at = Some(now);
        self.forget_what_is_done(config);
        self.telling.retain_receivers(candidates);
        for asking in self.peers.take_usage_wanted() {
            self.telling.forget(asking);
        }
        for candidate in candidates {
            for message in self.messages_for(*candidate, config) {
                if *candidate == self.own {
                    self.table.borrow_mut().receive(&message);
                } else {
                    self.peers.send_to(&PeerMessage::Usage(message), &[*candidate]).await;
                }
            }
        }
        if candidates.contains(&self.own) && now.since(self.started) < ASKS_FOR {
            let others = self.peers.recent(now);
            self.peers.send_to(&PeerMessage::UsageWanted(self.own), &others).await;
        }
    }

    fn messages_for(&mut self, candidate: Address, config: &UsageConfig) -> Vec<UsageCountsMessage> {
        let true_time = self.usage.true_time();
        let (sender, incarnation, telling) = (self.own, self.life, &mut self.telling);
        self.usage.with_counts(|counts| {
            let due = telling.due(candidate, counts, config, true_time);
            let windows = counts.windows().filter(|(window, _)| due.contains(window));
            let message = |(window, counts): (WindowNumber, &BTreeMap<TenantName, u32>)| {
                let counts = counts.iter().map(|(tenant, count)| (tenant.clone(), *count)).collect();
                UsageCountsMessage { sender, incarnation, window, counts }
            };
            windows.map(message).collect()
        })
    }

    fn forget_what_is_done(&mut self, config: &UsageConfig) {
        let first_kept = config.first_kept(self.usage.true_time());
        let first = self.reports.first_needed().map_or(first_kept, |needed| needed.max(first_kept));
        self.table.borrow_mut().forget_before(first);
    }

    /// Whether something is to be read, written or reported, for which the lease is needed.
    pub fn is_due(&self, config: &UsageConfig) -> bool {
        !self.pacing.pauses(self.clock.now()) && self.next(config) != UsageStep::Idle
    }

    /// Notes that another node may hold the lease.
    pub fn hand_over(&mut self) {
        self.reports.hand_over();
    }

    fn next(&self, config: &UsageConfig) -> UsageStep {
        self.reports.step(config, &self.table.borrow(), self.usage.true_time())
    }

    /// Does what is due, as the holder of the lease under `term`.
    pub async fn act(&mut self, lease: &mut LeaseKeeper<S>, term: Term, config: &UsageConfig) {
        if self.term != term {
            self.term = term;
            if lease.succession() != Succession::WentOn {
                self.reports.hand_over();
            }
        }
        for _ in 0..STEPS_AT_ONCE {
            if self.pacing.pauses(self.clock.now()) {
                return;
            }
            match self.next(config) {
                UsageStep::Idle => return,
                UsageStep::Read => self.read(lease.succession(), config).await,
                UsageStep::Write(write) => self.write(write).await,
                UsageStep::Send(report) => self.send(lease, term, report, config).await,
            }
        }
    }

    async fn read(&mut self, succession: Succession, config: &UsageConfig) {
        match self.store.read_usage().await {
            Ok(read) => {
                self.metrics.record_store_call("usage_read", "ok");
                self.pacing.succeeded();
                match read.ledger {
                    Some(ledger) => self.observe(ledger, read.version, succession, config),
                    None => self.begin_anew(read.version, config),
                }
            }
            Err(error) => self.failed("usage_read", &error),
        }
    }

    fn observe(&mut self, ledger: UsageLedger, version: ObjectVersion, succession: Succession, config: &UsageConfig) {
        let now = self.clock.now();
        let era_since = self.learner.era_known_since(version.era).unwrap_or(now);
        // The first holder of an era may report what began in it. Where the ledger of a later one is of a former era, a late write of
        // that has replaced what holders of this one have left.
        let known_for = if succession == Succession::Began { now.since(era_since) } else { Duration::ZERO };
        let unreported = config.first_unreported(self.usage.true_time().saturating_sub(known_for));
        let (era, ledger_era) = (version.era.number(), ledger.era.number());
        if self.reports.observe_in_era(ledger, version, unreported) {
            log::info!(event = "usage_ledger_of_former_era", era, ledger_era, first_window = unreported.0; "");
        }
    }

    /// Goes on without the reports that another writer has spoiled.
    fn begin_anew(&mut self, version: ObjectVersion, config: &UsageConfig) {
        let first = config.first_unreported(self.usage.true_time());
        log::error!(event = "usage_begun_anew", first_window = first.0, consequence = "the windows before are not reported"; "");
        self.reports.start_new_ledger(version, first);
    }

    async fn write(&mut self, write: LedgerWrite) {
        match self.store.write_usage(&write).await {
            Ok(WriteEnd::Written(revision)) => {
                self.metrics.record_store_call("usage_write", "ok");
                self.pacing.succeeded();
                self.reports.written(write, revision);
            }
            Ok(WriteEnd::Conflict) => {
                self.metrics.record_store_call("usage_write", "conflict");
                self.reports.require_reread();
            }
            Err(StoreError::PreviousEra) => {
                self.metrics.record_store_call("usage_write", "former_era");
                self.reports.require_reread();
            }
            Err(error) => self.failed("usage_write", &error),
        }
    }

    fn failed(&mut self, call: &'static str, error: &StoreError) {
        self.metrics.record_store_call(call, "failed");
        self.reports.require_reread();
        let pause_ms = whole_millis(self.pacing.failed(self.clock.now()));
        log::warn!(event = "usage_store_failed", call, error:% = error, pause_ms; "");
    }

    async fn send(&mut self, lease: &mut LeaseKeeper<S>, term: Term, report: UsageReport, config: &UsageConfig) {
        // Looked at last: a process that was paused, or waited for the store, may have lost the lease meanwhile.
        if lease.order_until().is_none_or(|until| self.clock.now() >= until) {
            return;
        }
        self.reports.record_reported(&report);
        let right = DutyRight { holder: &self.node, term, time_limit: lease.order_time_limit() };
        let answer = self.receiver.report_usage(&right, &report).await;
        let window = report.window;
        let requests: u64 = report.counts.values().sum();
        let (tenants, code) = (report.counts.len(), answer.code());
        let age = self.usage.true_time().saturating_sub(config.end_of(window));
        let is_late = age.as_secs_f64() > config.late_seconds;
        let age_ms = whole_millis(age);
        log::info!(event = "usage_reported", window = window.0, tenants, requests, term = term.0, answer = code, age_ms, is_late; "");
        self.metrics.record_duty_call("usage", code);
        match answer {
            DutyAnswer::Taken => {
                self.reports.settle(window);
                self.pacing.succeeded();
                return;
            }
            // The same bytes would be refused again; those of the next window need not be.
            DutyAnswer::NotUnderstood => self.reports.settle(window),
            DutyAnswer::Conflict => lease.fenced(term),
            // It may come to pass, which does no harm: the same bytes are sent again, once the lease was renewed.
            DutyAnswer::Unknown => lease.doubt(),
            DutyAnswer::Throttled | DutyAnswer::NotSent => {}
        }
        self.pacing.failed(self.clock.now());
    }
}
