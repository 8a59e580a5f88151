//! One request of a caller, from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use havengate_core::relay::{ContentId, Urgency};
use havengate_core::routing::{CallerLimits, Route, TenantAccess};
use havengate_core::verdict::NotRunReason;
use havengate_core::world::TenantName;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, CONNECTION, COOKIE, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::answer::{OwnAnswer, RelayBody};
use super::caller_request::CallerRequest;
use super::exchange_driver::drive;
use super::headers::strip_request;
use super::record::{RequestEnd, RequestRecord};
use super::traffic::Traffic;
use crate::knowledge::ActiveConfiguration;
use crate::protocol::{Protocol, RequestHead};

/// Answers one request.
pub async fn handle<P: Protocol>(traffic: Rc<Traffic<P>>, request: Request<Incoming>) -> Response<RelayBody> {
    let mut record = RequestRecord::begin(&traffic);
    let mut response = match take_in(&traffic, request, &mut record).await {
        Ok(taken) => drive(&traffic, taken, record).await,
        Err(own) => {
            let end = if own.retry_after.is_some() { RequestEnd::Refused } else { RequestEnd::Rejected };
            record.finish(end, own.cause);
            own.response()
        }
    };
    if traffic.leaving.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn take_in<P: Protocol>(
    traffic: &Traffic<P>,
    request: Request<Incoming>,
    record: &mut RequestRecord,
) -> Result<CallerRequest, OwnAnswer> {
    let (mut parts, body) = request.into_parts();
    let knowledge = traffic.knowledge.load_full();
    let Some(active) = &knowledge.configuration else {
        return Err(OwnAnswer::refusal(NotRunReason::NodeSuspended));
    };
    record.configuration = active.configuration.version.0;
    let route = find_route(active, &parts)?;
    record.route = Some(route.name.clone());
    let head = read_head(traffic, &parts.headers, record)?;
    let tenant = admit(traffic, active, &route, &mut parts.headers)?;
    record.tenant = tenant.as_ref().map(|tenant| tenant.name.clone());
    let limit = head.deadline.map_or(route.time_limit, |deadline| deadline.min(route.time_limit));
    let body = read_body(body, &active.configuration.limits, limit).await?;
    let service = traffic.with_splits(|turns| turns.next(&route).cloned());
    let service = service.ok_or_else(|| OwnAnswer::refusal(NotRunReason::NoEngine))?;
    record.service = Some(service.clone());
    let content = content_of(&parts, record.tenant.as_ref(), &body);
    record.content = Some(content);
    strip_request(&mut parts.headers);
    Ok(CallerRequest {
        content,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        head,
        route,
        tenant,
        service,
        arrived: record.arrived,
        ends_at: record.arrived + limit,
        urgency: Urgency::InTime,
    })
}

fn read_head<P: Protocol>(
    traffic: &Traffic<P>,
    headers: &HeaderMap,
    record: &mut RequestRecord,
) -> Result<RequestHead, OwnAnswer> {
    let head = traffic.protocol.read_head(headers).map_err(|error| {
        log::warn!(event = "head_malformed", error:% = error; "");
        OwnAnswer::rejection(StatusCode::BAD_REQUEST, "malformed_head")
    })?;
    head.id_text().clone_into(&mut record.request);
    Ok(head)
}

fn find_route(active: &ActiveConfiguration, parts: &Parts) -> Result<Arc<Route>, OwnAnswer> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = active.routes.find(host, parts.uri.path());
    route.cloned().ok_or_else(|| OwnAnswer::rejection(StatusCode::NOT_FOUND, "no_route"))
}

/// Finds out whose request it is. Where the configuration has tenants, the key ends here, also on public routes.
fn admit<P: Protocol>(
    traffic: &Traffic<P>,
    active: &ActiveConfiguration,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<TenantAccess>>, OwnAnswer> {
    let Some(keys) = &active.keys else {
        return Ok(None);
    };
    let presented = traffic.protocol.take_key(headers);
    if !route.is_public && !traffic.may_go_by_keys() {
        return Err(OwnAnswer::refusal(NotRunReason::NodeSuspended));
    }
    keys.admit(route, presented).map_err(|refusal| OwnAnswer::rejection(StatusCode::UNAUTHORIZED, refusal.code()))
}

/// What a request asks: what its copies have in common. Beside method, host, target and body that is what tells the caller,
/// since the same words may mean another thing for another one. What a caller sets anew for each copy stays out.
fn content_of(parts: &Parts, tenant: Option<&TenantName>, body: &Bytes) -> ContentId {
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

async fn read_body(body: Incoming, limits: &CallerLimits, limit: Duration) -> Result<Bytes, OwnAnswer> {
    let too_large = || OwnAnswer::rejection(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    if body.size_hint().lower() > limits.body_maximum_bytes {
        return Err(too_large());
    }
    let maximum = usize::try_from(limits.body_maximum_bytes).unwrap_or(usize::MAX);
    match timeout(limit, Limited::new(body, maximum).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(OwnAnswer::rejection(StatusCode::BAD_REQUEST, "body_broken_off")),
        Err(_) => Err(OwnAnswer::refusal(NotRunReason::DeadlinePassed)),
    }
}
