//! Decides how many engines of each service run prefill, from the policy and the demand of all nodes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use havengate_core::back_ends::{BackEnd, Usability};
use havengate_core::stages::{
    DemandTable, StageChanges, StageCounts, StageDecision, StagePolicy, StagePolicyConfig, StagePolicyName,
    StagedEngine,
};
use havengate_core::time::Timestamp;
use havengate_core::world::ServiceName;

use crate::knowledge::Knowledge;

/// A service whose engines have to change their stage.
pub struct RequiredChange {
    /// The service.
    pub service: ServiceName,
    /// Its usable engines.
    pub engines: Vec<StagedEngine>,
    /// Target number of prefill engines among them.
    pub prefill: usize,
}

/// Stage decisions of this node while it is the one that decides.
pub struct Decisions {
    table: Rc<RefCell<DemandTable>>,
    policy: StagePolicy,
    /// Target number of prefill engines in the last logged decision.
    logged: BTreeMap<ServiceName, usize>,
    /// Since when the target has differed from the present number of prefill engines.
    differs_since: BTreeMap<ServiceName, Timestamp>,
}

impl Decisions {
    /// Creates the decisions of a node without observed load, on the demand in `table`.
    pub fn new(table: Rc<RefCell<DemandTable>>, config: StagePolicyConfig) -> Self {
        Decisions { table, policy: StagePolicy::new(config), logged: BTreeMap::new(), differs_since: BTreeMap::new() }
    }

    /// Replaces the policy limits.
    pub fn set_config(&mut self, config: StagePolicyConfig) {
        self.policy.set_config(config);
    }

    /// Whether a policy other than `none` is configured.
    pub fn has_policy(&self) -> bool {
        self.policy.config().policy != StagePolicyName::None
    }

    /// Passes the loads of completed spans to the policy.
    pub fn take_loads(&mut self, now: Timestamp) {
        let mut table = self.table.borrow_mut();
        table.tick(now);
        for (service, load) in table.take_loads() {
            self.policy.observe(&service, load, now);
        }
    }

    /// Discards the decisions because another node decides from now on. The observed load is kept.
    pub fn hand_over(&mut self) {
        self.logged.clear();
        self.differs_since.clear();
    }

    /// Services whose engines have to change beyond the open `changes`. `is_first` means that no node has decided
    /// before in this system.
    pub fn required_changes(
        &mut self,
        knowledge: &Knowledge,
        changes: &StageChanges,
        is_first: bool,
        now: Timestamp,
    ) -> Vec<RequiredChange> {
        let services = knowledge.configuration.iter().flat_map(|active| &active.configuration.services);
        services
            .filter_map(|service| self.required_change_of(&service.name, knowledge, changes, is_first, now))
            .collect()
    }

    fn required_change_of(
        &mut self,
        service: &ServiceName,
        knowledge: &Knowledge,
        changes: &StageChanges,
        is_first: bool,
        now: Timestamp,
    ) -> Option<RequiredChange> {
        let (engines, slots) = staged_engines(knowledge, service, now);
        let present = changes.prefill_after(service, &engines);
        let counts = StageCounts { prefill: present, decode: engines.len() - present, slots };
        let decision = self.policy.decide(service, counts, is_first);
        if let Some(decision) = decision {
            self.log(service, counts, decision);
        }
        let Some(prefill) = decision.map(|decision| decision.prefill).filter(|prefill| *prefill != present) else {
            self.differs_since.remove(service);
            return None;
        };
        let since = *self.differs_since.entry(service.clone()).or_insert(now);
        let has_lasted = now.since(since).as_secs_f64() >= self.policy.config().dwell_seconds;
        has_lasted.then(|| RequiredChange { service: service.clone(), engines, prefill })
    }

    /// Logs a decision that differs from the last logged one.
    fn log(&mut self, service: &ServiceName, counts: StageCounts, decision: StageDecision) {
        if self.logged.insert(service.clone(), decision.prefill) == Some(decision.prefill) {
            return;
        }
        let table = self.table.borrow();
        log::info!(
            event = "stages_decided",
            service:% = service,
            policy:? = self.policy.config().policy,
            prefill = counts.prefill,
            decode = counts.decode,
            wanted = decision.prefill,
            reading_need = decision.prefill_need,
            answering_need = decision.decode_need,
            reading_rate = table.prefill_rate(),
            reporters = table.reporters();
            ""
        );
    }
}

/// Usable engines of `service` that serve a stage, and the number of answers that each can generate at the same time.
fn staged_engines(knowledge: &Knowledge, service: &ServiceName, now: Timestamp) -> (Vec<StagedEngine>, u32) {
    let entries = || knowledge.directory.of_service(service);
    let slots = entries().map(|entry| entry.back_end.slots).min().unwrap_or(1);
    let usable = entries().filter(|entry| entry.usability(now) == Usability::Usable);
    let staged = |back_end: &BackEnd| {
        let stage = back_end.stage?;
        let version = knowledge.versions.version_of(&back_end.id).fingerprint();
        Some(StagedEngine { id: back_end.id.clone(), zone: back_end.zone.clone(), stage, version })
    };
    (usable.filter_map(|entry| staged(&entry.back_end)).collect(), slots)
}
