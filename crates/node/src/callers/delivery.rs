//! Writes one answer to its HTTP response.

use std::time::{Duration, Instant};

use havengate_core::request::{AnswerPiece, RequestId};
use havengate_core::verdict::{MayHaveRun, Verdict};

use super::assembly::{AnswerAssembly, PieceFault};
use super::error::CallerError;
use super::format::{AnswerFormat, DONE_EVENT, Usage};
use super::handler::AnswerSink;
use super::headers::{self, REPLAYED, VERDICT};
use crate::http_server::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use crate::http_server::{HeaderMap, HungUp, Response, ResponseSender, StatusCode, StreamWriter};
use crate::metrics::{CauseLabel, Metrics};

/// How an answer is delivered.
#[derive(Clone, Debug)]
pub(super) struct DeliveryOptions {
    pub(super) request: RequestId,
    pub(super) format: AnswerFormat,
    pub(super) prompt_tokens: u32,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// Whether a stream ends with a usage event.
    pub(super) include_usage: bool,
}

/// Outcome of a delivery.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DeliveryOutcome {
    /// Verdict reported to the caller.
    pub(super) verdict: Verdict,
    /// Tokens accepted for the caller.
    pub(super) tokens: u32,
    /// Time from the request's arrival to the first piece.
    pub(super) first_token: Option<Duration>,
    /// Mean time between two tokens after the first piece.
    pub(super) token_interval: Option<Duration>,
    /// Whether the answer was replayed from a record.
    pub(super) replayed: bool,
}

/// Receives an answer's pieces and writes them to the caller.
pub(super) struct Delivery<'a> {
    options: DeliveryOptions,
    metrics: &'a Metrics,
    arrival: Instant,
    assembly: AnswerAssembly,
    replayed: bool,
    /// Text received so far, if the answer is not streamed.
    text: String,
    /// Set until the response has started.
    response: Option<ResponseSender>,
    /// Set once a stream has started.
    writer: Option<StreamWriter>,
    first_piece: Option<FirstPiece>,
    latest_piece: Option<Instant>,
}

struct FirstPiece {
    at: Instant,
    tokens: u32,
}

impl AnswerSink for Delivery<'_> {
    fn replayed(&mut self) {
        self.replayed = true;
    }

    fn piece(&mut self, piece: AnswerPiece) -> Result<(), HungUp> {
        if let Err(fault) = self.assembly.accept(&piece) {
            self.drop_piece(&piece, fault);
            return Ok(());
        }
        let now = Instant::now();
        let first = self.first_piece.is_none();
        self.first_piece.get_or_insert(FirstPiece { at: now, tokens: piece.tokens });
        self.latest_piece = Some(now);
        self.write(&piece, first)
    }
}

impl<'a> Delivery<'a> {
    pub(super) fn new(
        options: DeliveryOptions,
        response: ResponseSender,
        metrics: &'a Metrics,
        arrival: Instant,
    ) -> Self {
        Delivery {
            assembly: AnswerAssembly::new(options.request),
            options,
            metrics,
            arrival,
            replayed: false,
            text: String::new(),
            response: Some(response),
            writer: None,
            first_piece: None,
            latest_piece: None,
        }
    }

    /// Ends the response with `verdict`, corrected by the pieces accepted so far.
    pub(super) fn end(self, verdict: Verdict) -> DeliveryOutcome {
        let verdict = self.assembly.final_verdict(verdict);
        let first_token = self.first_piece.as_ref().map(|first| first.at.duration_since(self.arrival));
        let token_interval = self.token_interval();
        let tokens = self.assembly.tokens();
        let replayed = self.replayed;
        let verdict = if verdict == Verdict::Completed { self.complete() } else { self.fail(verdict) };
        DeliveryOutcome { verdict, tokens, first_token, token_interval, replayed }
    }

    fn drop_piece(&self, piece: &AnswerPiece, fault: PieceFault) {
        self.metrics.pieces_dropped.get_or_create(&CauseLabel { cause: fault.code() }).inc();
        log::warn!(
            cause = fault.code(), of:% = piece.request, first_token = piece.first_token,
            expected = self.assembly.tokens();
            "piece_dropped"
        );
    }

    fn write(&mut self, piece: &AnswerPiece, first: bool) -> Result<(), HungUp> {
        if self.options.stream {
            let event = self.options.format.event(&piece.text, piece.finish, first);
            return self.start_stream()?.send(event);
        }
        self.text.push_str(&piece.text);
        let caller_gone = self.response.as_ref().is_none_or(|response| response.hang_up().is_set());
        if caller_gone { Err(HungUp) } else { Ok(()) }
    }

    /// Returns the stream, starting it if needed. The response head is written only with the first piece, so that an
    /// earlier refusal can still have its own status.
    fn start_stream(&mut self) -> Result<&StreamWriter, HungUp> {
        if let Some(response) = self.response.take() {
            let headers = answer_headers("text/event-stream", self.options.request, self.replayed);
            self.writer = Some(response.stream(StatusCode::OK, headers));
        }
        self.writer.as_ref().ok_or(HungUp)
    }

    fn complete(mut self) -> Verdict {
        let completed = if self.options.stream { self.finish_stream() } else { self.send_complete() };
        completed.map_or(Verdict::MayHaveRun(MayHaveRun::CallerGone), |()| Verdict::Completed)
    }

    fn finish_stream(&mut self) -> Result<(), HungUp> {
        let writer = self.writer.take().ok_or(HungUp)?;
        if self.options.include_usage {
            writer.send(self.options.format.usage_event(self.usage()))?;
        }
        writer.send(DONE_EVENT.to_vec())?;
        writer.finish()
    }

    fn send_complete(&mut self) -> Result<(), HungUp> {
        let response = self.response.take().ok_or(HungUp)?;
        let mut headers = answer_headers("application/json", self.options.request, self.replayed);
        headers::insert(&mut headers, VERDICT, Verdict::Completed.code());
        let body = self.options.format.complete_body(&self.text, self.assembly.finish(), self.usage());
        let caller_gone = response.hang_up().is_set();
        response.send(Response { status: StatusCode::OK, headers, body });
        if caller_gone { Err(HungUp) } else { Ok(()) }
    }

    /// Reports the failure to the caller: by an error response, or, once a stream has started, by an error event after
    /// which the body is left unterminated.
    fn fail(mut self, verdict: Verdict) -> Verdict {
        let error = CallerError::from_verdict(&verdict);
        if let Some(response) = self.response.take() {
            response.send(error.response(Some(self.options.request), self.replayed));
        } else if let Some(writer) = self.writer.take() {
            // The send fails only if the caller has disconnected.
            let _ = writer.send(error.event());
            writer.abort();
        }
        verdict
    }

    fn usage(&self) -> Usage {
        Usage::new(self.options.prompt_tokens, self.assembly.tokens())
    }

    fn token_interval(&self) -> Option<Duration> {
        let first = self.first_piece.as_ref()?;
        let intervals = self.assembly.tokens().checked_sub(first.tokens).filter(|&intervals| intervals > 0)?;
        Some(self.latest_piece?.duration_since(first.at) / intervals)
    }
}

fn answer_headers(content_type: &'static str, request: RequestId, replayed: bool) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers::insert_request_id(&mut headers, request);
    if replayed {
        headers::insert(&mut headers, REPLAYED, "true");
    }
    headers
}
