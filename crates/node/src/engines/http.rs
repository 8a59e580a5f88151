//! Engines over HTTP, by `ureq`.

use std::io::{BufRead, BufReader, Read};
use std::time::Duration;

use havengate_core::authority::{EngineReport, Order, OrderReply, Term};
use havengate_core::request::RequestId;
use havengate_core::world::Address;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use super::api::{EngineApi, EngineCallError, GenerateStream, StreamError};
use super::dialect::{
    CacheEvents, CancelAnswer, CancelRequest, EngineRefusal, FenceRequest, GenerateLine, GenerateRequest, KvHandle,
    LoadReport, OrderAnswer, PrefillAnswer,
};

/// The longest line of an engine's stream. An engine that sends more without a line's end is broken, and reading on
/// would let it take the node's memory.
const LINE_MAXIMUM_BYTES: u64 = 1024 * 1024;

const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

/// How long the node waits for engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineTimeouts {
    /// For a connection; an engine that takes longer counts as down.
    pub connect: Duration,
    /// For the answer to a control call: state, fence, order, load, cancel.
    pub control: Duration,
    /// For a prefill, and for the first line of a stream: it includes waiting in the engine's queue.
    pub first_answer: Duration,
    /// Between two reads of a stream; longer silence counts as a cut.
    pub between_lines: Duration,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        EngineTimeouts {
            connect: Duration::from_millis(500),
            control: Duration::from_secs(2),
            first_answer: Duration::from_secs(120),
            between_lines: Duration::from_secs(30),
        }
    }
}

/// Calls engines over HTTP.
pub struct HttpEngineApi {
    requests: Agent,
    control: Agent,
}

impl HttpEngineApi {
    /// An adapter with these time limits.
    ///
    /// Requests get a new connection each: a pooled connection that the engine has just closed fails after bytes may
    /// have left, so a refusal could no longer be told from a request that may have run. With a new connection, a
    /// failure to connect is proof that the request did not run.
    pub fn new(timeouts: EngineTimeouts) -> Self {
        let requests = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(0)
            .timeout_connect(Some(timeouts.connect))
            .timeout_recv_response(Some(timeouts.first_answer))
            .timeout_per_read(Some(timeouts.between_lines))
            .build();
        let control = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_connect(Some(timeouts.connect))
            .timeout_global(Some(timeouts.control))
            .build();
        HttpEngineApi { requests: requests.into(), control: control.into() }
    }

    fn start(&self, url: &str, request: &GenerateRequest) -> Result<ureq::Body, EngineCallError> {
        let response = self.requests.post(url).send_json(request).map_err(classify)?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        match status {
            STATUS_OK => Ok(body),
            STATUS_CONFLICT => Err(refusal(&mut body)),
            400..=499 => Err(EngineCallError::NotRun(format!("status {status}"))),
            _ => Err(EngineCallError::MayHaveRun(format!("status {status}"))),
        }
    }

    fn get<Answer: DeserializeOwned>(&self, url: &str) -> Option<Answer> {
        let mut response = self.control.get(url).call().ok()?;
        if response.status().as_u16() != STATUS_OK {
            return None;
        }
        response.body_mut().read_json().ok()
    }

    fn send_order(&self, url: &str, body: &impl Serialize) -> OrderReply {
        let Ok(mut response) = self.control.post(url).send_json(body) else { return OrderReply::Unknown };
        if !matches!(response.status().as_u16(), STATUS_OK | STATUS_CONFLICT) {
            return OrderReply::Unknown;
        }
        let Ok(answer) = response.body_mut().read_json::<OrderAnswer>() else { return OrderReply::Unknown };
        match answer.refusal {
            None => OrderReply::Accepted(answer.report),
            Some(refusal) => OrderReply::Refused(refusal, answer.report),
        }
    }
}

impl EngineApi for HttpEngineApi {
    fn generate(&self, engine: Address, request: &GenerateRequest) -> Result<Box<dyn GenerateStream>, EngineCallError> {
        let body = self.start(&format!("http://{engine}/v1/generate"), request)?;
        Ok(Box::new(HttpStream { lines: BufReader::new(Box::new(body.into_reader())) }))
    }

    fn prefill(&self, engine: Address, request: &GenerateRequest) -> Result<KvHandle, EngineCallError> {
        let mut body = self.start(&format!("http://{engine}/v1/prefill"), request)?;
        let answer: PrefillAnswer = body.read_json().map_err(|error| EngineCallError::MayHaveRun(error.to_string()))?;
        if answer.request != request.request {
            return Err(EngineCallError::MayHaveRun("the answer is another request's".to_owned()));
        }
        Ok(answer.handle)
    }

    fn cancel(&self, engine: Address, request: RequestId) -> Option<CancelAnswer> {
        let body = CancelRequest { request: request.to_string() };
        let mut response = self.control.post(format!("http://{engine}/v1/cancel")).send_json(body).ok()?;
        if response.status().as_u16() != STATUS_OK {
            return None;
        }
        response.body_mut().read_json().ok()
    }

    fn state(&self, engine: Address) -> Option<EngineReport> {
        self.get(&format!("http://{engine}/v1/state"))
    }

    fn raise_fence(&self, engine: Address, term: Term) -> OrderReply {
        self.send_order(&format!("http://{engine}/v1/fence"), &FenceRequest { term })
    }

    fn order(&self, engine: Address, order: &Order) -> OrderReply {
        self.send_order(&format!("http://{engine}/v1/orders"), order)
    }

    fn load(&self, engine: Address) -> Option<LoadReport> {
        self.get(&format!("http://{engine}/v1/load"))
    }

    fn cache_events(&self, engine: Address, after: u64) -> Option<CacheEvents> {
        self.get(&format!("http://{engine}/v1/cache-events?after={after}"))
    }
}

/// Only a failure to connect proves that the engine got nothing: once connected, bytes may have left the socket.
fn classify(error: ureq::Error) -> EngineCallError {
    let not_sent = match &error {
        ureq::Error::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => true,
        _ => false,
    };
    let reason = error.to_string();
    if not_sent { EngineCallError::NotRun(reason) } else { EngineCallError::MayHaveRun(reason) }
}

fn refusal(body: &mut ureq::Body) -> EngineCallError {
    match body.read_json::<EngineRefusal>() {
        Ok(refusal) => EngineCallError::NotRun(refusal.code),
        Err(error) => EngineCallError::MayHaveRun(error.to_string()),
    }
}

struct HttpStream {
    lines: BufReader<Box<dyn Read + Send>>,
}

impl GenerateStream for HttpStream {
    fn next_line(&mut self) -> Result<GenerateLine, StreamError> {
        let mut line = String::new();
        let read = (&mut self.lines).take(LINE_MAXIMUM_BYTES).read_line(&mut line);
        match read {
            Err(error) => Err(StreamError::Cut(error.to_string())),
            Ok(_) if !line.ends_with('\n') => {
                Err(StreamError::Cut("the stream ended without its last line".to_owned()))
            }
            Ok(_) => serde_json::from_str(&line).map_err(|error| StreamError::Malformed(error.to_string())),
        }
    }
}
