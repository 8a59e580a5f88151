//! The callers' API as a handler of HTTP requests.

use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use havengate_core::request::RequestId;
use havengate_core::world::Tenant;
use ulid::Ulid;

use super::body::CompletionKind;
use super::check::{CheckedRequest, authenticate, check_completion, require_ready};
use super::delivery::{Delivery, DeliveryForm};
use super::directory::CallerDirectory;
use super::error::CallerError;
use super::format::{AnswerFormat, ModelList};
use super::handler::{CallerLimits, RequestHandler};
use super::headers;
use super::record::{RequestParty, record_end, record_failure, record_refusal};
use crate::http_server::header::ALLOW;
use crate::http_server::{Handler, Method, Request, Response, ResponseSender, ServerRefusal, StatusCode};
use crate::logging::RequestScope;
use crate::metrics::{Metrics, RefusalLabels};

/// Serves callers: checks their requests, submits them and writes the answers.
pub struct CallerApi {
    requests: Arc<dyn RequestHandler>,
    limits: CallerLimits,
    metrics: Arc<Metrics>,
}

/// What a request's method and path ask for.
enum Route {
    Models,
    Completion(CompletionKind),
}

impl CallerApi {
    /// An API that submits requests to `requests`.
    pub fn new(requests: Arc<dyn RequestHandler>, limits: CallerLimits, metrics: Arc<Metrics>) -> Self {
        CallerApi { requests, limits, metrics }
    }

    fn models(&self, request: &Request, id: RequestId) -> Response {
        let directory = self.requests.directory();
        if let Err(error) = self.tenant_of(request, &directory) {
            return error.response(Some(id), false);
        }
        let names = directory.models().map(|model| model.name.as_str());
        let mut response = Response::json(StatusCode::OK, &ModelList::new(names));
        headers::insert_request_id(&mut response.headers, id);
        response
    }

    fn completion(&self, kind: CompletionKind, request: Request, id: RequestId, response: ResponseSender) {
        let arrival = Instant::now();
        let directory = self.requests.directory();
        let tenant = self.tenant_of(&request, &directory);
        let checked = tenant.clone().and_then(|tenant| {
            require_ready(self.requests.readiness())?;
            check_completion(id, kind, &request, tenant, &directory, &self.limits)
        });
        // The body's share of the server's memory is free for others from here on.
        drop(request);
        match checked {
            Ok(checked) => self.submit(kind, checked, response, arrival),
            Err(error) => {
                record_refusal(&self.metrics, tenant.ok().map(|tenant| &tenant.name), &error);
                response.send(error.response(Some(id), false));
            }
        }
    }

    /// The tenant that asks. A node that isn't ready may lack the configuration that names the tenant: it must not call
    /// a key unknown, which tells the caller not to ask again.
    fn tenant_of<'a>(&self, request: &Request, directory: &'a CallerDirectory) -> Result<&'a Tenant, CallerError> {
        authenticate(request, directory).or_else(|unknown| {
            require_ready(self.requests.readiness())?;
            Err(unknown)
        })
    }

    fn submit(&self, kind: CompletionKind, checked: CheckedRequest, response: ResponseSender, arrival: Instant) {
        let party = RequestParty::of(&checked.request.profile);
        let form = delivery_form(kind, &checked);
        let hang_up = response.hang_up().clone();
        let mut delivery = Delivery::new(form, response, &self.metrics, arrival);
        let _open = OpenStream::count(&self.metrics, &party);
        let verdict = self.requests.submit(checked.request, &mut delivery, &hang_up);
        let end = delivery.end(verdict);
        record_end(&self.metrics, &party, &end);
    }
}

impl Handler for CallerApi {
    fn handle(&self, request: Request, response: ResponseSender) {
        let id = RequestId(Ulid::generate().0);
        let _scope = RequestScope::enter(id);
        match route(&request) {
            Ok(Route::Models) => response.send(self.models(&request, id)),
            Ok(Route::Completion(kind)) => self.completion(kind, request, id, response),
            Err(refusal) => response.send(refusal.response(id)),
        }
    }

    fn refuse(&self, refusal: ServerRefusal) -> Response {
        self.metrics.http_refusals.get_or_create(&RefusalLabels { api: "callers", reason: refusal.code() }).inc();
        CallerError::server(refusal).response(None, false)
    }
}

/// A request that no route takes.
enum RoutingRefusal {
    UnknownPath,
    MethodNotAllowed { allowed: &'static str },
}

impl RoutingRefusal {
    fn response(&self, id: RequestId) -> Response {
        let error = match self {
            RoutingRefusal::UnknownPath => {
                CallerError::routing(StatusCode::NOT_FOUND, "unknown_path", "there is no such path")
            }
            RoutingRefusal::MethodNotAllowed { allowed } => {
                let message = format!("the path takes {allowed} only");
                CallerError::routing(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", message)
            }
        };
        let mut response = error.response(Some(id), false);
        if let RoutingRefusal::MethodNotAllowed { allowed } = self {
            headers::insert(&mut response.headers, ALLOW, allowed);
        }
        response
    }
}

fn route(request: &Request) -> Result<Route, RoutingRefusal> {
    let (allowed, route) = match request.path() {
        "/v1/models" => (Method::GET, Route::Models),
        "/v1/completions" => (Method::POST, Route::Completion(CompletionKind::Text)),
        "/v1/chat/completions" => (Method::POST, Route::Completion(CompletionKind::Chat)),
        _ => return Err(RoutingRefusal::UnknownPath),
    };
    if request.method == allowed {
        return Ok(route);
    }
    Err(RoutingRefusal::MethodNotAllowed { allowed: if allowed == Method::GET { "GET" } else { "POST" } })
}

/// Counts a request as going on until it is dropped. A handler that panics is recorded too: no request may be missing
/// from the sums.
struct OpenStream<'a> {
    metrics: &'a Metrics,
    party: &'a RequestParty,
}

impl<'a> OpenStream<'a> {
    fn count(metrics: &'a Metrics, party: &'a RequestParty) -> Self {
        metrics.streams_open.inc();
        OpenStream { metrics, party }
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.metrics.streams_open.dec();
        if std::thread::panicking() {
            record_failure(self.metrics, self.party);
        }
    }
}

fn delivery_form(kind: CompletionKind, checked: &CheckedRequest) -> DeliveryForm {
    let profile = &checked.request.profile;
    let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    DeliveryForm {
        request: profile.id,
        format: AnswerFormat::new(kind, profile.id, profile.model.as_str(), created),
        prompt_tokens: profile.prompt_tokens,
        stream: checked.stream,
        include_usage: checked.include_usage,
    }
}
