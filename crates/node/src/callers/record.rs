//! Records finished requests in metrics and in the log.

use havengate_core::request::RequestProfile;
use havengate_core::verdict::{MayHaveRun, Verdict};
use havengate_core::world::{ContractName, ModelName, TenantName};

use super::delivery::DeliveryOutcome;
use super::error::CallerError;
use crate::metrics::{ContractLabel, Metrics, RequestLabels, TokenLabels};

/// Attributes of a request that metrics and log lines carry.
#[derive(Clone, Debug)]
pub(super) struct RequestAttributes {
    tenant: TenantName,
    contract: ContractName,
    model: ModelName,
    prompt_tokens: u32,
}

impl RequestAttributes {
    pub(super) fn from_profile(profile: &RequestProfile) -> Self {
        RequestAttributes {
            tenant: profile.tenant.clone(),
            contract: profile.contract.clone(),
            model: profile.model.clone(),
            prompt_tokens: profile.prompt_tokens,
        }
    }

    fn labels(&self, verdict: &Verdict) -> RequestLabels {
        RequestLabels {
            tenant: self.tenant.to_string(),
            contract: self.contract.to_string(),
            model: self.model.to_string(),
            verdict: verdict.code(),
            reason: reason_code(verdict),
        }
    }

    fn count_tokens(&self, metrics: &Metrics, kind: &'static str, tokens: u32) {
        let labels = TokenLabels { model: self.model.to_string(), kind };
        metrics.tokens.get_or_create(&labels).inc_by(u64::from(tokens));
    }
}

/// Records the outcome of a submitted request.
pub(super) fn record_outcome(metrics: &Metrics, attributes: &RequestAttributes, outcome: &DeliveryOutcome) {
    let reason = reason_code(&outcome.verdict);
    metrics.requests.get_or_create(&attributes.labels(&outcome.verdict)).inc();
    attributes.count_tokens(metrics, "prompt", attributes.prompt_tokens);
    attributes.count_tokens(metrics, "output", outcome.tokens);
    if outcome.replayed {
        metrics.replays.inc();
    }
    let contract = ContractLabel { contract: attributes.contract.to_string() };
    if let Some(latency) = outcome.first_token {
        metrics.time_to_first_token.get_or_create(&contract).observe(latency.as_secs_f64());
    }
    if let Some(interval) = outcome.token_interval {
        metrics.token_interval.get_or_create(&contract).observe(interval.as_secs_f64());
    }
    log::info!(
        tenant:% = attributes.tenant, contract:% = attributes.contract, model:% = attributes.model,
        verdict = outcome.verdict.code(), reason, prompt_tokens = attributes.prompt_tokens,
        tokens = outcome.tokens, replayed = outcome.replayed;
        "request_ended"
    );
}

/// Records a request whose handler panicked. The request may have run and its answer is lost.
pub(super) fn record_panic(metrics: &Metrics, attributes: &RequestAttributes) {
    let verdict = Verdict::MayHaveRun(MayHaveRun::AnswerCut);
    metrics.requests.get_or_create(&attributes.labels(&verdict)).inc();
    log::error!(
        tenant:% = attributes.tenant, model:% = attributes.model, verdict = verdict.code();
        "request_handler_panicked"
    );
}

/// Records a request that was refused before submission.
pub(super) fn record_refusal(metrics: &Metrics, tenant: Option<&TenantName>, error: &CallerError) {
    let tenant = tenant.map(TenantName::to_string).unwrap_or_default();
    let (verdict, reason) = (error.verdict.code(), reason_code(&error.verdict));
    log::info!(tenant = tenant, verdict, reason, message = error.message; "request_refused");
    let labels = RequestLabels { tenant, contract: String::new(), model: String::new(), verdict, reason };
    metrics.requests.get_or_create(&labels).inc();
}

/// Returns the stable code of a verdict's reason; empty for a completed request.
fn reason_code(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Completed => "",
        Verdict::NotRun(refusal) => refusal.reason.code(),
        Verdict::MayHaveRun(reason) => reason.code(),
    }
}
