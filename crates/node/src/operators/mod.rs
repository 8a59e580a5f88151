//! The operators' API: status, metrics, health, plans and policies over HTTP.

mod admission_messages;
mod api;
mod handler;
mod levels;
mod messages;

pub use admission_messages::{AdmissionStatus, ClaimStatus, TenantStatus};
pub use api::OperatorApi;
pub use handler::OperatorHandler;
pub use messages::{
    ConfigurationStatus, ConfirmAnswer, ConfirmRequest, DrainAnswer, EngineOutage, EngineStatus, GoodputPrediction,
    HealthAnswer, IntentDocument, MemberStatus, NodeStatus, OperatorError, OperatorErrorCode, PlanAnswer, PlanId,
    PlanList, PlanState, PoliciesAnswer, PolicyDescription, PolicyParameter, PoolStatus, PredictionBasis, StatusAnswer,
    WholeConfiguration,
};
