//! The seam between the operators' API and the rest of the node.

use super::messages::{
    ConfirmAnswer, ConfirmRequest, DrainAnswer, HealthAnswer, IntentDocument, OperatorError, PlanAnswer, PlanId,
    PlanList, PoliciesAnswer, StatusAnswer,
};

/// Answers operators. Calls come from several threads at once and may block for a few seconds.
pub trait OperatorHandler: Send + Sync + 'static {
    /// The system as this node sees it.
    fn status(&self) -> StatusAnswer;

    /// Whether the process works; an unhealthy one should be replaced.
    fn health(&self) -> HealthAnswer;

    /// Whether the node takes requests of callers.
    fn ready(&self) -> HealthAnswer;

    /// Makes a plan from an intent. Nothing takes effect.
    ///
    /// # Errors
    /// When the intent is invalid, or the node can't plan now.
    fn propose(&self, intent: IntentDocument) -> Result<PlanAnswer, OperatorError>;

    /// The plans that this node knows, newest first.
    ///
    /// # Errors
    /// When the plans can't be read.
    fn plans(&self) -> Result<PlanList, OperatorError>;

    /// The plan `id`.
    ///
    /// # Errors
    /// When there is no such plan, or it can't be read.
    fn plan(&self, id: &PlanId) -> Result<PlanAnswer, OperatorError>;

    /// Confirms the plan `id`.
    ///
    /// # Errors
    /// When there is no such plan, or another change came first: then nothing of the plan has happened.
    fn confirm(&self, id: &PlanId, request: ConfirmRequest) -> Result<ConfirmAnswer, OperatorError>;

    /// The policies that exist and those in force.
    fn policies(&self) -> PoliciesAnswer;

    /// Starts a planned stop of this node.
    fn drain(&self) -> DrainAnswer;
}
