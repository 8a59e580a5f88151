//! The duty of ordering the number of engines.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::Usability;
use havengate_core::duties::DutyAnswer;
use havengate_core::duties::fleet::{
    EngineKind, FleetBaseline, FleetOrder, FleetOrders, FleetOrdersConfig, FleetPlan, FleetPolicy, FleetPolicyConfig,
    ZoneFleet,
};
use havengate_core::routing::ServiceDescription;
use havengate_core::store::StoreEra;
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::{NodeName, ServiceName};
use havengate_node::clock::Clock;

use super::lease_keeper::LeaseKeeper;
use super::pacing::Pacing;
use crate::knowledge::Knowledge;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, DutyReceiver, DutyRight, StoreError, WriteOutcome};

/// Engines are ordered only on a directory that was confirmed within this time.
const DIRECTORY_AGE_MAXIMUM: Duration = Duration::from_secs(2);

/// The number of a service's engines is taken as its size once it has been stable for this time: while a system starts,
/// engines appear one after the other.
const SIZE_STABLE_TIME: Duration = Duration::from_millis(800);

/// Dependencies of [`FleetDuty`].
pub struct FleetDutyParts<S, D> {
    /// The node's name.
    pub node: NodeName,
    /// The store.
    pub store: S,
    /// Receiver of orders.
    pub receiver: D,
    /// The policy for the number of engines.
    pub policy: FleetPolicyConfig,
    /// The node's clock.
    pub clock: Clock,
    /// The node's metrics.
    pub metrics: RelayMetrics,
}

/// The fleet duty of this node.
pub struct FleetDuty<S, D> {
    node: NodeName,
    store: S,
    receiver: D,
    policy: FleetPolicy,
    clock: Clock,
    metrics: RelayMetrics,
    /// The size of each service, and the era of the store that is known to hold it.
    baselines: BTreeMap<ServiceName, (FleetBaseline, StoreEra)>,
    /// The last observed number of engines of each service without a baseline, and since when.
    sizes: BTreeMap<ServiceName, (u32, Timestamp)>,
    orders: FleetOrders,
    pacing: Pacing,
}

impl<S: ControlStore, D: DutyReceiver> FleetDuty<S, D> {
    /// Creates the duty of a node that has just started.
    pub fn new(parts: FleetDutyParts<S, D>) -> Self {
        let FleetDutyParts { node, store, receiver, policy, clock, metrics } = parts;
        FleetDuty {
            node,
            store,
            receiver,
            policy: FleetPolicy::new(policy),
            clock,
            metrics,
            baselines: BTreeMap::new(),
            sizes: BTreeMap::new(),
            orders: FleetOrders::new(FleetOrdersConfig::default()),
            pacing: Pacing::default(),
        }
    }

    /// Replaces the policy limits.
    pub fn set_config(&mut self, policy: FleetPolicyConfig) {
        self.policy = FleetPolicy::new(policy);
    }

    /// Records that another node may hold the lease.
    pub fn hand_over(&mut self) {
        self.orders.hand_over();
    }

    /// The orders that are due; sending them requires the lease. `is_serving` means that requests are in progress, so
    /// that no engine may be removed before its replacement is present.
    pub async fn due(&mut self, knowledge: &Knowledge, is_serving: bool) -> Vec<FleetOrder> {
        let now = self.clock.now();
        let is_fresh = knowledge.directory_confirmed_at.is_some_and(|at| now.since(at) < DIRECTORY_AGE_MAXIMUM);
        if !self.policy.is_enabled() || !is_fresh || self.pacing.is_waiting(now) {
            return Vec::new();
        }
        let Some(active) = knowledge.configuration.clone() else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for service in &active.configuration.services {
            due.extend(self.due_of(service, knowledge, is_serving, now).await);
        }
        due
    }

    async fn due_of(
        &mut self,
        service: &ServiceDescription,
        knowledge: &Knowledge,
        is_serving: bool,
        now: Timestamp,
    ) -> Vec<FleetOrder> {
        let Some(limits) = &service.fleet else {
            return Vec::new();
        };
        let present = present_of(knowledge, &service.name, now);
        let era = knowledge.directory.position().era;
        let Some(baseline) = self.baseline(&service.name, &present, era, now).await else {
            return Vec::new();
        };
        let Some(plan) = self.policy.plan(limits, baseline) else {
            return Vec::new();
        };
        self.orders.due(&service.name, &plan, &present, limits.boot_time, is_serving, now)
    }

    /// The size of `service` as the store holds it, because a later holder also sees engines that were ordered. In
    /// another `era` the store may have lost it.
    async fn baseline(
        &mut self,
        service: &ServiceName,
        present: &FleetPlan,
        era: StoreEra,
        now: Timestamp,
    ) -> Option<FleetBaseline> {
        let known = self.baselines.get(service).copied();
        match known {
            Some((baseline, stored_in)) if stored_in >= era => Some(baseline),
            Some((baseline, _)) => self.read_or_store(service, baseline).await.or(Some(baseline)),
            None => {
                let engines = self.stable_size(service, present, now)?;
                self.read_or_store(service, FleetBaseline { engines }).await
            }
        }
    }

    /// The number of engines of `service`, once it has been stable for [`SIZE_STABLE_TIME`].
    fn stable_size(&mut self, service: &ServiceName, present: &FleetPlan, now: Timestamp) -> Option<u32> {
        let engines: u32 = present.values().map(|zone| zone.on_demand + zone.preemptible).sum();
        let size = self.sizes.entry(service.clone()).or_insert((engines, now));
        if size.0 != engines {
            *size = (engines, now);
        }
        (engines > 0 && now.since(size.1) >= SIZE_STABLE_TIME).then_some(engines)
    }

    /// The stored size of `service`; stores and returns `proposed` if there is none.
    async fn read_or_store(&mut self, service: &ServiceName, proposed: FleetBaseline) -> Option<FleetBaseline> {
        let stored = match self.store.read_baseline(service).await {
            Ok(stored) => stored,
            Err(error) => return self.failed("fleet_read", &error),
        };
        let baseline = match stored.baseline {
            Some(baseline) => baseline,
            None => {
                if stored.version.revision.is_some() {
                    let (engines, consequence) =
                        (proposed.engines, "the present number of engines becomes the size of the service");
                    log::error!(event = "fleet_size_spoiled", service:% = service, engines, consequence; "");
                }
                match self.store.write_baseline(service, proposed, stored.version).await {
                    Ok(WriteOutcome::Written(_)) => proposed,
                    // Another node has stored a size in the meantime, which is read in the next step.
                    Ok(WriteOutcome::Conflict) => return None,
                    Err(error) => return self.failed("fleet_write", &error),
                }
            }
        };
        let era = stored.version.era;
        log::info!(event = "fleet_size", service:% = service, engines = baseline.engines, is_kept = stored.baseline.is_some(), era = era.number(); "");
        self.baselines.insert(service.clone(), (baseline, era));
        Some(baseline)
    }

    fn failed<T>(&mut self, call: &'static str, error: &StoreError) -> Option<T> {
        self.metrics.record_store_call(call, "failed");
        let pause_ms = whole_millis(self.pacing.failed(self.clock.now()));
        log::warn!(event = "fleet_store_failed", call, error:% = error, pause_ms; "");
        None
    }

    /// Whether the lease has to be renewed to learn why an order was refused.
    pub fn has_refused(&self) -> bool {
        self.orders.has_refused()
    }

    /// Sends the `due` orders as the holder of the lease under `term`.
    pub async fn act(&mut self, lease: &mut LeaseKeeper<S>, term: Term, due: Vec<FleetOrder>) {
        for (service, zone, kind) in self.orders.renewed(term, self.clock.now()) {
            let kind = kind.code();
            log::info!(event = "fleet_scarce", service:% = service, zone:% = zone, kind; "");
        }
        for order in due {
            // Checked last: the process may have lost the lease while it was paused or waiting for an answer.
            if lease.order_until().is_none_or(|until| self.clock.now() >= until) {
                return;
            }
            let right = DutyRight { holder: &self.node, term, time_limit: lease.order_time_limit() };
            let answer = self.receiver.order_fleet(&right, &order).await;
            self.record_answer(&order, term, answer, lease);
        }
    }

    fn record_answer(&mut self, order: &FleetOrder, term: Term, answer: DutyAnswer, lease: &mut LeaseKeeper<S>) {
        let (kind, engines, code) = (order.kind.code(), order.engines, answer.code());
        let (service, zone) = (&order.service, &order.zone);
        log::info!(event = "fleet_ordered", service:% = service, zone:% = zone, kind, engines, term = term.0, answer = code; "");
        self.metrics.record_duty_call("fleet", code);
        self.orders.answered(order, term, answer, self.clock.now());
        match answer {
            // The receiver may have seen a higher term. The lease shows whether it has: nothing is ordered before it is
            // renewed.
            DutyAnswer::Conflict | DutyAnswer::Unknown => lease.suspend_orders(),
            DutyAnswer::Throttled | DutyAnswer::NotSent => drop(self.pacing.failed(self.clock.now())),
            DutyAnswer::Taken | DutyAnswer::NotUnderstood => self.pacing.succeeded(),
        }
    }
}

/// The usable engines of `service` by zone.
fn present_of(knowledge: &Knowledge, service: &ServiceName, now: Timestamp) -> FleetPlan {
    let mut present = FleetPlan::new();
    let usable = knowledge.directory.of_service(service).filter(|entry| entry.usability(now) == Usability::Usable);
    for entry in usable {
        let zone: &mut ZoneFleet = present.entry(entry.back_end.zone.clone()).or_default();
        match kind_of(entry.back_end.preemptible) {
            EngineKind::OnDemand => zone.on_demand += 1,
            EngineKind::Preemptible => zone.preemptible += 1,
        }
    }
    present
}

fn kind_of(preemptible: bool) -> EngineKind {
    if preemptible { EngineKind::Preemptible } else { EngineKind::OnDemand }
}
