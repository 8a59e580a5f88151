//! Finds where a stream that a caller takes up again may go on.

use std::time::Duration;

use havengate_core::back_ends::{EngineStage, Usability};
use havengate_core::resumption::{
    FoundOrigin, OriginEvidence, OriginLookup, OriginSearch, OriginSource, ServiceTag, StreamKey, StreamOrigin,
    VersionKey,
};
use havengate_core::routing::{RequestKind, Route};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::verdict::NotRunReason;
use havengate_core::world::{BackEndId, ServiceName, TenantName};

use super::caller_request::CallerRequest;
use super::traffic::Traffic;
use crate::protocol::{RequestHead, Resumption};

/// Where a resumed stream goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// The service.
    pub service: ServiceName,
    /// The only version that may go on with it.
    pub version: VersionKey,
}

/// Whether streams of a route can be resumed.
pub fn is_resumable(route: &Route) -> bool {
    route.kind == RequestKind::Stream { resumable: true }
}

/// Finds where the stream that a request takes up again may go on, if it takes one up. `service` is the one that a new
/// request would go to.
///
/// # Errors
/// If the stream may not go on now.
pub async fn find_resumed_stream<P>(
    traffic: &Traffic<P>,
    head: &RequestHead,
    route: &Route,
    tenant: Option<&TenantName>,
    service: &ServiceName,
) -> Result<Option<ResumedStream>, NotRunReason> {
    let Some(resumption) = head.resumption.as_ref().filter(|_| is_resumable(route)) else {
        return Ok(None);
    };
    let began_at = traffic.clock.now();
    let found = find_origin(traffic, head, resumption, route, tenant, service).await;
    let resumed = match found {
        None => Err(NotRunReason::StreamOriginUnknown),
        Some(found) => resume_at(traffic, route, found.origin),
    };
    log_resumption(traffic, head, resumption, found, &resumed, traffic.clock.now().since(began_at));
    resumed.map(Some)
}

async fn find_origin<P>(
    traffic: &Traffic<P>,
    head: &RequestHead,
    resumption: &Resumption,
    route: &Route,
    tenant: Option<&TenantName>,
    service: &ServiceName,
) -> Option<FoundOrigin> {
    let stream = resumption.first_request.as_ref().map(|id| StreamKey::new(tenant, id.as_bytes()));
    let lookup = stream.map_or(OriginLookup::Unknown, |stream| traffic.origins.find(stream));
    let has_other_services = route.services.iter().filter(|part| part.weight > 0).count() > 1;
    let (now, tag) = (traffic.clock.now(), ServiceTag::from(service));
    let mut search = OriginSearch::begin(lookup, tag, has_other_services, &traffic.knowledge.load().versions, now);
    if search.should_query_peers() {
        // Without a name, peers can still report which versions can have begun the stream.
        let stream = stream.unwrap_or_else(|| StreamKey::new(tenant, head.id.as_bytes()));
        traffic.peer_notices.search_origin(&mut search, stream, tag).await;
    }
    search.end()
}

/// Checks that the stream can go on at its version: its service still gets requests of the route, and has a back end of the
/// version that may be sent requests.
fn resume_at<P>(traffic: &Traffic<P>, route: &Route, origin: StreamOrigin) -> Result<ResumedStream, NotRunReason> {
    let mut parts = route.services.iter().filter(|part| part.weight > 0);
    let part = parts.find(|part| ServiceTag::from(&part.service) == origin.service);
    let service = part.map(|part| part.service.clone()).ok_or(NotRunReason::StreamOriginGone)?;
    let resumed = ResumedStream { service, version: origin.version };
    if serves(traffic, &resumed) { Ok(resumed) } else { Err(NotRunReason::StreamOriginGone) }
}

/// Whether a back end of the stream's version may be sent requests.
fn serves<P>(traffic: &Traffic<P>, resumed: &ResumedStream) -> bool {
    let knowledge = traffic.knowledge.load();
    let now = traffic.clock.now();
    let notices = traffic.notices.lock();
    let mut entries = knowledge.directory.of_service(&resumed.service);
    entries.any(|entry| {
        entry.back_end.stage != Some(EngineStage::Prefill)
            && knowledge.versions.key_of(&entry.back_end.id) == resumed.version
            && notices.usability(entry, now) != Usability::Unusable
    })
}

fn log_resumption<P>(
    traffic: &Traffic<P>,
    head: &RequestHead,
    resumption: &Resumption,
    found: Option<FoundOrigin>,
    resumed: &Result<ResumedStream, NotRunReason>,
    waited: Duration,
) {
    let known = found.map_or(OriginEvidence::None, |found| found.evidence).code();
    let verdict = resumed.as_ref().err().map_or("goes_on", |reason| reason.code());
    traffic.metrics.record_resumed_stream(known, verdict);
    let versions = &traffic.knowledge.load().versions;
    let version = found.map(|found| versions.label_of(found.origin.version)).unwrap_or_default();
    let age_ms = found.and_then(|found| found.age).map(whole_millis);
    let (request, resumes, waited_ms) = (head.id_text(), resumption.first_request_text(), whole_millis(waited));
    log::info!(event = "stream_resumed", request, resumes, version, known, age_ms:? = age_ms, waited_ms, verdict; "");
}

/// A request that was sent to a back end.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// When it was sent.
    pub at: Timestamp,
    /// The version of the back end at that time.
    pub version: VersionKey,
}

/// Records that `back_end` began the stream of `request`, which was sent to it as `sent`, and notifies the replicas.
pub async fn record_origin<P>(traffic: &Traffic<P>, request: &CallerRequest, back_end: &BackEndId, sent: SentRequest) {
    if !is_resumable(&request.route) || request.head.id.is_empty() {
        return;
    }
    let knowledge = traffic.knowledge.load_full();
    // A back end whose identity doesn't include its start may have been replaced by another version since.
    let version = match (request.resumed_version, back_end.started()) {
        (Some(version), _) => version,
        (None, Some(_)) => knowledge.versions.key_of(back_end),
        (None, None) => sent.version,
    };
    let origin = StreamOrigin { service: ServiceTag::from(&request.service), version };
    let tenant = request.tenant.as_ref().map(|tenant| &tenant.name);
    let stream = StreamKey::new(tenant, request.head.id.as_bytes());
    let now = traffic.clock.now();
    traffic.origins.record(stream, origin, sent.at, OriginSource::Own, now + knowledge.versions.kept_for());
    traffic.peer_notices.publish_origin(stream, origin, sent.at).await;
}
