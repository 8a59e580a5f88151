//! The operators' API as a handler of HTTP requests.

use std::sync::{Arc, Mutex, PoisonError};

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::handler::OperatorHandler;
use super::levels::record_levels;
use super::messages::{HealthAnswer, IntentDocument, OperatorError, OperatorErrorCode, PlanId};
use crate::http_server::header::{ALLOW, HeaderValue};
use crate::http_server::{Handler, Method, Request, Response, ResponseSender, ServerRefusal, StatusCode};
use crate::metrics::{METRICS_CONTENT_TYPE, Metrics, RefusalLabels};

/// Serves operators.
pub struct OperatorApi {
    operations: Arc<dyn OperatorHandler>,
    metrics: Arc<Metrics>,
    /// Held while levels are read and written, so that no scrape sees another one's half.
    scrape: Mutex<()>,
}

/// What a request's path stands for, with the one method that it takes.
enum Route<'a> {
    Status,
    Metrics,
    Health,
    Ready,
    Intents,
    Plans,
    Plan(&'a str),
    ConfirmPlan(&'a str),
    Policies,
    Drain,
}

impl<'a> Route<'a> {
    fn of(path: &'a str) -> Option<Self> {
        let route = match path {
            "/status" => Route::Status,
            "/metrics" => Route::Metrics,
            "/health" => Route::Health,
            "/ready" => Route::Ready,
            "/intents" => Route::Intents,
            "/plans" => Route::Plans,
            "/policies" => Route::Policies,
            "/drain" => Route::Drain,
            path => return Route::of_plan(path.strip_prefix("/plans/")?),
        };
        Some(route)
    }

    fn of_plan(rest: &'a str) -> Option<Self> {
        let (id, confirm) = match rest.strip_suffix("/confirm") {
            Some(id) => (id, true),
            None => (rest, false),
        };
        let is_id = !id.is_empty() && !id.contains('/');
        is_id.then_some(if confirm { Route::ConfirmPlan(id) } else { Route::Plan(id) })
    }

    fn method(&self) -> Method {
        match self {
            Route::Intents | Route::ConfirmPlan(_) | Route::Drain => Method::POST,
            _ => Method::GET,
        }
    }
}

impl OperatorApi {
    /// An API that passes operators' requests to `operations` and shows `metrics`.
    pub fn new(operations: Arc<dyn OperatorHandler>, metrics: Arc<Metrics>) -> Self {
        OperatorApi { operations, metrics, scrape: Mutex::new(()) }
    }

    fn respond(&self, request: &Request) -> Response {
        let Some(route) = Route::of(request.path()) else {
            return refused(&OperatorError::new(OperatorErrorCode::UnknownPath, "there is no such path"));
        };
        let method = route.method();
        if request.method != method {
            return method_not_allowed(&method);
        }
        self.serve(&route, request).unwrap_or_else(|error| refused(&error))
    }

    fn serve(&self, route: &Route<'_>, request: &Request) -> Result<Response, OperatorError> {
        let operations = &self.operations;
        let response = match route {
            Route::Status => done(&operations.status()),
            Route::Metrics => self.metrics()?,
            Route::Health => health(&operations.health()),
            Route::Ready => health(&operations.ready()),
            Route::Intents => done(&operations.propose(intent(&request.body)?)?),
            Route::Plans => done(&operations.plans()?),
            Route::Plan(id) => done(&operations.plan(&plan_id(id))?),
            Route::ConfirmPlan(id) => done(&operations.confirm(&plan_id(id), optional_json(&request.body)?)?),
            Route::Policies => done(&operations.policies()),
            Route::Drain => done(&operations.drain()),
        };
        Ok(response)
    }

    fn metrics(&self) -> Result<Response, OperatorError> {
        let _scrape = self.scrape.lock().unwrap_or_else(PoisonError::into_inner);
        record_levels(&self.metrics, &self.operations.status());
        let text = self.metrics.encode();
        let text = text.map_err(|error| OperatorError::new(OperatorErrorCode::Failed, error.to_string()))?;
        Ok(Response::typed(StatusCode::OK, METRICS_CONTENT_TYPE, text.into_bytes()))
    }
}

impl Handler for OperatorApi {
    fn handle(&self, request: Request, response: ResponseSender) {
        response.send(self.respond(&request));
    }

    fn refuse(&self, refusal: ServerRefusal) -> Response {
        self.metrics.http_refusals.get_or_create(&RefusalLabels { api: "operators", reason: refusal.code() }).inc();
        let code = match refusal {
            ServerRefusal::HandlerFailed => OperatorErrorCode::Failed,
            ServerRefusal::TooManyBodies | ServerRefusal::TooManyRequests | ServerRefusal::TooManyConnections => {
                OperatorErrorCode::NotReady
            }
            _ => OperatorErrorCode::InvalidRequest,
        };
        Response::json(refusal.status(), &OperatorError::new(code, refusal.to_string()))
    }
}

fn done(answer: &impl Serialize) -> Response {
    Response::json(StatusCode::OK, answer)
}

fn health(answer: &HealthAnswer) -> Response {
    let status = if answer.ok { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Response::json(status, answer)
}

fn refused(error: &OperatorError) -> Response {
    let status = match error.code {
        OperatorErrorCode::InvalidRequest => StatusCode::BAD_REQUEST,
        OperatorErrorCode::UnknownPath | OperatorErrorCode::UnknownPlan => StatusCode::NOT_FOUND,
        OperatorErrorCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        OperatorErrorCode::StalePlan => StatusCode::CONFLICT,
        OperatorErrorCode::NotReady | OperatorErrorCode::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        OperatorErrorCode::Failed => StatusCode::INTERNAL_SERVER_ERROR,
    };
    Response::json(status, error)
}

fn method_not_allowed(allowed: &Method) -> Response {
    let message = format!("the path takes {allowed} only");
    let mut response = refused(&OperatorError::new(OperatorErrorCode::MethodNotAllowed, message));
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        response.headers.insert(ALLOW, allowed);
    }
    response
}

fn plan_id(id: &str) -> PlanId {
    PlanId(id.to_owned())
}

/// Reads an intent: JSON when it starts like a JSON object, else TOML.
fn intent(body: &[u8]) -> Result<IntentDocument, OperatorError> {
    let text = std::str::from_utf8(body).map_err(|error| invalid("the intent is not UTF-8 text", &error))?;
    if text.trim_start().starts_with('{') {
        return serde_json::from_str(text).map_err(|error| invalid("the intent is not valid JSON", &error));
    }
    toml::from_str(text).map_err(|error| invalid("the intent is not valid TOML", &error))
}

/// Reads a JSON body that may be left out.
fn optional_json<Body: DeserializeOwned + Default>(body: &[u8]) -> Result<Body, OperatorError> {
    if body.trim_ascii().is_empty() {
        return Ok(Body::default());
    }
    serde_json::from_slice(body).map_err(|error| invalid("the body is not valid", &error))
}

fn invalid(what: &str, error: &dyn std::error::Error) -> OperatorError {
    OperatorError::new(OperatorErrorCode::InvalidRequest, format!("{what}: {error}"))
}
