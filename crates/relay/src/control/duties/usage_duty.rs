//! The duty of reporting the usage of tenants: every node sends its counts to the candidates; the holder reports them.

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
use crate::protocol::{ControlStore, DutyReceiver, DutyRight, StoreError, WriteOutcome};
use crate::usage::SharedUsage;

/// Interval at which a node sends its counts. A node that is killed loses no more than the counts of this time.
const COUNTS_INTERVAL: Duration = Duration::from_secs(1);

/// Time after its start in which a candidate requests all counts: those sent to its previous incarnation are lost.
const COUNTS_REQUEST_TIME: Duration = Duration::from_secs(4);

/// Maximum number of steps before other duties get their turn: a read, a write, and a report.
const STEPS_MAXIMUM: usize = 3;

/// Dependencies of [`UsageDuty`].
pub struct UsageDutyParts<S, D> {
    /// The node's name.
    pub node: NodeName,
    /// The node's peer address, which identifies it among its peers.
    pub own: Address,
    /// Distinguishes incarnations of the node's process.
    pub incarnation: u64,
    /// The store.
    pub store: S,
    /// Receiver of reports.
    pub receiver: D,
    /// Usage of this node's callers.
    pub usage: SharedUsage,
    /// The exchange with peers.
    pub peers: PeerExchange,
    /// State that the node has learned.
    pub learner: Learner,
    /// The node's metrics.
    pub metrics: RelayMetrics,
}

/// The usage duty of this node.
pub struct UsageDuty<S, D> {
    node: NodeName,
    own: Address,
    incarnation: u64,
    store: S,
    receiver: D,
    usage: SharedUsage,
    peers: PeerExchange,
    learner: Learner,
    clock: Clock,
    metrics: RelayMetrics,
    table: Rc<RefCell<UsageTable>>,
    announcements: UsageAnnouncements,
    reports: UsageReports,
    pacing: Pacing,
    started: Timestamp,
    counts_sent_at: Option<Timestamp>,
    /// The term under which the duty was last performed.
    term: Term,
}

impl<S: ControlStore, D: DutyReceiver> UsageDuty<S, D> {
    /// Creates the duty of a node that has just started.
    pub fn new(parts: UsageDutyParts<S, D>) -> Self {
        let UsageDutyParts { node, own, incarnation, store, receiver, usage, peers, learner, metrics } = parts;
        let clock = learner.clock();
        UsageDuty {
            node,
            own,
            incarnation,
            store,
            receiver,
            usage,
            table: peers.usage(),
            peers,
            learner,
            clock,
            metrics,
            announcements: UsageAnnouncements::default(),
            reports: UsageReports::default(),
            pacing: Pacing::default(),
            started: clock.now(),
            counts_sent_at: None,
            term: Term(0),
        }
    }

    /// Sends the usage of this node's callers to the `candidates`, which may include this node. A candidate that has
    /// just started requests what other nodes have sent before.
    pub async fn send_counts(&mut self, candidates: &[Address], config: &UsageConfig) {
        let now = self.clock.now();
        if self.counts_sent_at.is_some_and(|at| now.since(at) < COUNTS_INTERVAL) {
            return;
        }
        self.counts_sent_at = Some(now);
        self.forget_completed_windows(config);
        self.announcements.retain_receivers(candidates);
        for requester in self.peers.take_usage_wanted() {
            self.announcements.forget(requester);
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
        if candidates.contains(&self.own) && now.since(self.started) < COUNTS_REQUEST_TIME {
            let others = self.peers.recent(now);
            self.peers.send_to(&PeerMessage::UsageWanted(self.own), &others).await;
        }
    }

    fn messages_for(&mut self, candidate: Address, config: &UsageConfig) -> Vec<UsageCountsMessage> {
        let true_time = self.usage.true_time();
        let (sender, incarnation, announcements) = (self.own, self.incarnation, &mut self.announcements);
        self.usage.with_counts(|counts| {
            let due = announcements.due(candidate, counts, config, true_time);
            let windows = counts.windows().filter(|(window, _)| due.contains(window));
            let message = |(window, counts): (WindowNumber, &BTreeMap<TenantName, u32>)| {
                let counts = counts.iter().map(|(tenant, count)| (tenant.clone(), *count)).collect();
                UsageCountsMessage { sender, incarnation, window, counts }
            };
            windows.map(message).collect()
        })
    }

    fn forget_completed_windows(&mut self, config: &UsageConfig) {
        let first_kept = config.first_kept(self.usage.true_time());
        let first = self.reports.first_needed().map_or(first_kept, |needed| needed.max(first_kept));
        self.table.borrow_mut().forget_before(first);
    }

    /// Whether there is something to read, write or report, which requires the lease.
    pub fn is_due(&self, config: &UsageConfig) -> bool {
        !self.pacing.is_waiting(self.clock.now()) && self.next(config) != UsageStep::Idle
    }

    /// Records that another node may hold the lease.
    pub fn hand_over(&mut self) {
        self.reports.hand_over();
    }

    fn next(&self, config: &UsageConfig) -> UsageStep {
        self.reports.step(config, &self.table.borrow(), self.usage.true_time())
    }

    /// Performs the steps that are due, as the holder of the lease under `term`.
    pub async fn act(&mut self, lease: &mut LeaseKeeper<S>, term: Term, config: &UsageConfig) {
        if self.term != term {
            self.term = term;
            if lease.succession() != Succession::WentOn {
                self.reports.hand_over();
            }
        }
        for _ in 0..STEPS_MAXIMUM {
            if self.pacing.is_waiting(self.clock.now()) {
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
                    None => self.start_new_ledger(read.version, config),
                }
            }
            Err(error) => self.failed("usage_read", &error),
        }
    }

    fn observe(&mut self, ledger: UsageLedger, version: ObjectVersion, succession: Succession, config: &UsageConfig) {
        let now = self.clock.now();
        let era_since = self.learner.era_known_since(version.era).unwrap_or(now);
        // The first holder of an era may report windows that began in it. If a later holder finds a ledger of a
        // previous era, a late write from that era has replaced the ledger of this era's holders.
        let known_for = if succession == Succession::Began { now.since(era_since) } else { Duration::ZERO };
        let unreported = config.first_unreported(self.usage.true_time().saturating_sub(known_for));
        let (era, ledger_era) = (version.era.number(), ledger.era.number());
        if self.reports.observe_in_era(ledger, version, unreported) {
            log::info!(event = "usage_ledger_of_former_era", era, ledger_era, first_window = unreported.0; "");
        }
    }

    /// Starts a new ledger, without the reports of the stored one, because another writer has left it malformed.
    fn start_new_ledger(&mut self, version: ObjectVersion, config: &UsageConfig) {
        let first = config.first_unreported(self.usage.true_time());
        log::error!(event = "usage_begun_anew", first_window = first.0, consequence = "earlier windows are not reported"; "");
        self.reports.start_new_ledger(version, first);
    }

    async fn write(&mut self, write: LedgerWrite) {
        match self.store.write_usage(&write).await {
            Ok(WriteOutcome::Written(revision)) => {
                self.metrics.record_store_call("usage_write", "ok");
                self.pacing.succeeded();
                self.reports.written(write, revision);
            }
            Ok(WriteOutcome::Conflict) => {
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
        // Checked last: the process may have lost the lease while it was paused or waiting for the store.
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
            // The same bytes would be refused again; those of the next window may be accepted.
            DutyAnswer::NotUnderstood => self.reports.settle(window),
            DutyAnswer::Conflict => lease.fenced(term),
            // The report may still take effect, which is harmless: the same bytes are sent again once the lease is
            // renewed.
            DutyAnswer::Unknown => lease.suspend_orders(),
            DutyAnswer::Throttled | DutyAnswer::NotSent => {}
        }
        self.pacing.failed(self.clock.now());
    }
}
