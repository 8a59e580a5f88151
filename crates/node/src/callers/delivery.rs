//! The way of one answer into its HTTP response.

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

/// How an answer is given.
#[derive(Clone, Debug)]
pub(super) struct DeliveryForm {
    pub(super) request: RequestId,
    pub(super) format: AnswerFormat,
    pub(super) prompt_tokens: u32,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// Whether a stream ends with an event that tells the usage.
    pub(super) include_usage: bool,
}

/// How a delivery ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DeliveryEnd {
    /// What the caller was told.
    pub(super) verdict: Verdict,
    /// Tokens that went to the caller.
    pub(super) tokens: u32,
    /// When the first piece came, since the request's arrival.
    pub(super) first_token: Option<Duration>,
    /// Mean time between two tokens after the first piece.
    pub(super) token_interval: Option<Duration>,
    /// Whether the answer came from a record.
    pub(super) replayed: bool,
}

/// Takes an answer's pieces and writes them to the caller.
pub(super) struct Delivery<'a> {
    form: DeliveryForm,
    metrics: &'a Metrics,
    arrival: Instant,
    assembly: AnswerAssembly,
    replayed: bool,
    /// The text so far of an answer that isn't streamed.
    text: String,
    /// Present until the response has started.
    response: Option<ResponseSender>,
    /// Present once a stream has started.
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
        if let Err(fault) = self.assembly.take(&piece) {
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
    pub(super) fn new(form: DeliveryForm, response: ResponseSender, metrics: &'a Metrics, arrival: Instant) -> Self {
        Delivery {
            assembly: AnswerAssembly::new(form.request),
            form,
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

    /// Ends the response as `verdict`, corrected by what the caller has, says.
    pub(super) fn end(self, verdict: Verdict) -> DeliveryEnd {
        let verdict = self.assembly.conclude(verdict);
        let first_token = self.first_piece.as_ref().map(|first| first.at.duration_since(self.arrival));
        let token_interval = self.token_interval();
        let tokens = self.assembly.tokens();
        let replayed = self.replayed;
        let verdict = if verdict == Verdict::Completed { self.complete() } else { self.fail(verdict) };
        DeliveryEnd { verdict, tokens, first_token, token_interval, replayed }
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
        if self.form.stream {
            let event = self.form.format.event(&piece.text, piece.finish, first);
            return self.start_stream()?.send(event);
        }
        self.text.push_str(&piece.text);
        let gone = self.response.as_ref().is_none_or(|response| response.hang_up().is_set());
        if gone { Err(HungUp) } else { Ok(()) }
    }

    /// The stream. Its head is written with the first piece, so that a refusal before has a status of its own.
    fn start_stream(&mut self) -> Result<&StreamWriter, HungUp> {
        if let Some(response) = self.response.take() {
            let headers = answer_headers("text/event-stream", self.form.request, self.replayed);
            self.writer = Some(response.stream(StatusCode::OK, headers));
        }
        self.writer.as_ref().ok_or(HungUp)
    }

    fn complete(mut self) -> Verdict {
        let completed = if self.form.stream { self.finish_stream() } else { self.send_whole() };
        completed.map_or(Verdict::MayHaveRun(MayHaveRun::CallerGone), |()| Verdict::Completed)
    }

    fn finish_stream(&mut self) -> Result<(), HungUp> {
        let writer = self.writer.take().ok_or(HungUp)?;
        if self.form.include_usage {
            writer.send(self.form.format.usage_event(self.usage()))?;
        }
        writer.send(DONE_EVENT.to_vec())?;
        writer.finish()
    }

    fn send_whole(&mut self) -> Result<(), HungUp> {
        let response = self.response.take().ok_or(HungUp)?;
        let mut headers = answer_headers("application/json", self.form.request, self.replayed);
        headers::insert(&mut headers, VERDICT, Verdict::Completed.code());
        let body = self.form.format.whole(&self.text, self.assembly.finish(), self.usage());
        let gone = response.hang_up().is_set();
        response.send(Response { status: StatusCode::OK, headers, body });
        if gone { Err(HungUp) } else { Ok(()) }
    }

    /// Tells the caller how the request failed: by a response of its own, or, once a stream has started, by an event
    /// after which the body stays unterminated.
    fn fail(mut self, verdict: Verdict) -> Verdict {
        let error = CallerError::from_verdict(&verdict);
        if let Some(response) = self.response.take() {
            response.send(error.response(Some(self.form.request), self.replayed));
        } else if let Some(writer) = self.writer.take() {
            // A caller that is gone needs no error.
            let _ = writer.send(error.event());
            writer.abort();
        }
        verdict
    }

    fn usage(&self) -> Usage {
        Usage::new(self.form.prompt_tokens, self.assembly.tokens())
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
