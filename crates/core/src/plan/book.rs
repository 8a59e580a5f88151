//! The plans that operators can still confirm. They are kept in the platform's store, so that they remain available
//! after the node that made them stops. One object holds all plans, because the store can neither list nor delete
//! objects.

use serde::{Deserialize, Serialize};

use super::plan::Plan;
use super::store_edit::{Edit, EditDecision, StoreEdit};
use crate::configuration::PlanId;
use crate::store::{ObjectKey, OperationId, StoredObject};

/// The key of the store object that holds the plans.
pub const PLANS_KEY: &str = "plans";

/// The maximum number of plans in the book; adding a plan to a full book removes the oldest one.
pub const PLANS_MAXIMUM: usize = 16;

/// The plans that can still be confirmed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanBook {
    /// The plans, oldest first.
    pub plans: Vec<Plan>,
}

impl PlanBook {
    /// Parses the book from the store's object. An absent object is an empty book; an unreadable one gives `None`.
    pub fn parse(object: Option<&StoredObject>) -> Option<PlanBook> {
        object.map_or(Some(PlanBook::default()), |object| serde_json::from_str(&object.value).ok())
    }

    /// Returns the plan with this identifier.
    pub fn find(&self, id: PlanId) -> Option<&Plan> {
        self.plans.iter().find(|plan| plan.id == id)
    }

    /// Returns the book with `plan` added, without the oldest plans beyond [`PLANS_MAXIMUM`].
    pub fn with(&self, plan: Plan) -> PlanBook {
        let mut plans = self.plans.clone();
        plans.retain(|existing| existing.id != plan.id);
        plans.push(plan);
        let surplus = plans.len().saturating_sub(PLANS_MAXIMUM);
        plans.drain(..surplus);
        PlanBook { plans }
    }
}

/// Returns the key of the store object that holds the plans.
pub fn plans_key() -> ObjectKey {
    ObjectKey(PLANS_KEY.to_owned())
}

/// The edit in progress that adds a plan to the book.
pub type KeepPlanEdit = StoreEdit<KeepPlan>;

/// The outcome of adding a plan to the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepPlanOutcome {
    /// The plan is in the book.
    Kept,
    /// The stored book can't be read; nothing is changed.
    UnreadableBook,
}

/// Adds a plan to the book.
pub struct KeepPlan {
    plan: Plan,
}

impl KeepPlan {
    /// Creates the edit that adds `plan`.
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
