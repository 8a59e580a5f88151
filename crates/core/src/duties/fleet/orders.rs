//! Decides which orders bring a service to its plan, and when an order is repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use super::policy::{EngineKind, FleetPlan, ZoneFleet};
use crate::authority::Term;
use crate::duties::DutyAnswer;
use crate::time::Timestamp;
use crate::world::{ServiceName, ZoneName};

/// An order that sets how many engines of a kind a service has in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The kind.
    pub kind: EngineKind,
    /// The number of engines to have.
    pub engines: u32,
}

/// Limits of [`FleetOrders`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetOrdersConfig {
    /// Engines that are still missing this long after their boot time are ordered again: some have terminated, or a call of
    /// an earlier holder took effect late.
    pub retry_after: Duration,
    /// After an order was refused for lack of capacity, none is sent for the same engines during this time. Each call costs
    /// something, and preempted capacity becomes available again only some seconds later.
    pub scarcity_backoff: Duration,
}

impl Default for FleetOrdersConfig {
    fn default() -> Self {
        FleetOrdersConfig { retry_after: Duration::from_secs(4), scarcity_backoff: Duration::from_millis(2_500) }
    }
}

/// The subject of an order: a service's engines of a kind in a zone.
type Subject = (ServiceName, ZoneName, EngineKind);

#[derive(Clone, Copy, Debug)]
struct IssuedOrder {
    engines: u32,
    issued_at: Timestamp,
}

/// The orders that the holder of the lease has issued.
#[derive(Clone, Debug)]
pub struct FleetOrders {
    config: FleetOrdersConfig,
    issued: BTreeMap<Subject, IssuedOrder>,
    scarce_until: BTreeMap<Subject, Timestamp>,
    /// Refused orders, with the term under which each was sent. The cause is either a higher term or a lack of engines; a
    /// renewal of the lease under the same term shows that it was the lack of engines.
    refused: BTreeMap<Subject, Term>,
}

impl FleetOrders {
    /// The state of a holder that has issued no orders.
    pub fn new(config: FleetOrdersConfig) -> Self {
        FleetOrders { config, issued: BTreeMap::new(), scarce_until: BTreeMap::new(), refused: BTreeMap::new() }
    }

    /// The orders that bring `service` from the `present` engines closer to its `plan`. New engines serve after `boot`. With
    /// `make_before_break`, engines are removed only once their replacements are present.
    pub fn due(
        &self,
        service: &ServiceName,
        plan: &FleetPlan,
        present: &FleetPlan,
        boot: Duration,
        make_before_break: bool,
        now: Timestamp,
    ) -> Vec<FleetOrder> {
        let mut due = Vec::new();
        for (zone, wanted) in plan {
            let current = present.get(zone).copied().unwrap_or_default();
            let step = if make_before_break { next_step(*wanted, current) } else { *wanted };
            // On-demand engines, which are replaced, are reduced first: both kinds together must not exceed the maximum.
            for kind in [EngineKind::OnDemand, EngineKind::Preemptible] {
                let subject = (service.clone(), zone.clone(), kind);
                if self.is_due(&subject, step.of_kind(kind), current.of_kind(kind), boot, now) {
                    let engines = step.of_kind(kind);
                    due.push(FleetOrder { service: service.clone(), zone: zone.clone(), kind, engines });
                }
            }
        }
        due
    }

    fn is_due(&self, subject: &Subject, wanted: u32, current: u32, boot: Duration, now: Timestamp) -> bool {
        let is_scarce = self.scarce_until.get(subject).is_some_and(|until| now < *until);
        if wanted == current || is_scarce || self.refused.contains_key(subject) {
            return false;
        }
        match self.issued.get(subject) {
            Some(issued) if issued.engines == wanted => now.since(issued.issued_at) >= boot + self.config.retry_after,
            _ => true,
        }
    }

    /// Records the answer to `order`, which was sent under `term`.
    pub fn answered(&mut self, order: &FleetOrder, term: Term, answer: DutyAnswer, now: Timestamp) {
        let subject = (order.service.clone(), order.zone.clone(), order.kind);
        match answer {
            DutyAnswer::Taken => {
                self.issued.insert(subject, IssuedOrder { engines: order.engines, issued_at: now });
            }
            DutyAnswer::Conflict => {
                self.refused.insert(subject, term);
            }
            // A repeated order would be refused as well.
            DutyAnswer::NotUnderstood => {
                self.issued.insert(subject, IssuedOrder { engines: order.engines, issued_at: now });
            }
            // The order may take effect late, after newer ones. The present engines then show it, and are ordered again.
            DutyAnswer::Unknown => drop(self.issued.remove(&subject)),
            DutyAnswer::Throttled | DutyAnswer::NotSent => {}
        }
    }

    /// Whether the cause of a refusal is still unresolved; the next renewal of the lease resolves it.
    pub fn has_refused(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Records that the lease was renewed under `term`. Orders that were refused under the same term were refused for lack
    /// of engines; returns their subjects.
    pub fn renewed(&mut self, term: Term, now: Timestamp) -> Vec<(ServiceName, ZoneName, EngineKind)> {
        let refused = std::mem::take(&mut self.refused);
        let scarce: Vec<Subject> =
            refused.into_iter().filter(|(_, refused_term)| *refused_term == term).map(|entry| entry.0).collect();
        for subject in &scarce {
            self.scarce_until.insert(subject.clone(), now + self.config.scarcity_backoff);
        }
        scarce
    }

    /// Forgets all issued orders: another node may issue orders from now on.
    pub fn hand_over(&mut self) {
        *self = FleetOrders::new(self.config);
    }
}

/// The first step from `current` to `wanted` that removes no capacity before its replacement is present: engines are added as
/// far as the total of `wanted` leaves room beside the current ones, which stay in the meantime.
fn next_step(wanted: ZoneFleet, current: ZoneFleet) -> ZoneFleet {
    let total = wanted.on_demand + wanted.preemptible;
    let room = total.saturating_sub(current.on_demand);
    let preemptible = wanted.preemptible.min(room);
    let on_demand =
        if current.preemptible >= preemptible { wanted.on_demand } else { current.on_demand.max(wanted.on_demand) };
    ZoneFleet { on_demand, preemptible }
}
