//! Plans: an operator submits an intent and receives a plan, which takes effect only when it is confirmed.
//!
//! A plan is a pure function of the intent and the latest configuration. Confirming it stages its changes as the next
//! version by a compare-and-set, so that only one of two plans with the same base version can succeed.

mod book;
mod confirmation;
mod intent;
#[allow(clippy::module_inception)]
mod plan;
mod planner;
mod prediction;
mod store_edit;
mod waves;

pub use crate::configuration::PlanId;
pub use book::{KeepPlan, KeepPlanEdit, KeepPlanOutcome, PLANS_KEY, PLANS_MAXIMUM, PlanBook, plans_key};
pub use confirmation::{Confirmation, ConfirmationOutcome, StagePlan};
pub use intent::{EngineIntent, Intent, ModelIntent, Removal, RoleTarget, TenantIntent};
pub use plan::{EngineOutage, ModelDemand, OutageReason, Plan, PredictedEffect, PredictionBasis, Wave};
pub use planner::{PlanError, PlannerConfig, plan_configuration, plan_intent};
pub use store_edit::{Edit, EditDecision, StoreCall, StoreEdit, StoreEditConfig, StoreEditEnd};
