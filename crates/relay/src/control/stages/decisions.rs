//! How many engines of each service are to read, as the policy decides on what all nodes ask for.

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

/// A service whose engines are to change.
pub struct WantedStages {
    /// The service.
    pub service: ServiceName,
    /// Its engines that may be used.
    pub engines: Vec<StagedEngine>,
    /// The prefill engines that are wanted among them.
    pub prefill: usize,
}

/// The decisions of this node, while it is the one that decides.
pub struct Decisions {
    table: Rc<RefCell<DemandTable>>,
    policy: StagePolicy,
    /// The prefill engines that were wanted when a decision was logged last.
    logged: BTreeMap<ServiceName, usize>,
    /// Since when another number of prefill engines was wanted than there are.
    wanted_since: BTreeMap<ServiceName, Timestamp>,
}

impl Decisions {
    /// The decisions of a node that has seen no load, on what `table` shows.
    pub fn new(table: Rc<RefCell<DemandTable>>, config: StagePolicyConfig) -> Self {
        Decisions { table, policy: StagePolicy::new(config), logged: BTreeMap::new(), wanted_since: BTreeMap::new() }
    }

    /// Goes by other limits from now on.
    pub fn set_config(&mut self, config: StagePolicyConfig) {
        self.policy.set_config(config);
    }

    /// Whether anything is decided at all.
    pub fn has_policy(&self) -> bool {
        self.policy.config().policy != StagePolicyName::None
    }

    /// Takes in the loads of spans that have ended.
    pub fn take_loads(&mut self, now: Timestamp) {
        let mut table = self.table.borrow_mut();
        table.tick(now);
        for (service, load) in table.take_loads() {
            self.policy.observe(&service, load, now);
        }
    }

    /// Forgets what was decided: another node decides from now on. What was seen of the load is kept.
    pub fn hand_over(&mut self) {
        self.logged.clear();
        self.wanted_since.clear();
    }

    /// The services whose engines are to change, beyond the `changes` that are open. `is_first` tells that nobody has
    /// decided before in this system.
    pub fn wanted(
        &mut self,
        knowledge: &Knowledge,
        changes: &StageChanges,
        is_first: bool,
        now: Timestamp,
    ) -> Vec<WantedStages> {
        let services = knowledge.configuration.iter().flat_map(|active| &active.configuration.services);
        services.filter_map(|service| self.wanted_of(&service.name, knowledge, changes, is_first, now)).collect()
    }

    fn wanted_of(
        &mut self,
        service: &ServiceName,
        knowledge: &Knowledge,
        changes: &StageChanges,
        is_first: bool,
        now: Timestamp,
    ) -> Option<WantedStages> {
        let (engines, slots) = staged_engines(knowledge, service, now);
        let present = changes.prefill_after(service, &engines);
        let counts = StageCounts { prefill: present, decode: engines.len() - present, slots };
        let decision = self.policy.decide(service, counts, is_first);
        if let Some(decision) = decision {
            self.log(service, counts, decision);
        }
        let Some(prefill) = decision.map(|decision| decision.prefill).filter(|prefill| *prefill != present) else {
            self.wanted_since.remove(service);
            return None;
        };
        let since = *self.wanted_since.entry(service.clone()).or_insert(now);
        let has_lasted = now.since(since).as_secs_f64() >= self.policy.config().dwell_seconds;
        has_lasted.then(|| WantedStages { service: service.clone(), engines, prefill })
    }

    /// Logs a decision that differs from the last one.
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
            reading_need = decision.reading_need,
            answering_need = decision.answering_need,
            reading_rate = table.reading_rate(),
            reporters = table.reporters();
            ""
        );
    }
}

/// The engines of `service` that may be used and serve a stage, and the answers that each generates at the same time.
fn staged_engines(knowledge: &Knowledge, service: &ServiceName, now: Timestamp) -> (Vec<StagedEngine>, u32) {
    let entries = || knowledge.directory.of_service(service);
    let slots = entries().map(|entry| entry.back_end.slots).min().unwrap_or(1);
    let usable = entries().filter(|entry| entry.usability(now) == Usability::Usable);
    let staged = |back_end: &BackEnd| {
        let stage = back_end.stage?;
        Some(StagedEngine { id: back_end.id.clone(), zone: back_end.zone.clone(), stage })
    };
    (usable.filter_map(|entry| staged(&entry.back_end)).collect(), slots)
}
