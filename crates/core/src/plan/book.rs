//! The plans that operators may still confirm, kept in the platform's store so that they outlive the node that made
//! them. One object holds them all: the store lists no objects and deletes none.

use serde::{Deserialize, Serialize};

use super::plan::Plan;
use super::store_edit::{Edit, EditDecision, StoreEdit};
use crate::configuration::PlanId;
use crate::store::{ObjectKey, OperationId, StoredObject};

/// The name of the plans' object in the store.
pub const PLANS_KEY: &str = "plans";

/// Plans that are kept; the oldest make room for new ones.
pub const PLANS_MAXIMUM: usize = 16;

/// The plans, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBook {
    /// The plans.
    pub plans: Vec<Plan>,
}

impl PlanBook {
    /// The book in the store's object; no object stands for an empty book, and an unreadable one for nothing.
    pub fn parse(object: Option<&StoredObject>) -> Option<PlanBook> {
        object.map_or(Some(PlanBook::default()), |object| serde_json::from_str(&object.value).ok())
    }

    /// The plan with this identity.
    pub fn find(&self, id: PlanId) -> Option<&Plan> {
        self.plans.iter().find(|plan| plan.id == id)
    }

    /// The book with `plan` in it, and without the oldest plans that find no room.
    pub fn with(&self, plan: Plan) -> PlanBook {
        let mut plans = self.plans.clone();
        plans.retain(|known| known.id != plan.id);
        plans.push(plan);
        let surplus = plans.len().saturating_sub(PLANS_MAXIMUM);
        plans.drain(..surplus);
        PlanBook { plans }
    }
}

/// The plans' object in the store.
pub fn plans_key() -> ObjectKey {
    ObjectKey(PLANS_KEY.to_owned())
}

/// Keeping a plan, in progress.
pub type PlanKeeping = StoreEdit<KeepPlan>;

/// What keeping a plan has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepPlanOutcome {
    /// The plan is in the book.
    Kept,
    /// What the store holds can't be read: nothing has happened.
    UnreadableBook,
}

/// Puts a plan into the book.
pub struct KeepPlan {
    plan: Plan,
}

impl KeepPlan {
    /// Keeps `plan`.
    pub fn new(plan: Plan) -> Self {
        KeepPlan { plan }
    }
}

impl Edit for KeepPlan {
    type Outcome = KeepPlanOutcome;

    fn key(&self) -> ObjectKey {
        plans_key()
    }

    fn operation(&self) -> OperationId {
        OperationId(self.plan.id.0)
    }

    fn decide(&self, object: Option<&StoredObject>) -> EditDecision<KeepPlanOutcome> {
        let Some(book) = PlanBook::parse(object) else {
            return EditDecision::Settled(KeepPlanOutcome::UnreadableBook);
        };
        if book.find(self.plan.id).is_some() {
            return EditDecision::Settled(KeepPlanOutcome::Kept);
        }
        match serde_json::to_string(&book.with(self.plan.clone())) {
            Ok(value) => EditDecision::Write { value, outcome: KeepPlanOutcome::Kept },
            Err(_) => EditDecision::Settled(KeepPlanOutcome::UnreadableBook),
        }
    }
}
