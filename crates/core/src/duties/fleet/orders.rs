//! Which orders bring a service to its plan, and when one is given again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::policy::{EngineKind, FleetPlan, ZoneFleet};
use crate::authority::Term;
use crate::duties::DutyAnswer;
use crate::time::Timestamp;
use crate::world::{ServiceName, ZoneName};

/// An order of how many engines of a kind a service is to have in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The kind.
    pub kind: EngineKind,
    /// How many there are to be.
    pub engines: u32,
}

/// Limits of [`FleetOrders`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetOrdersConfig {
    /// Engines that are not there so long after their boot time are ordered again: some have ended, or a call of an earlier
    /// holder came to pass late.
    pub again_after: Duration,
    /// Where none were to be had, none are asked for during this time. Each call has a price, and what was taken away at
    /// once comes back some seconds later.
    pub scarce: Duration,
}

impl Default for FleetOrdersConfig {
    fn default() -> Self {
        FleetOrdersConfig { again_after: Duration::from_secs(4), scarce: Duration::from_millis(2_500) }
    }
}

/// What orders are about: a service's engines of a kind in a zone.
type Subject = (ServiceName, ZoneName, EngineKind);

#[derive(Clone, Copy, Debug)]
struct Given {
    engines: u32,
    at: Timestamp,
}

/// What the holder has ordered.
#[derive(Clone, Debug)]
pub struct FleetOrders {
    config: FleetOrdersConfig,
    given: BTreeMap<Subject, Given>,
    scarce_until: BTreeMap<Subject, Timestamp>,
    /// Orders that were refused, for a higher term or since there are no such engines: which of the two shows by whether
    /// the lease is renewed under the same term.
    refused: BTreeMap<Subject, Term>,
}

impl FleetOrders {
    /// Orders of a holder that has given none.
    pub fn new(config: FleetOrdersConfig) -> Self {
        FleetOrders { config, given: BTreeMap::new(), scarce_until: BTreeMap::new(), refused: BTreeMap::new() }
    }

    /// The orders that bring `service` from the engines `present` nearer to its `plan`. New engines serve after `boot`. With
    /// `unhurried`, what is to go stays until what is to come is there.
    pub fn due(
        &self,
        service: &ServiceName,
        plan: &FleetPlan,
        present: &FleetPlan,
        boot: Duration,
        unhurried: bool,
        now: Timestamp,
    ) -> Vec<FleetOrder> {
        let mut due = Vec::new();
        for (zone, wanted) in plan {
            let there = present.get(zone).copied().unwrap_or_default();
            let step = if unhurried { next_step(*wanted, there) } else { *wanted };
            // What goes is ordered first: both kinds together must not exceed the most.
            for kind in [EngineKind::OnDemand, EngineKind::Preemptible] {
                let subject = (service.clone(), zone.clone(), kind);
                if self.is_due(&subject, step.of_kind(kind), there.of_kind(kind), boot, now) {
                    let engines = step.of_kind(kind);
                    due.push(FleetOrder { service: service.clone(), zone: zone.clone(), kind, engines });
                }
            }
        }
        due
    }

    fn is_due(&self, subject: &Subject, wanted: u32, there: u32, boot: Duration, now: Timestamp) -> bool {
        let is_scarce = self.scarce_until.get(subject).is_some_and(|until| now < *until);
        if wanted == there || is_scarce || self.refused.contains_key(subject) {
            return false;
        }
        match self.given.get(subject) {
            Some(given) if given.engines == wanted => now.since(given.at) >= boot + self.config.again_after,
            _ => true,
        }
    }

    /// Takes in how `order` was answered, which was given under `term`.
    pub fn answered(&mut self, order: &FleetOrder, term: Term, answer: DutyAnswer, now: Timestamp) {
        let subject = (order.service.clone(), order.zone.clone(), order.kind);
        match answer {
            DutyAnswer::Taken => {
                self.given.insert(subject, Given { engines: order.engines, at: now });
            }
            DutyAnswer::Conflict => {
                self.refused.insert(subject, term);
            }
            // It would be refused again.
            DutyAnswer::NotUnderstood => {
                self.given.insert(subject, Given { engines: order.engines, at: now });
            }
            // It may come to pass late, after newer ones: what is there shows it, and is ordered anew then.
            DutyAnswer::Unknown => drop(self.given.remove(&subject)),
            DutyAnswer::Throttled | DutyAnswer::NotSent => {}
        }
    }

    /// Whether it is open why an order was refused, which the lease shows when it is renewed.
    pub fn has_refused(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Notes that the lease was renewed under `term`. Orders that were refused under the same one were refused since there
    /// are no such engines. Returns those subjects.
    pub fn renewed(&mut self, term: Term, now: Timestamp) -> Vec<(ServiceName, ZoneName, EngineKind)> {
        let refused = std::mem::take(&mut self.refused);
        let scarce: Vec<Subject> = refused.into_iter().filter(|(_, under)| *under == term).map(|of| of.0).collect();
        for subject in &scarce {
            self.scarce_until.insert(subject.clone(), now + self.config.scarce);
        }
        scarce
    }

    /// Forgets what was ordered: another node may order from now on.
    pub fn hand_over(&mut self) {
        *self = FleetOrders::new(self.config);
    }
}

/// The first step from `there` to `wanted` at which no capacity goes before its replacement is there: what is to come comes
/// as far as there is room beside what is there, and what is to go stays meanwhile.
fn next_step(wanted: ZoneFleet, there: ZoneFleet) -> ZoneFleet {
    let total = wanted.on_demand + wanted.preemptible;
    let room = total.saturating_sub(there.on_demand);
    let preemptible = wanted.preemptible.min(room);
    let on_demand =
        if there.preemptible >= preemptible { wanted.on_demand } else { there.on_demand.max(wanted.on_demand) };
    ZoneFleet { on_demand, preemptible }
}
