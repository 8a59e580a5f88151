//! The calls of the engines' dialect.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::thread;

use havengate_core::authority::{Order, OrderReply};
use havengate_core::request::RequestId;
use havengate_node::engines::dialect::{
    CancelAnswer, CancelRequest, EngineRefusal, FenceRequest, KvHandle, OrderAnswer,
};
use havengate_node::http_server::{Handler, Method, Request, Response, ResponseSender, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::super::model::{CancelOutcome, EngineRefusalCode, ExportId, WorkKind};
use super::kv_client::KvClient;
use super::process::EngineProcess;

/// Answers the engines' dialect from a model.
pub(super) struct EngineHandler {
    pub(super) process: Arc<EngineProcess>,
    pub(super) address: OnceLock<SocketAddr>,
    pub(super) kv_client: KvClient,
}

impl Handler for EngineHandler {
    fn handle(&self, request: Request, response: ResponseSender) {
        self.process.model.wait_while_paused();
        thread::sleep(self.process.faults().answer_delay);
        match (&request.method, request.path()) {
            (&Method::POST, "/v1/generate") => self.run(&request.body, WorkKind::Generate, response),
            (&Method::POST, "/v1/prefill") => self.run(&request.body, WorkKind::Prefill, response),
            _ => {
                let answer = self.control(&request);
                self.process.model.wait_while_paused();
                response.send(answer);
            }
        }
    }
}

impl EngineHandler {
    fn control(&self, request: &Request) -> Response {
        let body = &request.body;
        match (&request.method, request.path()) {
            (&Method::POST, "/v1/cancel") => with_body(body, |body| self.cancel(body)),
            (&Method::POST, "/v1/fence") => with_body(body, |body| self.raise_fence(body)),
            (&Method::POST, "/v1/orders") => with_body(body, |body| self.order(body)),
            (&Method::POST, "/v1/kv/claim") => with_body(body, |body| self.claim(body)),
            (&Method::GET, "/v1/state") => self.state(),
            (&Method::GET, "/v1/load") => ok(&self.process.model.with_model(|model, now| model.load(now))),
            (&Method::GET, "/v1/cache-events") => self.cache_events(request.query("after")),
            _ => Response::text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn cancel(&self, body: CancelRequest) -> Response {
        let Some(request) = parse_request_id(&body.request) else { return bad_request("not a request id") };
        let (outcome, alive) =
            self.process.model.with_model(|model, now| (model.cancel(request, now), model.alive_for(now)));
        let alive_ms = u64::try_from(alive.as_millis()).unwrap_or(u64::MAX);
        ok(&CancelAnswer { started: outcome == CancelOutcome::Started, alive_ms })
    }

    fn raise_fence(&self, body: FenceRequest) -> Response {
        order_response(self.process.model.with_model(|model, now| model.raise_fence(body.term, now)))
    }

    fn order(&self, order: Order) -> Response {
        order_response(self.process.model.with_model(|model, now| model.order(&order, now)))
    }

    fn claim(&self, handle: KvHandle) -> Response {
        match self.process.model.with_model(|model, now| model.claim_export(ExportId(handle.id), now)) {
            Some(kv) => ok(&KvHandle { tokens: kv.tokens, ..handle }),
            None => Response::text(StatusCode::NOT_FOUND, "no such KV cache"),
        }
    }

    fn state(&self) -> Response {
        match self.process.model.with_model(|model, _| model.report().cloned()) {
            Some(report) => ok(&report),
            None => Response::text(StatusCode::SERVICE_UNAVAILABLE, "the engine is down"),
        }
    }

    fn cache_events(&self, after: Option<&str>) -> Response {
        match after.unwrap_or("0").parse() {
            Ok(after) => ok(&self.process.model.with_model(|model, now| model.cache_events(after, now))),
            Err(_) => bad_request("`after` is not a number"),
        }
    }
}

/// The response that refuses a request.
pub(super) fn refuse(code: EngineRefusalCode) -> Response {
    Response::json(StatusCode::CONFLICT, &EngineRefusal { code: code.code().to_owned() })
}

/// The response to a malformed request.
pub(super) fn bad_request(reason: &str) -> Response {
    Response::text(StatusCode::BAD_REQUEST, reason)
}

/// The response to a call that went well.
pub(super) fn ok(content: &impl Serialize) -> Response {
    Response::json(StatusCode::OK, content)
}

/// The request's identity, written as 32 hexadecimal digits.
pub(super) fn parse_request_id(text: &str) -> Option<RequestId> {
    u128::from_str_radix(text, 16).ok().map(RequestId)
}

fn with_body<Body: DeserializeOwned>(body: &[u8], answer: impl FnOnce(Body) -> Response) -> Response {
    match serde_json::from_slice(body) {
        Ok(body) => answer(body),
        Err(error) => bad_request(&error.to_string()),
    }
}

fn order_response(reply: OrderReply) -> Response {
    match reply {
        OrderReply::Accepted(report) => ok(&OrderAnswer { refusal: None, report }),
        OrderReply::Refused(refusal, report) => {
            Response::json(StatusCode::CONFLICT, &OrderAnswer { refusal: Some(refusal), report })
        }
        OrderReply::Unknown => Response::text(StatusCode::SERVICE_UNAVAILABLE, "the engine is down"),
    }
}
