//! The task that does the duties: every node tells the candidates what it has seen, one of them holds the lease and acts.

use std::time::Duration;

use havengate_core::duties::{HolderId, HolderWatch, HolderWatchConfig, Lease, candidates};
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
use crate::control::stages::{Steering, SteeringParts};
use crate::demand::SharedDemand;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, DutyReceiver, Protocol};
use crate::usage::SharedUsage;

/// How often a node looks what there is to do.
const STEP: Duration = Duration::from_millis(200);

/// A node does no duty for this time after its start: it has to hear of its peers, who may be at it.
const SETTLING: Duration = Duration::from_secs(3);

/// Requests are under way while demand was reported within this time: some times the pause between reports.
const DEMAND_RECENT: Duration = Duration::from_secs(5);

/// What the task is given.
pub struct DutyParts<P, S, D> {
    /// The node's name.
    pub node: NodeName,
    /// Where peers reach this node; names it among them.
    pub own: Address,
    /// Its settings, which a reload may change.
    pub settings: watch::Receiver<DutySettings>,
    /// What engines speak.
    pub protocol: P,
    /// The store.
    pub store: S,
    /// What takes the calls of duties; `None`: there are none.
    pub receiver: Option<D>,
    /// What this node's callers ask for.
    pub demand: SharedDemand,
    /// What this node's callers have used.
    pub usage: SharedUsage,
    /// What back ends have said of themselves in answers.
    pub notices: SharedNotices,
    /// What the node knows.
    pub learner: Learner,
    /// The exchange with peers.
    pub peers: PeerExchange,
    /// Counters.
    pub metrics: RelayMetrics,
}

/// The duties at this node.
pub struct Duties<P, S, D> {
    own: Address,
    settings: watch::Receiver<DutySettings>,
    lease: LeaseKeeper<S>,
    watch: HolderWatch,
    steering: Steering<P>,
    usage: Option<UsageDuty<S, D>>,
    fleet: Option<FleetDuty<S, D>>,
    learner: Learner,
    peers: PeerExchange,
    started: Timestamp,
    acts: bool,
}

impl<P: Protocol, S: ControlStore, D: DutyReceiver> Duties<P, S, D> {
    /// The duties at a node that has just started.
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
            metrics,
        } = parts;
        let clock = learner.clock();
        let initial = *settings.borrow();
        let life = fastrand::u64(..);
        let lease = Lease::new(initial.lease.lease(), HolderId { node: node.clone(), life });
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
                life,
                store: store.clone(),
                receiver,
                usage,
                peers: peers.clone(),
                learner: learner.clone(),
                metrics: metrics.clone(),
            })
        });
        let steering = Steering::new(SteeringParts {
            node,
            own,
            life,
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
            steering,
            usage,
            fleet,
            learner,
            peers,
            started: clock.now(),
            acts: false,
        }
    }

    /// Does the duties for ever.
    pub async fn run(mut self) {
        let mut ticks = interval(STEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.settings.has_changed().unwrap_or(false) {
                let settings = *self.settings.borrow_and_update();
                self.steering.set_config(settings.stages);
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
        self.steering.report(&candidates).await;
        if let (Some(usage), Some(config)) = (&mut self.usage, &usage_config) {
            usage.tell(&candidates, config).await;
        }
        let acts = self.is_to_act(&candidates, now);
        self.note_acting(acts);
        let knowledge = self.learner.knowledge();
        let stages_wanted = self.steering.prepare(&knowledge, acts, &mut self.lease).await;
        if !acts {
            return;
        }
        let last_demand = self.peers.demand().borrow().last_demand();
        let is_serving = last_demand.is_some_and(|last| now.since(last) < DEMAND_RECENT);
        let fleet_due = match &mut self.fleet {
            Some(fleet) => fleet.due(&knowledge, is_serving).await,
            None => Vec::new(),
        };
        let is_open = self.fleet.as_ref().is_some_and(FleetDuty::has_refused);
        let usage_config = usage_config.filter(|config| self.usage.as_ref().is_some_and(|usage| usage.is_due(config)));
        let is_needed = stages_wanted.is_needed() || usage_config.is_some() || !fleet_due.is_empty() || is_open;
        let term = if is_needed { self.lease.authority().await } else { None };
        if let (Some(term), Some(fleet)) = (term, &mut self.fleet) {
            fleet.act(&mut self.lease, term, fleet_due).await;
        }
        self.steering.act(&knowledge, stages_wanted, term, &mut self.lease).await;
        if let (Some(term), Some(usage), Some(config)) = (term, &mut self.usage, &usage_config) {
            usage.act(&mut self.lease, term, config).await;
        }
    }

    fn is_to_act(&mut self, candidates: &[Address], now: Timestamp) -> bool {
        let demand = self.peers.demand();
        let holds = self.lease.term().is_some();
        let heard_at = |candidate| demand.borrow().heard_at(candidate);
        let is_to_act = self.watch.should_act(candidates, holds, heard_at, now);
        is_to_act && now.since(self.started) >= SETTLING
    }

    fn note_acting(&mut self, acts: bool) {
        if self.acts == acts {
            return;
        }
        self.acts = acts;
        log::info!(event = "duties_holder", acts; "");
        if !acts {
            self.steering.hand_over();
            if let Some(usage) = &mut self.usage {
                usage.hand_over();
            }
            if let Some(fleet) = &mut self.fleet {
                fleet.hand_over();
            }
            self.lease.doubt();
        }
    }
}
