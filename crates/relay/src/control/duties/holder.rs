//! The task that performs duties: every node reports to the candidates, one of which holds the lease and acts.

use std::time::Duration;

use havengate_core::duties::{HolderId, HolderWatch, HolderWatchConfig, Lease, candidates};
use havengate_core::replication::PeerMessage;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, NodeName};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use super::fleet_duty::{FleetDuty, FleetDutyParts};
use super::lease_keeper::LeaseKeeper;
use super::settings::DutySettings;
use super::usage_duty::{UsageDuty, UsageDutyParts};
use crate::back_ends::SharedNotices;
use crate::control::learner::Learner;
use crate::control::peers::PeerExchange;
use crate::control::stages::{StageController, StageControllerParts};
use crate::demand::SharedDemand;
use crate::metrics::RelayMetrics;
use crate::paths::SharedPathLoss;
use crate::protocol::{ControlStore, DutyReceiver, Protocol};
use crate::usage::SharedUsage;

/// Interval between two steps of the task.
const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// A node performs no duties for this time after its start: it has to learn of its peers first, one of which may be
/// performing them.
const STARTUP_DELAY: Duration = Duration::from_secs(3);

/// Requests count as in progress if demand was reported within this time: a few times the interval between reports.
const DEMAND_AGE_MAXIMUM: Duration = Duration::from_secs(5);

/// Interval at which a node that can't perform duties declares it.
const DECLARATION_INTERVAL: Duration = Duration::from_secs(1);

/// Dependencies of [`Duties`].
pub struct DutyParts<P, S, D> {
    /// The node's name.
    pub node: NodeName,
    /// The node's peer address, which identifies it among its peers.
    pub own: Address,
    /// The settings of duties, which a reload may change.
    pub settings: watch::Receiver<DutySettings>,
    /// Protocol of the engines.
    pub protocol: P,
    /// The store.
    pub store: S,
    /// Receiver of the calls of duties; `None` if there is none.
    pub receiver: Option<D>,
    /// Demand of this node's callers.
    pub demand: SharedDemand,
    /// Usage of this node's callers.
    pub usage: SharedUsage,
    /// Notices that back ends sent with their answers.
    pub notices: SharedNotices,
    /// State that the node has learned.
    pub learner: Learner,
    /// The exchange with peers.
    pub peers: PeerExchange,
    /// Whether the node has lost its paths to engines.
    pub engine_path_loss: SharedPathLoss,
    /// The node's metrics.
    pub metrics: RelayMetrics,
}

/// The duties of this node.
pub struct Duties<P, S, D> {
    own: Address,
    settings: watch::Receiver<DutySettings>,
    lease: LeaseKeeper<S>,
    watch: HolderWatch,
    stage_controller: StageController<P>,
    usage: Option<UsageDuty<S, D>>,
    fleet: Option<FleetDuty<S, D>>,
    learner: Learner,
    peers: PeerExchange,
    engine_path_loss: SharedPathLoss,
    declared_unavailable_at: Option<Timestamp>,
    started: Timestamp,
    acts: bool,
}

impl<P: Protocol, S: ControlStore, D: DutyReceiver> Duties<P, S, D> {
    /// Creates the duties of a node that has just started.
    pub fn new(parts: DutyParts<P, S, D>) -> Self {
        let DutyParts {
            node,
            own,
            settings,
            protocol,
            store,
            receiver,
            demand,
            usage,
            notices,
            learner,
            peers,
            engine_path_loss,
            metrics,
        } = parts;
        let clock = learner.clock();
        let initial = *settings.borrow();
        let incarnation = fastrand::u64(..);
        let lease = Lease::new(initial.lease.lease(), HolderId { node: node.clone(), life: incarnation });
        let fleet = receiver.clone().map(|receiver| {
            FleetDuty::new(FleetDutyParts {
                node: node.clone(),
                store: store.clone(),
                receiver,
                policy: initial.fleet,
                clock,
                metrics: metrics.clone(),
            })
        });
        let usage = receiver.map(|receiver| {
            UsageDuty::new(UsageDutyParts {
                node: node.clone(),
                own,
                incarnation,
                store: store.clone(),
                receiver,
                usage,
                peers: peers.clone(),
                learner: learner.clone(),
                metrics: metrics.clone(),
            })
        });
        let stage_controller = StageController::new(StageControllerParts {
            node,
            own,
            incarnation,
            policy: initial.stages,
            protocol,
            demand: demand.clone(),
            notices,
            learner: learner.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
        });
        Duties {
            own,
            settings,
            lease: LeaseKeeper::new(lease, store, learner.clone(), metrics),
            watch: HolderWatch::new(HolderWatchConfig::default(), own),
            stage_controller,
            usage,
            fleet,
            learner,
            peers,
            engine_path_loss,
            declared_unavailable_at: None,
            started: clock.now(),
            acts: false,
        }
    }

    /// Performs the duties forever.
    pub async fn run(mut self) {
        let mut ticks = interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.settings.has_changed().unwrap_or(false) {
                let settings = *self.settings.borrow_and_update();
                self.stage_controller.set_config(settings.stages);
                if let Some(fleet) = &mut self.fleet {
                    fleet.set_config(settings.fleet);
                }
            }
            self.step().await;
        }
    }

    async fn step(&mut self) {
        let now = self.learner.clock().now();
        let usage_config = self.settings.borrow().usage;
        let candidates = candidates(self.own, &self.peers.recent(now));
        self.stage_controller.report(&candidates).await;
        if let (Some(usage), Some(config)) = (&mut self.usage, &usage_config) {
            usage.send_counts(&candidates, config).await;
        }
        let acts = self.is_to_act(&candidates, now) && !self.yields_duties(&candidates, now).await;
        self.update_acting(acts);
        let knowledge = self.learner.knowledge();
        let stage_work = self.stage_controller.prepare(&knowledge, acts, &mut self.lease).await;
        if !acts {
            return;
        }
        let last_demand = self.peers.demand().borrow().last_demand();
        let is_serving = last_demand.is_some_and(|last| now.since(last) < DEMAND_AGE_MAXIMUM);
        let fleet_due = match &mut self.fleet {
            Some(fleet) => fleet.due(&knowledge, is_serving).await,
            None => Vec::new(),
        };
        let has_refused_orders = self.fleet.as_ref().is_some_and(FleetDuty::has_refused);
        let usage_config = usage_config.filter(|config| self.usage.as_ref().is_some_and(|usage| usage.is_due(config)));
        let is_needed = stage_work.is_needed() || usage_config.is_some() || !fleet_due.is_empty() || has_refused_orders;
        let term = if is_needed { self.lease.authority().await } else { None };
        if let (Some(term), Some(fleet)) = (term, &mut self.fleet) {
            fleet.act(&mut self.lease, term, fleet_due).await;
        }
        self.stage_controller.act(&knowledge, stage_work, term, &mut self.lease).await;
        if let (Some(term), Some(usage), Some(config)) = (term, &mut self.usage, &usage_config) {
            usage.act(&mut self.lease, term, config).await;
        }
    }

    fn is_to_act(&mut self, candidates: &[Address], now: Timestamp) -> bool {
        let demand = self.peers.demand();
        let holds = self.lease.term().is_some();
        let unavailable = |candidate| self.peers.is_unavailable(candidate, now);
        let last_report_at = |candidate| demand.borrow().last_report_at(candidate).filter(|_| !unavailable(candidate));
        let is_to_act = self.watch.should_act(candidates, holds, last_report_at, now);
        is_to_act && now.since(self.started) >= STARTUP_DELAY
    }

    /// Whether this node leaves the duties to another candidate, because it has lost its paths to engines, which its
    /// orders would not reach. The other candidate is notified.
    async fn yields_duties(&mut self, candidates: &[Address], now: Timestamp) -> bool {
        if !self.engine_path_loss.get() {
            return false;
        }
        let is_able = |candidate: &&Address| **candidate != self.own && !self.peers.is_unavailable(**candidate, now);
        let Some(other) = candidates.iter().find(is_able).copied() else {
            return false;
        };
        let is_told = |at: Timestamp| now.since(at) < DECLARATION_INTERVAL;
        if !self.declared_unavailable_at.is_some_and(is_told) {
            self.declared_unavailable_at = Some(now);
            self.peers.send_to(&PeerMessage::DutyUnavailable(self.own), &[other]).await;
        }
        true
    }

    fn update_acting(&mut self, acts: bool) {
        if self.acts == acts {
            return;
        }
        self.acts = acts;
        log::info!(event = "duties_holder", acts; "");
        if !acts {
            self.stage_controller.hand_over();
            if let Some(usage) = &mut self.usage {
                usage.hand_over();
            }
            if let Some(fleet) = &mut self.fleet {
                fleet.hand_over();
            }
            self.lease.suspend_orders();
        }
    }
}
