//! The duty of ordering how many engines there are.

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
use crate::protocol::{ControlStore, DutyReceiver, DutyRight, StoreError, WriteEnd};

/// Engines are ordered on a directory that was confirmed within this time only.
const DIRECTORY_FRESH: Duration = Duration::from_secs(2);

/// The engines of a service are counted as its size once their number has stood for so long: while a system starts, they
/// come one after the other.
const SIZE_STANDS: Duration = Duration::from_millis(800);

/// What the duty is given.
pub struct FleetDutyParts<S, D> {
    /// The node's name.
    pub node: NodeName,
    /// The store.
    pub store: S,
    /// What takes orders.
    pub receiver: D,
    /// How the number of engines is decided.
    pub policy: FleetPolicyConfig,
    /// The node's clock.
    pub clock: Clock,
    /// Counters.
    pub metrics: RelayMetrics,
}

/// The duty at this node.
pub struct FleetDuty<S, D> {
    node: NodeName,
    store: S,
    receiver: D,
    policy: FleetPolicy,
    clock: Clock,
    metrics: RelayMetrics,
    /// What services were sized for, and the era of the store that is known to keep it.
    baselines: BTreeMap<ServiceName, (FleetBaseline, StoreEra)>,
    /// The engines that a service without a baseline was last seen with, and since when.
    sizes: BTreeMap<ServiceName, (u32, Timestamp)>,
    orders: FleetOrders,
    pacing: Pacing,
}

impl<S: ControlStore, D: DutyReceiver> FleetDuty<S, D> {
    /// The duty at a node that has just started.
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

    /// Goes by other limits from now on.
    pub fn set_config(&mut self, policy: FleetPolicyConfig) {
        self.policy = FleetPolicy::new(policy);
    }

    /// Notes that another node may hold the lease.
    pub fn hand_over(&mut self) {
        self.orders.hand_over();
    }

    /// The orders that are due, for which the lease is needed. `is_serving` tells that requests are under way, so that
    /// nothing may go before its replacement is there.
    pub async fn due(&mut self, knowledge: &Knowledge, is_serving: bool) -> Vec<FleetOrder> {
        let now = self.clock.now();
        let is_fresh = knowledge.directory_confirmed_at.is_some_and(|at| now.since(at) < DIRECTORY_FRESH);
        if !self.policy.is_enabled() || !is_fresh || self.pacing.pauses(now) {
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

    /// What `service` was sized for, as the store keeps it: a holder that comes later sees engines that were ordered. In another `era` the
    /// store may have lost it.
    async fn baseline(
        &mut self,
        service: &ServiceName,
        present: &FleetPlan,
        era: StoreEra,
        now: Timestamp,
    ) -> Option<FleetBaseline> {
        let known = self.baselines.get(service).copied();
        match known {
            Some((baseline, kept_in)) if kept_in >= era => Some(baseline),
            Some((baseline, _)) => self.keep(service, baseline).await.or(Some(baseline)),
            None => {
                let engines = self.standing_size(service, present, now)?;
                self.keep(service, FleetBaseline { engines }).await
            }
        }
    }

    /// The number of engines of `service`, once it has stood for some time.
    fn standing_size(&mut self, service: &ServiceName, present: &FleetPlan, now: Timestamp) -> Option<u32> {
        let engines: u32 = present.values().map(|zone| zone.on_demand + zone.preemptible).sum();
        let size = self.sizes.entry(service.clone()).or_insert((engines, now));
        if size.0 != engines {
            *size = (engines, now);
        }
        (engines > 0 && now.since(size.1) >= SIZE_STANDS).then_some(engines)
    }

    /// What the store keeps of `service`'s size; `own` where it keeps nothing, which is kept from now on.
    async fn keep(&mut self, service: &ServiceName, own: FleetBaseline) -> Option<FleetBaseline> {
        let kept = match self.store.read_baseline(service).await {
            Ok(kept) => kept,
            Err(error) => return self.failed("fleet_read", &error),
        };
        let baseline = match kept.baseline {
            Some(baseline) => baseline,
            None => {
                if kept.version.revision.is_some() {
                    let (engines, consequence) = (own.engines, "the service is sized for so many engines");
                    log::error!(event = "fleet_size_spoiled", service:% = service, engines, consequence; "");
                }
                match self.store.keep_baseline(service, own, kept.version).await {
                    Ok(WriteEnd::Written(_)) => own,
                    // Another node has kept one meanwhile, which is read at the next step.
                    Ok(WriteEnd::Conflict) => return None,
                    Err(error) => return self.failed("fleet_write", &error),
                }
            }
        };
        let era = kept.version.era;
        log::info!(event = "fleet_size", service:% = service, engines = baseline.engines, is_kept = kept.baseline.is_some(), era = era.number(); "");
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

    /// Gives orders, as the holder of the lease under `term`.
    pub async fn act(&mut self, lease: &mut LeaseKeeper<S>, term: Term, due: Vec<FleetOrder>) {
        for (service, zone, kind) in self.orders.renewed(term, self.clock.now()) {
            let kind = kind.code();
            log::info!(event = "fleet_scarce", service:% = service, zone:% = zone, kind; "");
        }
        for order in due {
            // Looked at last: a process that was paused, or waited for an answer, may have lost the lease meanwhile.
            if lease.order_until().is_none_or(|until| self.clock.now() >= until) {
                return;
            }
            let right = DutyRight { holder: &self.node, term, time_limit: lease.order_time_limit() };
            let answer = self.receiver.order_fleet(&right, &order).await;
            self.note_answer(&order, term, answer, lease);
        }
    }

    fn note_answer(&mut self, order: &FleetOrder, term: Term, answer: DutyAnswer, lease: &mut LeaseKeeper<S>) {
        let (kind, engines, code) = (order.kind.code(), order.engines, answer.code());
        let (service, zone) = (&order.service, &order.zone);
        log::info!(event = "fleet_ordered", service:% = service, zone:% = zone, kind, engines, term = term.0, answer = code; "");
        self.metrics.record_duty_call("fleet", code);
        self.orders.answered(order, term, answer, self.clock.now());
        match answer {
            // It may be a higher term that was seen. The lease shows it: nothing is ordered before it is renewed.
            DutyAnswer::Conflict | DutyAnswer::Unknown => lease.doubt(),
            DutyAnswer::Throttled | DutyAnswer::NotSent => drop(self.pacing.failed(self.clock.now())),
            DutyAnswer::Taken | DutyAnswer::NotUnderstood => self.pacing.succeeded(),
        }
    }
}

/// The engines of `service` that may be used, by zone.
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
