//! Serves the callers' API on a socket, with a request handler defined by the test.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use havengate_core::configuration::Configuration;
use havengate_core::request::{AnswerPiece, FinishReason, RequestId};
use havengate_core::verdict::Verdict;
use havengate_node::callers::{
    AnswerSink, CallerApi, CallerDirectory, CallerLimits, CallerRequest, Readiness, RequestHandler,
};
use havengate_node::http_server::{HangUp, HttpServer, HttpServerConfig, HttpServerHandle};
use havengate_node::metrics::Metrics;

use crate::http_server_support::{PATIENCE, RawClient};

/// The function that the handler runs for each request.
pub type Behaviour = dyn Fn(&CallerRequest, &mut dyn AnswerSink, &HangUp) -> Verdict + Send + Sync;

/// Authorization header line of the configured tenant.
pub const KEY: &str = "authorization: Bearer press-key\r\n";

const CONFIGURATION: &str = r#"
[[model]]
name = "lekh-model"
performance = { kv_capacity_tokens = 50000 }

[[contract]]
name = "verdict"
first_token_within = "2s"
token_interval = "100ms"
repeatable = true
priority = 7

[[contract]]
name = "ticket"
first_token_within = "1s"
token_interval = "100ms"
repeatable = false

[[contract]]
name = "proof"
first_token_within = "3s"
token_interval = "100ms"
repeatable = true
priority = 7

[[contract]]
name = "release-night"
first_token_within = "1s"
token_interval = "50ms"
repeatable = true
priority = 8

[[tenant]]
name = "press"
api_key = "press-key"
contract = "verdict"
"#;

struct FakeHandler {
    directory: Arc<CallerDirectory>,
    readiness: Readiness,
    behaviour: Box<Behaviour>,
}

impl RequestHandler for FakeHandler {
    fn submit(&self, request: CallerRequest, answer: &mut dyn AnswerSink, hang_up: &HangUp) -> Verdict {
        (self.behaviour)(&request, answer, hang_up)
    }

    fn directory(&self) -> Arc<CallerDirectory> {
        Arc::clone(&self.directory)
    }

    fn readiness(&self) -> Readiness {
        self.readiness
    }
}

/// A running server of the callers' API.
pub struct Callers {
    pub server: HttpServerHandle,
    pub metrics: Arc<Metrics>,
}

impl Callers {
    /// Starts a ready API server whose handler runs `behaviour`.
    pub fn new(
        behaviour: impl Fn(&CallerRequest, &mut dyn AnswerSink, &HangUp) -> Verdict + Send + Sync + 'static,
    ) -> Self {
        Callers::with(Readiness::Ready, HttpServerConfig::default(), behaviour)
    }

    pub fn with(
        readiness: Readiness,
        config: HttpServerConfig,
        behaviour: impl Fn(&CallerRequest, &mut dyn AnswerSink, &HangUp) -> Verdict + Send + Sync + 'static,
    ) -> Self {
        let configuration: Configuration = toml::from_str(CONFIGURATION).expect("valid");
        let directory = Arc::new(CallerDirectory::new(&configuration));
        let handler = Arc::new(FakeHandler { directory, readiness, behaviour: Box::new(behaviour) });
        let metrics = Arc::new(Metrics::new());
        let api = Arc::new(CallerApi::new(handler, CallerLimits::default(), Arc::clone(&metrics)));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Callers { server: HttpServer::bind(any_port, config, api).expect("binds"), metrics }
    }

    /// Waits until the metrics contain `line`; requests are counted only after their answer is written.
    pub fn assert_metric(&self, line: &str) {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let metrics = self.metrics.encode().expect("text");
            if metrics.contains(line) {
                return;
            }
            assert!(Instant::now() < deadline, "{line}\n{metrics}");
            std::thread::yield_now();
        }
    }

    pub fn client(&self) -> RawClient {
        RawClient::connect(self.server.local_address())
    }
}

/// Builds a piece with one token per word of `text`.
pub fn piece(request: RequestId, first_token: u32, text: &str, finish: Option<FinishReason>) -> AnswerPiece {
    let tokens = text.split_whitespace().count() as u32;
    AnswerPiece { request, first_token, tokens, text: text.to_owned(), finish }
}

/// Answers "proof approved", in two pieces.
pub fn approve(request: &CallerRequest, answer: &mut dyn AnswerSink, _: &HangUp) -> Verdict {
    let id = request.profile.id;
    let _ = answer.piece(piece(id, 0, "proof", None));
    let _ = answer.piece(piece(id, 1, " approved", Some(FinishReason::Stop)));
    Verdict::Completed
}
