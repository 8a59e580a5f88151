//! What must hold at every step, kept apart from the code under test: it sees only messages and published states.

use std::collections::BTreeMap;

use havengate_core::authority::{AuthorityRole, AuthorityStatus, EngineReport, Order, OrderId, Term};
use havengate_core::membership::Member;
use havengate_core::time::Timestamp;

/// What an engine has seen in its present life.
#[derive(Clone, Debug, Default)]
pub struct Life {
    began: Timestamp,
    highest: Term,
    raised: Timestamp,
    held: Option<OrderId>,
    executing: bool,
}

/// The history of the pool and the checks on it.
pub struct Checks {
    seed: u64,
    lives: Vec<Life>,
    term_owners: BTreeMap<Term, Member>,
    pub orders: u64,
}

impl Checks {
    pub fn new(seed: u64, engines: usize) -> Self {
        Checks { seed, lives: vec![Life::default(); engines], term_owners: BTreeMap::new(), orders: 0 }
    }

    pub fn restarted(&mut self, engine: usize, now: Timestamp) {
        self.lives[engine] = Life { began: now, ..Life::default() };
    }

    pub fn completed(&mut self, engine: usize) {
        self.lives[engine].executing = false;
    }

    /// A term is used by one process life only.
    pub fn term_used(&mut self, term: Term, member: Member) {
        let owner = *self.term_owners.entry(term).or_insert(member);
        assert_eq!(owner, member, "seed {}: {term:?} is used by two process lives", self.seed);
    }

    pub fn fence_accepted(&mut self, engine: usize, term: Term, now: Timestamp) {
        let life = &mut self.lives[engine];
        if term > life.highest {
            (life.highest, life.raised) = (term, now);
        }
    }

    /// An engine begins to execute an order.
    pub fn order_begins(&mut self, engine: usize, order: &Order, running: usize, now: Timestamp) {
        let seed = self.seed;
        self.orders += 1;
        let life = &self.lives[engine];
        assert!(!life.executing, "seed {seed}: engine {engine} holds two conflicting orders");
        assert_eq!(life.held, order.replaces, "seed {seed}: engine {engine} replaced an order that was not named");
        assert!(order.id.term >= life.highest, "seed {seed}: {order:?} changed engine {engine}, fence {life:?}");
        assert_eq!(running, 0, "seed {seed}: {order:?} cut streams of engine {engine} at {now:?}");
        self.no_lapsed_holder(engine, order.id.term);
        let life = &mut self.lives[engine];
        (life.held, life.executing) = (Some(order.id), true);
        self.fence_accepted(engine, order.id.term, now);
    }

    /// When most engines were fenced by a later holder before this engine's life began, an earlier one can't use that
    /// the restarted engine has forgotten its fence.
    fn no_lapsed_holder(&self, engine: usize, term: Term) {
        let began = self.lives[engine].began;
        let later = |life: &&Life| life.highest > term && life.raised < began;
        let later = self.lives.iter().filter(later).count();
        assert!(2 * later <= self.lives.len(), "seed {}: lapsed {term:?} changed engine {engine}", self.seed);
    }

    /// Published authority implies raised fences at all engines but those listed as unfenced.
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
