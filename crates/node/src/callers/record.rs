//! What a request leaves behind in metrics and in the log.

use havengate_core::request::RequestProfile;
use havengate_core::verdict::{MayHaveRun, Verdict};
use havengate_core::world::{ContractName, ModelName, TenantName};

use super::delivery::DeliveryEnd;
use super::error::CallerError;
use crate::metrics::{ContractLabel, Metrics, RequestLabels, TokenLabels};

/// Whose request it is and what for.
#[derive(Clone, Debug)]
pub(super) struct RequestParty {
    tenant: TenantName,
    contract: ContractName,
    model: ModelName,
    prompt_tokens: u32,
}

impl RequestParty {
    pub(super) fn of(profile: &RequestProfile) -> Self {
        RequestParty {
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

/// Records the end of a request that was submitted.
pub(super) fn record_end(metrics: &Metrics, party: &RequestParty, end: &DeliveryEnd) {
    let reason = reason_code(&end.verdict);
    metrics.requests.get_or_create(&party.labels(&end.verdict)).inc();
    party.count_tokens(metrics, "prompt", party.prompt_tokens);
    party.count_tokens(metrics, "output", end.tokens);
    if end.replayed {
        metrics.replays.inc();
    }
    let contract = ContractLabel { contract: party.contract.to_string() };
    if let Some(wait) = end.first_token {
        metrics.time_to_first_token.get_or_create(&contract).observe(wait.as_secs_f64());
    }
    if let Some(interval) = end.token_interval {
        metrics.token_interval.get_or_create(&contract).observe(interval.as_secs_f64());
    }
    log::info!(
        tenant:% = party.tenant, contract:% = party.contract, model:% = party.model, verdict = end.verdict.code(),
        reason, prompt_tokens = party.prompt_tokens, tokens = end.tokens, replayed = end.replayed;
        "request_ended"
    );
}

/// Records a request whose handler panicked: it may have run, and its answer is lost.
pub(super) fn record_failure(metrics: &Metrics, party: &RequestParty) {
    let verdict = Verdict::MayHaveRun(MayHaveRun::AnswerCut);
    metrics.requests.get_or_create(&party.labels(&verdict)).inc();
    log::error!(tenant:% = party.tenant, model:% = party.model, verdict = verdict.code(); "request_handler_panicked");
}

/// Records a request that was refused before it was submitted.
pub(super) fn record_refusal(metrics: &Metrics, tenant: Option<&TenantName>, error: &CallerError) {
    let tenant = tenant.map(TenantName::to_string).unwrap_or_default();
    let (verdict, reason) = (error.verdict.code(), reason_code(&error.verdict));
    log::info!(tenant = tenant, verdict, reason, message = error.message; "request_refused");
    let labels = RequestLabels { tenant, contract: String::new(), model: String::new(), verdict, reason };
    metrics.requests.get_or_create(&labels).inc();
}

/// The stable code of a verdict's reason; empty for a completed request.
fn reason_code(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Completed => "",
        Verdict::NotRun(refusal) => refusal.reason.code(),
        Verdict::MayHaveRun(reason) => reason.code(),
    }
}
