//! The labels of metrics. Their values come from configuration or from fixed lists, never from callers' input, so the
//! number of series is bounded.

use havengate_core::authority::{OrderRefusal, OrderReply};
use havengate_core::claims::ClaimOutcome;
use havengate_core::dispatch::Revocation;
use prometheus_client::encoding::EncodeLabelSet;

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The tenant; empty when the bearer key belongs to none.
    pub tenant: String,
    /// The contract; empty when the request was refused before it was known.
    pub contract: String,
    /// The model; empty when it is unknown.
    pub model: String,
    /// `completed`, `not_run` or `may_have_run`.
    pub verdict: &'static str,
    /// The code of the reason; empty for a completed request.
    pub reason: &'static str,
}

/// Something that is told apart by contract.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ContractLabel {
    /// The contract.
    pub contract: String,
}

/// Tokens by model and direction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TokenLabels {
    /// The model.
    pub model: String,
    /// `prompt` or `output`.
    pub kind: &'static str,
}

/// Requests of one arm of a trial, by how they ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ArmLabels {
    /// The arm's name.
    pub arm: String,
    /// `met` or `missed` the contract, `not_run`, or `may_have_run`.
    pub outcome: &'static str,
}

/// Something that is told apart by its cause.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// The stable code of the cause.
    pub cause: &'static str,
}

/// Something that is told apart by its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The stable code of the outcome.
    pub outcome: &'static str,
}

impl OutcomeLabel {
    /// What an engine answered to an order or a fence; `unknown` when no answer came.
    pub fn of_order(reply: &OrderReply) -> Self {
        let outcome = match reply {
            OrderReply::Accepted(_) => "accepted",
            OrderReply::Refused(OrderRefusal::OtherIncarnation, _) => "other_incarnation",
            OrderReply::Refused(OrderRefusal::StaleTerm, _) => "stale_term",
            OrderReply::Refused(OrderRefusal::ReplacesOther, _) => "replaces_other",
            OrderReply::Refused(OrderRefusal::Busy, _) => "busy",
            OrderReply::Unknown => "unknown",
        };
        OutcomeLabel { outcome }
    }

    /// How the claim of an idempotency key ended: `won`, `repeated`, or the code of the refusal.
    pub fn of_claim(outcome: &ClaimOutcome) -> Self {
        let outcome = match outcome {
            ClaimOutcome::Won => "won",
            ClaimOutcome::Repeated(_) => "repeated",
            ClaimOutcome::Refused(refusal) => refusal.reason.code(),
        };
        OutcomeLabel { outcome }
    }

    /// What a revocation found; `unknown` also when no answer came.
    pub fn of_revocation(revocation: Option<Revocation>) -> Self {
        let outcome = match revocation {
            Some(Revocation::BeforeStart) => "before_start",
            Some(Revocation::AfterStart) => "after_start",
            Some(Revocation::Unknown) | None => "unknown",
        };
        OutcomeLabel { outcome }
    }
}

/// Role changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RoleChangeLabels {
    /// The pool.
    pub pool: String,
    /// The role before.
    pub from: &'static str,
    /// The role after.
    pub to: &'static str,
}

/// Something that is told apart by tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabel {
    /// The tenant.
    pub tenant: String,
}

/// Something that is told apart by pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    /// The pool.
    pub pool: String,
}

/// Traffic between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `in` or `out`.
    pub direction: &'static str,
}

/// Members of the view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MemberStateLabel {
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
}

/// Calls to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// `read` or `write`.
    pub operation: &'static str,
    /// `ok`, `conflict`, or `unknown` when no usable answer came: the store is down, slow or turns callers away.
    pub outcome: &'static str,
}

/// Requests that an HTTP server refused by itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// `callers` or `operators`.
    pub api: &'static str,
    /// The stable code of the refusal.
    pub reason: &'static str,
}
