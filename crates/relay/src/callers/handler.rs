//! Handles one request of a caller, from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use havengate_core::relay::{ContentId, SharedPart, Urgency};
use havengate_core::routing::{CallerLimits, Route, TenantAccess};
use havengate_core::verdict::NotRunReason;
use havengate_core::world::TenantName;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, COOKIE, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::answer::{LocalAnswer, RelayBody};
use super::body_memory::HeldBody;
use super::body_reader::{BodyReadError, read_to_end};
use super::caller_request::CallerRequest;
use super::connections::ConnectionRequest;
use super::exchange_driver::drive;
use super::planned_stop::StopPhase;
use super::record::{RequestOutcome, RequestRecord};
use super::resumption::find_resumed_stream;
use super::traffic::Traffic;
use crate::back_ends::UsedConnections;
use crate::hop_by_hop::strip_request;
use crate::knowledge::ActiveConfiguration;
use crate::protocol::{Protocol, RequestHead};
use crate::quotas::QuotaPermit;

/// A request waits at most this part of its time for units of its tenant's limit.
const ADMISSION_WAIT_DIVISOR: u32 = 4;

/// Answers one request.
pub async fn handle<P: Protocol>(
    traffic: Rc<Traffic<P>>,
    request: Request<Incoming>,
    connection_request: &ConnectionRequest,
) -> Response<RelayBody> {
    let mut record = RequestRecord::begin(&traffic);
    let mut response = match accept_request(&traffic, request, connection_request, &mut record).await {
        Ok(accepted) => drive(&traffic, accepted, record).await,
        Err(answer) => {
            let outcome = if answer.retry_after.is_some() { RequestOutcome::Refused } else { RequestOutcome::Rejected };
            record.finish(outcome, answer.cause);
            answer.response()
        }
    };
    if traffic.stop.has_begun(StopPhase::Draining) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn accept_request<P: Protocol>(
    traffic: &Traffic<P>,
    request: Request<Incoming>,
    connection_request: &ConnectionRequest,
    record: &mut RequestRecord,
) -> Result<CallerRequest, LocalAnswer> {
    if traffic.stop.has_begun(StopPhase::Refusing) {
        return Err(LocalAnswer::refusal(NotRunReason::NodeLeaving));
    }
    let (mut parts, body) = request.into_parts();
    let knowledge = traffic.knowledge.load_full();
    let Some(active) = &knowledge.configuration else {
        return Err(LocalAnswer::refusal(NotRunReason::NodeSuspended));
    };
    record.configuration = active.configuration.version.0;
    let route = find_route(active, &parts)?;
    record.route = Some(route.name.clone());
    let head = read_head(traffic, &parts.headers, record)?;
    let tenant = authenticate(traffic, active, &route, &mut parts.headers)?;
    record.tenant = tenant.as_ref().map(|tenant| tenant.name.clone());
    let time_limit = head.deadline.map_or(route.time_limit, |deadline| deadline.min(route.time_limit));
    let held_body = traffic.bodies.begin(Instant::now());
    let body = tokio::select! {
        body = read_body(body, &active.configuration.limits, time_limit, &held_body) => body?,
        () = traffic.stop.wait_for(StopPhase::Refusing) => return Err(LocalAnswer::refusal(NotRunReason::NodeLeaving)),
    };
    connection_request.runs();
    let service = traffic.with_splits(|turns| turns.next(&route).cloned());
    let service = service.ok_or_else(|| LocalAnswer::refusal(NotRunReason::NoEngine))?;
    record.service = Some(service.clone());
    let resumed = find_resumed_stream(traffic, &head, &route, record.tenant.as_ref(), &service).await;
    let resumed = resumed.map_err(LocalAnswer::refusal)?;
    let resumed_version = resumed.as_ref().map(|resumed| resumed.version);
    let service = resumed.map_or(service, |resumed| resumed.service);
    record.service = Some(service.clone());
    let content = content_id(&parts, record.tenant.as_ref(), &body);
    record.content = Some(content);
    let shared_parts = head.prompt.as_ref().map(|prompt| SharedPart::of_prompt(&service, prompt)).unwrap_or_default();
    let permit = admit(traffic, tenant.as_deref(), &head, time_limit).await?;
    strip_request(&mut parts.headers, P::is_end_to_end);
    Ok(CallerRequest {
        content,
        shared_parts: shared_parts.into(),
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        held_body,
        head,
        route,
        tenant,
        permit,
        service,
        resumed_version,
        arrived: record.arrived,
        ends_at: record.arrived + time_limit,
        urgency: Urgency::InTime,
        used_connections: UsedConnections::default(),
    })
}

fn read_head<P: Protocol>(
    traffic: &Traffic<P>,
    headers: &HeaderMap,
    record: &mut RequestRecord,
) -> Result<RequestHead, LocalAnswer> {
    let head = traffic.protocol.read_head(headers).map_err(|error| {
        log::warn!(event = "head_malformed", error:% = error; "");
        LocalAnswer::rejection(StatusCode::BAD_REQUEST, "malformed_head")
    })?;
    head.id_text().clone_into(&mut record.request);
    if let Some(resumption) = &head.resumption {
        resumption.first_request_text().clone_into(&mut record.resumes);
    }
    Ok(head)
}

fn find_route(active: &ActiveConfiguration, parts: &Parts) -> Result<Arc<Route>, LocalAnswer> {
    let host_header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host_header.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = active.routes.find(host, parts.uri.path());
    route.cloned().ok_or_else(|| LocalAnswer::rejection(StatusCode::NOT_FOUND, "no_route"))
}

/// Determines the request's tenant. If the configuration has tenants, the key is removed from the headers, also on
/// public routes.
fn authenticate<P: Protocol>(
    traffic: &Traffic<P>,
    active: &ActiveConfiguration,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<TenantAccess>>, LocalAnswer> {
    let Some(keys) = &active.keys else {
        return Ok(None);
    };
    let presented = traffic.protocol.take_key(headers);
    if !route.is_public && !traffic.may_use_keys() {
        return Err(LocalAnswer::refusal(NotRunReason::NodeSuspended));
    }
    keys.admit(route, presented).map_err(|refusal| LocalAnswer::rejection(StatusCode::UNAUTHORIZED, refusal.code()))
}

/// Admits a request within its tenant's limit; `None` if there is no limit.
async fn admit<P>(
    traffic: &Traffic<P>,
    tenant: Option<&TenantAccess>,
    head: &RequestHead,
    time_limit: Duration,
) -> Result<Option<QuotaPermit>, LocalAnswer> {
    let Some(tenant) = tenant else {
        return Ok(None);
    };
    let wait_maximum = time_limit / ADMISSION_WAIT_DIVISOR;
    let admission = traffic.quotas.admit(&tenant.name, head.token_count, wait_maximum, head.id_text()).await;
    admission.map_err(|refusal| LocalAnswer::refusal_for(NotRunReason::TenantLimit, refusal.retry_after))
}

/// The id of a request's content, which all its copies share. It covers method, host, target, body and what identifies
/// the caller, since the same text may mean something else for another caller. Headers that a caller sets again for
/// each copy are left out.
fn content_id(parts: &Parts, tenant: Option<&TenantName>, body: &Bytes) -> ContentId {
    let header = |name: HeaderName| parts.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
    ContentId::of([
        parts.method.as_str().as_bytes(),
        header(HOST),
        parts.uri.to_string().as_bytes(),
        tenant.map_or(header(AUTHORIZATION), |tenant| tenant.as_str().as_bytes()),
        header(COOKIE),
        body,
    ])
}

async fn read_body(
    body: Incoming,
    limits: &CallerLimits,
    time_limit: Duration,
    held: &HeldBody,
) -> Result<Bytes, LocalAnswer> {
    let maximum = usize::try_from(limits.body_maximum_bytes).unwrap_or(usize::MAX);
    match timeout(time_limit, read_to_end(body, maximum, held)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyReadError::TooLarge)) => {
            Err(LocalAnswer::rejection(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"))
        }
        Ok(Err(BodyReadError::BrokenOff(_))) => Err(LocalAnswer::rejection(StatusCode::BAD_REQUEST, "body_broken_off")),
        Ok(Err(BodyReadError::MemoryFull)) => Err(LocalAnswer::refusal(NotRunReason::MemoryFull)),
        Err(_) => Err(LocalAnswer::refusal(NotRunReason::DeadlinePassed)),
    }
}
