//! One caller: sends a request over HTTP and reads what comes.

use std::io::{self, BufRead, BufReader};
use std::time::{Duration, Instant};

use havengate_core::request::{IdempotencyKey, RequestId};
use havengate_core::world::Address;
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::http::Response;
use ureq::{Agent, Body};

use super::planned::PlannedCall;
use super::prompt::first_block;
use crate::checker::{CallRecord, KeyedPrompt, Outcome};
use crate::engine::answer_length;

/// The time for a whole answer that callers ask for.
const DEADLINE: &str = "30s";

/// When a caller gives up by itself: the deadline and some time for a verdict that comes late.
const CALL_WITHIN: Duration = Duration::from_secs(40);

/// How long connecting may take.
const CONNECT_WITHIN: Duration = Duration::from_secs(5);

/// The code of a call whose connection broke.
const CONNECTION_LOST: &str = "connection_lost";

/// The code of a call that reached no node.
const NOT_CONNECTED: &str = "not_connected";

/// The code of an answer that carries no verdict.
const NO_VERDICT: &str = "no_verdict";

/// Sends requests, each on a connection of its own.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    agent: Agent,
    run_start: Instant,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorContent,
}

#[derive(Deserialize)]
struct ErrorContent {
    code: String,
    verdict: String,
}

/// What came of an answer so far.
#[derive(Default)]
struct Received {
    text: String,
    pieces: u32,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
}

impl Received {
    fn take(&mut self, text: &str) {
        if text.is_empty() {
            return;
        }
        let now = Instant::now();
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        // The words of a stand-in's answer are its tokens.
        self.pieces += text.split_whitespace().count() as u32;
        self.text.push_str(text);
    }

    fn token_interval(&self) -> Option<Duration> {
        let took = self.last_at?.duration_since(self.first_at?);
        (self.pieces > 1).then(|| took / (self.pieces - 1))
    }
}

impl Caller {
    pub(super) fn new(run_start: Instant) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_connect(Some(CONNECT_WITHIN))
            .timeout_global(Some(CALL_WITHIN));
        Caller { agent: config.build().into(), run_start }
    }

    /// Sends `call` to the node at `node` and waits for its end.
    pub(super) fn call(&self, call: &PlannedCall, node: Address) -> CallRecord {
        let prompt = call.prompt.text();
        let sent = Instant::now();
        let mut record = self.record(call, &prompt, sent);
        let mut received = Received::default();
        record.outcome = match self.send(call, &prompt, node) {
            Ok(response) => {
                record.request = header(&response, "x-request-id").and_then(parse_request_id);
                record.is_replayed = header(&response, "x-havengate-replayed").is_some();
                receive(response, call, &mut received)
            }
            Err(error) => not_answered(&error),
        };
        record.ended_at = self.run_start.elapsed();
        if call.is_streamed {
            record.first_token = received.first_at.map(|at| at.duration_since(sent));
            record.token_interval = received.token_interval();
        }
        record.text = received.text;
        record
    }

    fn record(&self, call: &PlannedCall, prompt: &str, sent: Instant) -> CallRecord {
        let keyed = call.key.as_ref().map(|key| KeyedPrompt {
            key: IdempotencyKey { tenant: call.tenant.clone(), key: key.clone() },
            first_block: first_block(prompt),
        });
        let seen_by_engine = if call.is_chat { format!("user: {prompt}\n\n") } else { prompt.to_owned() };
        CallRecord {
            number: call.number,
            request: None,
            keyed,
            is_repeat: call.is_repeat,
            contract: call.contract.clone(),
            sent_at: sent.duration_since(self.run_start),
            ended_at: Duration::ZERO,
            first_token: None,
            token_interval: None,
            text: String::new(),
            answer_tokens: answer_length(&seen_by_engine, call.max_tokens),
            is_replayed: false,
            outcome: Outcome::MayHaveRun(CONNECTION_LOST.to_owned()),
        }
    }

    fn send(&self, call: &PlannedCall, prompt: &str, node: Address) -> Result<Response<Body>, ureq::Error> {
        let path = if call.is_chat { "chat/completions" } else { "completions" };
        let mut body = json!({ "model": call.model, "max_tokens": call.max_tokens, "stream": call.is_streamed });
        if call.is_chat {
            body["messages"] = json!([{ "role": "user", "content": prompt }]);
        } else {
            body["prompt"] = json!(prompt);
        }
        let mut request = self
            .agent
            .post(format!("http://{node}/v1/{path}"))
            .header("authorization", format!("Bearer {}", call.api_key))
            .header("x-request-deadline", DEADLINE);
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        request.send_json(&body)
    }
}

fn header<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    u128::from_str_radix(text, 16).ok().map(RequestId)
}

fn connection_lost() -> Outcome {
    Outcome::MayHaveRun(CONNECTION_LOST.to_owned())
}

/// A call that never got a connection has not been sent; of any other nothing is known.
fn not_answered(error: &ureq::Error) -> Outcome {
    let refused = matches!(error, ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused);
    let not_connected = matches!(error, ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect));
    if refused || not_connected { Outcome::NotRun(NOT_CONNECTED.to_owned()) } else { connection_lost() }
}

fn receive(response: Response<Body>, call: &PlannedCall, received: &mut Received) -> Outcome {
    if !response.status().is_success() {
        return refusal(response);
    }
    let reader = BufReader::new(response.into_body().into_reader());
    let outcome = if call.is_streamed { read_stream(reader, received) } else { read_whole(reader, received) };
    outcome.unwrap_or_else(|_| connection_lost())
}

fn refusal(mut response: Response<Body>) -> Outcome {
    let verdict = header(&response, "x-havengate-verdict").map(str::to_owned);
    let body = response.body_mut().read_to_string().unwrap_or_default();
    match serde_json::from_str::<ErrorBody>(&body) {
        Ok(body) => outcome_of(&body.error),
        Err(_) if verdict.as_deref() == Some("not_run") => Outcome::NotRun(NO_VERDICT.to_owned()),
        Err(_) => Outcome::MayHaveRun(NO_VERDICT.to_owned()),
    }
}

fn outcome_of(error: &ErrorContent) -> Outcome {
    match error.verdict.as_str() {
        "not_run" => Outcome::NotRun(error.code.clone()),
        _ => Outcome::MayHaveRun(error.code.clone()),
    }
}

fn read_whole(reader: impl io::Read, received: &mut Received) -> io::Result<Outcome> {
    let body: Value = serde_json::from_reader(reader)?;
    received.take(text_of(&body["choices"][0]));
    Ok(Outcome::Completed)
}

/// Reads server-sent events up to the one that says that the answer is whole, or that it isn't.
fn read_stream(reader: impl BufRead, received: &mut Received) -> io::Result<Outcome> {
    for line in reader.lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return Ok(Outcome::Completed);
        }
        if let Ok(body) = serde_json::from_str::<ErrorBody>(data) {
            return Ok(outcome_of(&body.error));
        }
        let event: Value = serde_json::from_str(data)?;
        received.take(text_of(&event["choices"][0]));
    }
    Ok(connection_lost())
}

fn text_of(choice: &Value) -> &str {
    let content = choice["message"]["content"].as_str().or_else(|| choice["delta"]["content"].as_str());
    choice["text"].as_str().or(content).unwrap_or_default()
}
