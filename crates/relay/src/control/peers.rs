//! The exchange with other nodes: digests over datagrams, pulls over connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use havengate_core::duties::UnavailableCandidates;
use havengate_core::duties::usage::UsageTable;
use havengate_core::quota::{TenantLimitNotice, TenantLimitQuery};
use havengate_core::replication::{Digest, PeerAddresses, PeerMessage, PeerTable, Pull, PullAnswer, ReachNotice};
use havengate_core::resumption::{VersionNotice, VersionQuery};
use havengate_core::stages::{DemandTable, DemandTableConfig};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::fetcher::ConfigurationFetcher;
use super::learner::Learner;
use super::limit_exchange::LimitExchange;
use super::locations::Locations;
use super::reader_role::ReaderRole;
use super::transfer::{PeersError, SILENCE_TIME_LIMIT, TransferTimeouts, ask, connect, read_message, write_message};
use crate::back_ends::set_liveness;
use crate::callers::listen;
use crate::datagrams::Datagrams;
use crate::fleet_reach::{ShareChange, SharedFleetReach};
use crate::knowledge::PeerView;
use crate::metrics::{NodeMessageKind, RelayMetrics};

/// How often a digest is sent. An update reaches all of ten nodes in two or three rounds.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// A directory that the store has confirmed within this time is not pulled from a peer.
const DIRECTORY_FRESH: Duration = Duration::from_millis(500);

/// The time limit for connecting to a peer, for the first byte of its answer to a pull, and for the first byte that it
/// accepts of an answer.
const PULL_TIME_LIMIT: Duration = Duration::from_millis(600);

/// The most connections whose pulls are answered at the same time; further ones are closed. Most of them are long-lived
/// feeds. A reader feeds some 27 nodes at the size of the design, and all nodes if it is the only reader left that they
/// know.
const ANSWERED_CONNECTIONS_MAXIMUM: usize = 400;

/// A fed peer that sends no pull for this time is gone, as a live one sends the next pull as soon as it is answered.
const PULL_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// The exchange with other nodes. Clones share the state.
#[derive(Clone)]
pub struct PeerExchange {
    own: PeerAddresses,
    table: Rc<RefCell<PeerTable>>,
    role: ReaderRole,
    learner: Learner,
    fetcher: ConfigurationFetcher,
    locations: Locations,
    /// Whether a pull of the directory is in progress.
    pull_in_progress: Rc<Cell<bool>>,
    datagrams: Datagrams,
    demand: Rc<RefCell<DemandTable>>,
    usage: Rc<RefCell<UsageTable>>,
    /// Candidates that can't perform duties.
    unavailable_candidates: Rc<RefCell<UnavailableCandidates>>,
    /// Candidates that have asked for all counts since the last `take_usage_wanted`.
    usage_wanted: Rc<RefCell<BTreeSet<Address>>>,
    limits: LimitExchange,
    fleet_reach: SharedFleetReach,
    metrics: RelayMetrics,
}

impl PeerExchange {
    /// Binds the sockets of the exchange at the addresses `own`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind(
        own: PeerAddresses,
        table: PeerTable,
        role: ReaderRole,
        learner: Learner,
        fleet_reach: SharedFleetReach,
        locations: Locations,
        metrics: RelayMetrics,
    ) -> io::Result<(Self, TcpListener)> {
        let datagrams = Datagrams::bind(own.control, metrics.clone()).await?;
        let listener = listen(own.control.0)?;
        let table = Rc::new(RefCell::new(table));
        let demand = DemandTable::new(DemandTableConfig::default(), learner.clock().now());
        let demand = Rc::new(RefCell::new(demand));
        let (usage, usage_wanted) = (Rc::default(), Rc::default());
        let fetcher = ConfigurationFetcher::new(learner.clone(), role.clone());
        let pull_in_progress = Rc::default();
        let limits = LimitExchange::new(own.control, learner.clone(), metrics.clone());
        let exchange = PeerExchange {
            own,
            table,
            role,
            learner,
            fetcher,
            locations,
            pull_in_progress,
            datagrams,
            demand,
            usage,
            unavailable_candidates: Rc::default(),
            usage_wanted,
            limits,
            fleet_reach,
            metrics,
        };
        Ok((exchange, listener))
    }

    /// Sends digests periodically, to `seeds` as well, and pulls from peers that have newer knowledge; never returns.
    pub async fn exchange_digests(self, mut seeds: watch::Receiver<Vec<Address>>) {
        let mut ticks = interval(DIGEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.learner.clock().now();
            if seeds.has_changed().unwrap_or(false) {
                self.table.borrow_mut().set_seeds(seeds.borrow_and_update().clone());
            }
            self.table.borrow_mut().tick(now);
            let (nodes, peers) = (self.table.borrow().nodes(now), self.table.borrow().notice_addresses(now));
            let distant = self.locations.distant_peers(&self.table.borrow());
            self.table.borrow_mut().set_distant(distant.clone());
            let zones = self.locations.retain_known(&self.table.borrow());
            self.role.set_peers(self.table.borrow().recent(now), distant);
            self.update_reach(&seeds.borrow(), now);
            self.learner.set_peers(PeerView { nodes, peers, zones, is_reader: self.role.is_reader() });
            self.send_digests().await;
            self.request_limits().await;
            self.pull_if_behind();
        }
    }

    /// The fetcher of newer configurations from other nodes.
    pub fn fetcher(&self) -> ConfigurationFetcher {
        self.fetcher.clone()
    }

    /// The address at which peers reach this node.
    pub fn own_address(&self) -> Address {
        self.own.control
    }

    /// The exchange of tenants' limits.
    pub fn limits(&self) -> LimitExchange {
        self.limits.clone()
    }

    /// The other nodes from which messages arrived recently.
    pub fn recent(&self, now: Timestamp) -> Vec<Address> {
        self.table.borrow().recent(now)
    }

    /// The demand of all nodes, from their reports.
    pub fn demand(&self) -> Rc<RefCell<DemandTable>> {
        Rc::clone(&self.demand)
    }

    /// The usage counted by all nodes, from their announcements.
    pub fn usage(&self) -> Rc<RefCell<UsageTable>> {
        Rc::clone(&self.usage)
    }

    /// Whether `candidate` has declared that it can't perform duties.
    pub fn is_unavailable(&self, candidate: Address, now: Timestamp) -> bool {
        self.unavailable_candidates.borrow().contains(candidate, now)
    }

    /// The candidates that have asked for all counts since this was last called.
    pub fn take_usage_wanted(&self) -> BTreeSet<Address> {
        self.usage_wanted.take()
    }

    /// Sends `message` to each of `receivers`. A datagram that can't be sent is treated like a lost one.
    pub async fn send_to(&self, message: &PeerMessage, receivers: &[Address]) {
        let kind = match message {
            PeerMessage::Digest(_) => NodeMessageKind::Digest,
            PeerMessage::Demand(_) => NodeMessageKind::Demand,
            PeerMessage::Stages(_) => NodeMessageKind::Stages,
            PeerMessage::Usage(_) | PeerMessage::UsageWanted(_) => NodeMessageKind::Usage,
            PeerMessage::TenantLimitsWanted(_) | PeerMessage::TenantLimits(_) => NodeMessageKind::TenantLimits,
            PeerMessage::Locations(_) => NodeMessageKind::Locations,
            PeerMessage::DutyUnavailable(_) => NodeMessageKind::Duties,
            PeerMessage::VersionsWanted(_) | PeerMessage::Versions(_) => NodeMessageKind::Versions,
            PeerMessage::Reach(_) => NodeMessageKind::Quotas,
        };
        self.datagrams.send(message, kind, receivers).await;
    }

    fn handle(&self, message: PeerMessage) {
        let now = self.learner.clock().now();
        match message {
            PeerMessage::Digest(digest) => {
                self.fetcher.record_configuration_of(digest.sender.control, digest.configuration);
                self.learner.record_peer_position(digest.sender.control, digest.directory);
                self.table.borrow_mut().receive(&digest, now);
                if self.learner.enforces_tenant_limits() {
                    self.fleet_reach.record_digest(&digest, self.own.control, now);
                }
            }
            PeerMessage::Demand(report) if !self.is_recent(report.sender, now) => {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::Demand(report) => {
                if !self.demand.borrow_mut().receive(report, now) {
                    self.metrics.record_dropped_message("overtaken");
                }
            }
            PeerMessage::Usage(counts) if !self.is_recent(counts.sender, now) => {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::Usage(counts) => {
                self.usage.borrow_mut().receive(&counts);
            }
            PeerMessage::UsageWanted(sender) if !self.is_recent(sender, now) => {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::UsageWanted(sender) => {
                self.usage_wanted.borrow_mut().insert(sender);
            }
            PeerMessage::DutyUnavailable(sender) if !self.is_recent(sender, now) => {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::DutyUnavailable(sender) => {
                self.unavailable_candidates.borrow_mut().record(sender, now);
            }
            PeerMessage::TenantLimitsWanted(_) | PeerMessage::TenantLimits(_)
                if !self.learner.enforces_tenant_limits() =>
            {
                self.metrics.record_dropped_message("not_enabled");
            }
            PeerMessage::TenantLimitsWanted(TenantLimitQuery { sender, .. })
            | PeerMessage::TenantLimits(TenantLimitNotice { sender, .. })
                if !self.is_recent(sender, now) =>
            {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::TenantLimitsWanted(query) => self.answer_limits(query),
            PeerMessage::TenantLimits(notice) => self.limits.receive(notice),
            PeerMessage::Locations(notice) => {
                if let Err(rejected) = self.locations.receive(&notice, &self.table.borrow(), now) {
                    self.metrics.record_dropped_message(rejected.code());
                }
            }
            PeerMessage::VersionsWanted(VersionQuery { sender, .. })
            | PeerMessage::Versions(VersionNotice { sender, .. })
                if !self.is_recent(sender, now) =>
            {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::Reach(_) if !self.learner.enforces_tenant_limits() => {
                self.metrics.record_dropped_message("not_enabled");
            }
            PeerMessage::Reach(notice) if !self.is_recent(notice.sender, now) => {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::Reach(notice) => self.fleet_reach.record_report(notice.report, now),
            PeerMessage::VersionsWanted(query) => self.answer_version_query(query),
            PeerMessage::Versions(notice) => self.learner.receive_versions(notice),
            PeerMessage::Stages(notice) if !self.is_recent(notice.sender, now) => {
                self.metrics.record_dropped_message("unknown_sender");
            }
            PeerMessage::Stages(notice) => {
                if !self.learner.apply_announced_changes(notice.engines, notice.term) {
                    self.metrics.record_dropped_message("overtaken");
                }
            }
        }
    }

    fn is_recent(&self, sender: Address, now: Timestamp) -> bool {
        self.table.borrow().recent(now).contains(&sender)
    }

    /// Handles datagrams from peers; never returns.
    pub async fn receive(self) {
        loop {
            self.handle(self.datagrams.receive().await);
        }
    }

    /// Accepts connections and answers pulls on them; never returns.
    pub async fn answer_pulls(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(ANSWERED_CONNECTIONS_MAXIMUM));
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                tokio::time::sleep(DIGEST_INTERVAL).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                continue;
            };
            let (learner, metrics) = (self.learner.clone(), self.metrics.clone());
            tokio::task::spawn_local(async move {
                let _permit = permit;
                // The asking peer detects a failure by itself and asks another peer.
                let _ = answer_pulls_on(&mut stream, &learner, &metrics).await;
            });
        }
    }

    async fn send_digests(&self) {
        let now = self.learner.clock().now();
        let knowledge = self.learner.knowledge();
        let (receivers, peers) = self.table.borrow().next_digest(now, &mut fastrand::Rng::new());
        let locations = self.locations.notice_with_digest(&peers, now);
        let digest = Digest {
            sender: self.own,
            configuration: knowledge.configuration_number(),
            directory: self.learner.directory_changed_at(),
            peers,
        };
        self.send_to(&PeerMessage::Digest(digest), &receivers).await;
        if self.learner.enforces_tenant_limits() {
            let notice = ReachNotice { sender: self.own.control, report: self.fleet_reach.report(now) };
            self.send_to(&PeerMessage::Reach(notice), &receivers).await;
        }
        if let Some(locations) = locations {
            self.send_to(&PeerMessage::Locations(locations), &receivers).await;
        }
    }

    /// Updates the reach that the traffic thread reads from the number of peers seen recently, if limits are enforced.
    fn update_reach(&self, seeds: &[Address], now: Timestamp) {
        if !self.learner.enforces_tenant_limits() {
            return;
        }
        let seeds_name_others = seeds.iter().any(|seed| *seed != self.own.control);
        let recent = self.table.borrow().recent(now).len();
        if let Some(isolated) = self.fleet_reach.set_peers(recent, seeds_name_others, now) {
            log::warn!(event = "reach_changed", isolated, peers = recent; "");
        }
        if let Some(ShareChange { share, peers, most_peers }) = self.fleet_reach.take_share_change(now) {
            log::info!(event = "grant_share_changed", share, peers, most_peers; "");
        }
    }

    /// Asks a random peer for the limits of the configuration in force while they are missing.
    async fn request_limits(&self) {
        let Some(query) = self.limits.query() else {
            return;
        };
        let recent = self.recent(self.learner.clock().now());
        let peer = fastrand::choice(recent);
        self.send_to(&PeerMessage::TenantLimitsWanted(query), peer.as_slice()).await;
    }

    /// Sends the limits that a peer asks for, in a task of its own, so that receiving goes on.
    fn answer_limits(&self, query: TenantLimitQuery) {
        let notices = self.limits.answer(&query);
        if notices.is_empty() {
            return;
        }
        let exchange = self.clone();
        tokio::task::spawn_local(async move {
            for notice in notices {
                exchange.send_to(&PeerMessage::TenantLimits(notice), &[query.sender]).await;
            }
        });
    }

    /// Sends the versions that a peer queries, in a task of its own, so that receiving goes on.
    fn answer_version_query(&self, query: VersionQuery) {
        let notices = self.learner.version_notices(&query.back_ends, self.own.control);
        let exchange = self.clone();
        tokio::task::spawn_local(async move {
            for notice in notices {
                exchange.send_to(&PeerMessage::Versions(notice), &[query.sender]).await;
            }
        });
    }

    /// Starts a pull of a newer directory from a peer when this node's has not been confirmed for some time. It runs in
    /// a task of its own, so that digests go on meanwhile.
    fn pull_if_behind(&self) {
        let now = self.learner.clock().now();
        let confirmed = self.learner.knowledge().directory_confirmed_at;
        let is_fresh = confirmed.is_some_and(|confirmed_at| now.since(confirmed_at) <= DIRECTORY_FRESH);
        if is_fresh || self.pull_in_progress.get() {
            return;
        }
        let own = self.learner.directory_position().unwrap_or_default();
        let ahead = self.table.borrow().ahead(None, Some(own), now, &mut fastrand::Rng::new());
        let Some(peer) = ahead else {
            return;
        };
        self.pull_in_progress.set(true);
        let exchange = self.clone();
        tokio::task::spawn_local(async move {
            match exchange.pull(peer).await {
                Ok(answer) => exchange.learner.apply_answer(exchange.learner.with_own_era(peer, answer), now),
                Err(error) => log::warn!(event = "pull_failed", peer:% = peer, error:% = error; ""),
            }
            exchange.pull_in_progress.set(false);
        });
    }

    async fn pull(&self, peer: Address) -> Result<PullAnswer, PeersError> {
        let mut stream = connect(peer, PULL_TIME_LIMIT).await?;
        let pull = self.learner.pull_for(peer, self.learner.pull_of_directory(Duration::ZERO));
        ask(&mut stream, &pull, TransferTimeouts::with_first_byte(PULL_TIME_LIMIT)).await
    }
}

/// Answers one pull after the other, each when there is an update or its wait is over.
async fn answer_pulls_on(stream: &mut TcpStream, learner: &Learner, metrics: &RelayMetrics) -> Result<(), PeersError> {
    stream.set_nodelay(true)?;
    set_liveness(stream, SILENCE_TIME_LIMIT);
    let mut updates = learner.updates();
    loop {
        let pull: Pull = read_message(stream, TransferTimeouts::with_first_byte(PULL_IDLE_LIMIT)).await?;
        let asked_at = learner.clock().now();
        if pull.wait_millis > 0 {
            let wait = Duration::from_millis(u64::from(pull.wait_millis));
            // Updates in the last answer are already seen. The sender lives as long as the learner.
            let _ = timeout(wait, updates.changed()).await;
        }
        updates.mark_unchanged();
        let answer = learner.answer(pull, learner.clock().now().since(asked_at));
        let bytes = write_message(stream, &answer, TransferTimeouts::with_first_byte(PULL_TIME_LIMIT)).await?;
        metrics.record_node_messages(NodeMessageKind::Feed, 1, bytes);
    }
}
