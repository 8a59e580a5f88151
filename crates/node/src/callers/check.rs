//! Converts HTTP requests to validated [`CallerRequest`]s.

use havengate_core::prompt::PromptProfile;
use havengate_core::request::{IdempotencyKey, RequestId, RequestProfile};
use havengate_core::verdict::{NotRun, NotRunReason};
use havengate_core::world::{Contract, ContractName, Model, ModelName, Tenant};

use super::body::{CompletionBody, CompletionKind};
use super::directory::CallerDirectory;
use super::error::CallerError;
use super::handler::{CallerLimits, CallerRequest, Readiness};
use super::headers::{RequestOptions, bearer_key};
use crate::http_server::Request;

/// A validated completion request, ready for submission.
#[derive(Clone, Debug)]
pub(super) struct CheckedRequest {
    pub(super) request: CallerRequest,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
}

/// Returns the tenant that a request's bearer key belongs to.
pub(super) fn authenticate<'a>(request: &Request, directory: &'a CallerDirectory) -> Result<&'a Tenant, CallerError> {
    let tenant = bearer_key(request).and_then(|key| directory.tenant_by_key(key));
    tenant.ok_or_else(|| CallerError::not_run(NotRun::new(NotRunReason::UnknownTenant)))
}

/// Refuses requests early on a node that isn't ready, which would refuse them later anyway.
pub(super) fn require_ready(readiness: Readiness) -> Result<(), CallerError> {
    let reason = match readiness {
        Readiness::Ready => return Ok(()),
        Readiness::Leaving => NotRunReason::NodeLeaving,
        Readiness::Starting | Readiness::Suspended => NotRunReason::NodeSuspended,
    };
    let mut error = CallerError::not_run(NotRun::new(reason));
    error.message = readiness.to_string();
    Err(error)
}

/// Validates a completion request of `tenant`.
pub(super) fn check_completion(
    id: RequestId,
    kind: CompletionKind,
    request: &Request,
    tenant: &Tenant,
    directory: &CallerDirectory,
    limits: &CallerLimits,
) -> Result<CheckedRequest, CallerError> {
    let options = RequestOptions::read(request, limits)?;
    let contract = resolve_contract(&options, tenant, directory)?;
    let body = CompletionBody::read(kind, &request.body, limits)?;
    let model = resolve_model(&body, directory)?;
    let prompt = PromptProfile::of(&body.prompt);
    require_capacity(&prompt, &body, model)?;
    let profile = RequestProfile {
        id,
        tenant: tenant.name.clone(),
        contract: contract.name.clone(),
        model: model.name.clone(),
        prompt_tokens: prompt.tokens,
        max_output_tokens: body.output_tokens_maximum,
        blocks: prompt.blocks,
        key: options.idempotency_key.map(|key| IdempotencyKey { tenant: tenant.name.clone(), key }),
        time_left: options.deadline,
        priority: options.priority.map_or(contract.priority, |requested| requested.min(contract.priority)),
    };
    let request = CallerRequest { profile, prompt: body.prompt };
    Ok(CheckedRequest { request, stream: body.stream, include_usage: body.include_usage })
}

fn resolve_contract<'a>(
    options: &RequestOptions,
    tenant: &Tenant,
    directory: &'a CallerDirectory,
) -> Result<&'a Contract, CallerError> {
    let own = find_contract(&tenant.contract, directory)?;
    let Some(requested) = options.contract.as_deref() else { return Ok(own) };
    let requested = find_contract(&ContractName::from(requested), directory)?;
    require_allowed_priority(requested, own)?;
    Ok(requested)
}

fn find_contract<'a>(name: &ContractName, directory: &'a CallerDirectory) -> Result<&'a Contract, CallerError> {
    directory.contract(name).ok_or_else(|| CallerError::invalid(format!("there is no contract `{name}`")))
}

/// Refuses a contract with a higher priority than the tenant's own; with it, other tenants' requests would be shed
/// before this tenant's.
fn require_allowed_priority(requested: &Contract, own: &Contract) -> Result<(), CallerError> {
    if requested.priority <= own.priority {
        return Ok(());
    }
    let (requested, own) = (&requested.name, &own.name);
    Err(CallerError::invalid(format!(
        "the contract `{requested}` has a higher priority than the tenant's own, `{own}`"
    )))
}

fn resolve_model<'a>(body: &CompletionBody, directory: &'a CallerDirectory) -> Result<&'a Model, CallerError> {
    directory.model(&ModelName::from(body.model.as_str())).ok_or_else(|| {
        let mut error = CallerError::not_run(NotRun::new(NotRunReason::UnknownModel));
        error.message = format!("there is no model `{}`", body.model);
        error
    })
}

/// Refuses a request that exceeds the KV capacity of the model's engines.
fn require_capacity(prompt: &PromptProfile, body: &CompletionBody, model: &Model) -> Result<(), CallerError> {
    let needed = prompt.tokens.saturating_add(body.output_tokens_maximum);
    let capacity = model.performance.kv_capacity_tokens;
    if needed <= capacity {
        return Ok(());
    }
    Err(CallerError::invalid(format!(
        "the prompt has about {} tokens, with max_tokens {needed}; an engine of the model holds {capacity}",
        prompt.tokens
    )))
}
