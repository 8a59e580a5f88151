//! HTTP handler of the callers' API.

use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use havengate_core::request::RequestId;
use havengate_core::world::Tenant;
use ulid::Ulid;

use super::body::CompletionKind;
use super::check::{CheckedRequest, authenticate, check_completion, require_ready};
use super::delivery::{Delivery, DeliveryOptions};
use super::directory::CallerDirectory;
use super::error::CallerError;
use super::format::{AnswerFormat, ModelList};
use super::handler::{CallerLimits, RequestHandler};
use super::headers;
use super::record::{RequestAttributes, record_outcome, record_panic, record_refusal};
use crate::http_server::header::ALLOW;
use crate::http_server::{Handler, Method, Request, Response, ResponseSender, ServerRefusal, StatusCode};
use crate::logging::RequestScope;
use crate::metrics::{Metrics, RefusalLabels};

/// Validates callers' requests, submits them and writes the answers.
pub struct CallerApi {
    handler: Arc<dyn RequestHandler>,
    limits: CallerLimits,
    metrics: Arc<Metrics>,
}

/// Endpoint selected by a request's method and path.
enum Route {
    Models,
    Completion(CompletionKind),
}

impl CallerApi {
    /// Creates an API that submits requests to `handler`.
    pub fn new(handler: Arc<dyn RequestHandler>, limits: CallerLimits, metrics: Arc<Metrics>) -> Self {
        CallerApi { handler, limits, metrics }
    }

    fn models(&self, request: &Request, id: RequestId) -> Response {
        let directory = self.handler.directory();
        if let Err(error) = self.authenticate_tenant(request, &directory) {
            return error.response(Some(id), false);
        }
        let names = directory.models().map(|model| model.name.as_str());
        let mut response = Response::json(StatusCode::OK, &ModelList::new(names));
        headers::insert_request_id(&mut response.headers, id);
        response
    }

    fn completion(&self, kind: CompletionKind, request: Request, id: RequestId, response: ResponseSender) {
        let arrival = Instant::now();
        let directory = self.handler.directory();
        let tenant = self.authenticate_tenant(&request, &directory);
        let checked = tenant.clone().and_then(|tenant| {
            require_ready(self.handler.readiness())?;
            check_completion(id, kind, &request, tenant, &directory, &self.limits)
        });
        // Returns the body's bytes to the server's memory budget before the request runs.
        drop(request);
        match checked {
            Ok(checked) => self.submit(kind, checked, response, arrival),
            Err(error) => {
                record_refusal(&self.metrics, tenant.ok().map(|tenant| &tenant.name), &error);
                response.send(error.response(Some(id), false));
            }
        }
    }

    /// Returns the tenant that sent the request. A node that isn't ready may lack the configuration that defines the
    /// tenant, so it must not report an unknown key: callers don't retry after that error.
    fn authenticate_tenant<'a>(
        &self,
        request: &Request,
        directory: &'a CallerDirectory,
    ) -> Result<&'a Tenant, CallerError> {
        authenticate(request, directory).or_else(|error| {
            require_ready(self.handler.readiness())?;
            Err(error)
        })
    }

    fn submit(&self, kind: CompletionKind, checked: CheckedRequest, response: ResponseSender, arrival: Instant) {
        let attributes = RequestAttributes::from_profile(&checked.request.profile);
        let options = delivery_options(kind, &checked);
        let hang_up = response.hang_up().clone();
        let mut delivery = Delivery::new(options, response, &self.metrics, arrival);
        let _open = OpenStream::start(&self.metrics, &attributes);
        let verdict = self.handler.submit(checked.request, &mut delivery, &hang_up);
        let outcome = delivery.end(verdict);
        record_outcome(&self.metrics, &attributes, &outcome);
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

/// Reason why no endpoint matches a request.
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

/// Counts a request as open until dropped. If the handler panics, the drop records the request, so that the request
/// totals include it.
struct OpenStream<'a> {
    metrics: &'a Metrics,
    attributes: &'a RequestAttributes,
}

impl<'a> OpenStream<'a> {
    fn start(metrics: &'a Metrics, attributes: &'a RequestAttributes) -> Self {
        metrics.streams_open.inc();
        OpenStream { metrics, attributes }
    }
}

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.metrics.streams_open.dec();
        if std::thread::panicking() {
            record_panic(self.metrics, self.attributes);
        }
    }
}

fn delivery_options(kind: CompletionKind, checked: &CheckedRequest) -> DeliveryOptions {
    let profile = &checked.request.profile;
    let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs());
    DeliveryOptions {
        request: profile.id,
        format: AnswerFormat::new(kind, profile.id, profile.model.as_str(), created),
        prompt_tokens: profile.prompt_tokens,
        stream: checked.stream,
        include_usage: checked.include_usage,
    }
}
