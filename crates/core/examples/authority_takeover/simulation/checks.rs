//! Invariants checked at every step, independent of the code under test: they use only messages and published states.

use std::collections::BTreeMap;

use havengate_core::authority::{AuthorityRole, AuthorityStatus, EngineReport, Order, OrderId, Term};
use havengate_core::membership::Member;
use havengate_core::time::Timestamp;

/// The fences and orders that an engine has accepted in its current incarnation.
#[derive(Clone, Debug, Default)]
pub struct EngineHistory {
    started_at: Timestamp,
    highest_term: Term,
    raised_at: Timestamp,
    held_order: Option<OrderId>,
    executing: bool,
}

/// The history of the pool and the checks of its invariants.
pub struct Checks {
    seed: u64,
    histories: Vec<EngineHistory>,
    term_owners: BTreeMap<Term, Member>,
    pub orders: u64,
}

impl Checks {
    pub fn new(seed: u64, engines: usize) -> Self {
        Checks { seed, histories: vec![EngineHistory::default(); engines], term_owners: BTreeMap::new(), orders: 0 }
    }

    pub fn restarted(&mut self, engine: usize, now: Timestamp) {
        self.histories[engine] = EngineHistory { started_at: now, ..EngineHistory::default() };
    }

    pub fn completed(&mut self, engine: usize) {
        self.histories[engine].executing = false;
    }

    /// Checks that each term is used by one process incarnation only.
    pub fn term_used(&mut self, term: Term, member: Member) {
        let owner = *self.term_owners.entry(term).or_insert(member);
        assert_eq!(owner, member, "seed {}: {term:?} is used by two process incarnations", self.seed);
    }

    pub fn fence_accepted(&mut self, engine: usize, term: Term, now: Timestamp) {
        let history = &mut self.histories[engine];
        if term > history.highest_term {
            (history.highest_term, history.raised_at) = (term, now);
        }
    }

    /// Checks and records that an engine starts to execute an order.
    pub fn order_begins(&mut self, engine: usize, order: &Order, running: usize, now: Timestamp) {
        let seed = self.seed;
        self.orders += 1;
        let history = &self.histories[engine];
        assert!(!history.executing, "seed {seed}: engine {engine} holds two conflicting orders");
        assert_eq!(
            history.held_order, order.replaces,
            "seed {seed}: engine {engine} replaced an order that was not named"
        );
        assert!(
            order.id.term >= history.highest_term,
            "seed {seed}: {order:?} changed engine {engine}, fence {history:?}"
        );
        assert_eq!(running, 0, "seed {seed}: {order:?} cut streams of engine {engine} at {now:?}");
        self.check_not_superseded(engine, order.id.term);
        let history = &mut self.histories[engine];
        (history.held_order, history.executing) = (Some(order.id), true);
        self.fence_accepted(engine, order.id.term, now);
    }

    /// Checks that a holder can't exploit that a restarted engine has lost its fence when a later holder had fenced
    /// most engines before the restart.
    fn check_not_superseded(&self, engine: usize, term: Term) {
        let started_at = self.histories[engine].started_at;
        let later = |history: &&EngineHistory| history.highest_term > term && history.raised_at < started_at;
        let later = self.histories.iter().filter(later).count();
        assert!(2 * later <= self.histories.len(), "seed {}: superseded {term:?} changed engine {engine}", self.seed);
    }

    /// Checks that published authority implies raised fences at all engines except those listed as unfenced.
    pub fn published(&self, status: &AuthorityStatus, names: &[String], reports: &[&EngineReport]) {
        if status.role != AuthorityRole::Holder {
            return;
        }
        for (index, report) in reports.iter().enumerate() {
            let fenced = status.fenced.iter().find(|fenced| fenced.engine.as_str() == names[index]);
            let Some(fenced) = fenced else {
                let listed = status.unfenced.iter().any(|engine| engine.as_str() == names[index]);
                assert!(listed, "seed {}: engine {index} is neither fenced nor unfenced", self.seed);
                continue;
            };
            let raised = fenced.incarnation != report.incarnation || Some(report.fence) >= status.term;
            assert!(raised, "seed {}: {status:?} published, engine {index} has {report:?}", self.seed);
        }
    }
}
