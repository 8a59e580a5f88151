//! The log line and the metrics of one request, written when it ends.

use std::time::Duration;

use havengate_core::answer_end::{AnswerEnd, Framing};
use havengate_core::relay::{ContentId, Urgency};
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, RouteName, ServiceName, TenantName};
use havengate_node::clock::Clock;

use super::traffic::{ActiveRequest, Traffic};
use crate::back_ends::{AnswerBody, InFlight};
use crate::demand::SharedDemand;
use crate::metrics::RelayMetrics;

/// How long an answer occupies a slot of its engine before its first piece arrives here: one or two steps and the
/// network latency.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(10);

/// The outcome of a request in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The full answer was passed on.
    Completed,
    /// The back end's own report of a failure was passed on.
    Failed,
    /// The request has not run.
    Refused,
    /// The request is invalid for this node.
    Rejected,
    /// The outcome is unknown: the request may have run.
    MayHaveRun,
    /// The answer was interrupted after it had begun.
    Interrupted,
    /// The caller hung up.
    CallerGone,
}

impl RequestOutcome {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            RequestOutcome::Completed => "completed",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Rejected => "rejected",
            RequestOutcome::MayHaveRun => "may_have_run",
            RequestOutcome::Interrupted => "cut",
            RequestOutcome::CallerGone => "caller_gone",
        }
    }
}

/// The record of one request. A record that is dropped unfinished is logged as a caller that hung up.
pub struct RequestRecord {
    /// The request's id.
    pub request: String,
    /// The id of its content, the same for each copy of the request; `None` until it is read in full.
    pub content: Option<ContentId>,
    /// Its route.
    pub route: Option<RouteName>,
    /// Its tenant.
    pub tenant: Option<TenantName>,
    /// The service that it was routed to.
    pub service: Option<ServiceName>,
    /// The back end that it was sent to last.
    pub back_end: Option<BackEndId>,
    /// The software version of that back end.
    pub back_end_version: String,
    /// The request whose stream it takes up again; empty if it names none.
    pub resumes: String,
    /// The prefill engine that its prompt was sent to last.
    pub prefill_back_end: Option<BackEndId>,
    /// Sends that left the node.
    pub sends: u32,
    /// Retries charged to the shared budget.
    pub repeats: u32,
    /// The version of the configuration that decided its route.
    pub configuration: u64,
    /// The age of the directory when it was placed.
    pub directory_age: Option<Duration>,
    /// The expected time until its prompt is prefilled.
    pub expected_prefill: Option<Duration>,
    /// The time from its arrival until another engine than the one that answers had prefilled its prompt.
    pub prefilled_after: Option<Duration>,
    /// Whether it was expected to be in time.
    pub urgency: Option<Urgency>,
    /// By which factor late prompts took longer than expected when it was placed; `None` if it was not late.
    pub late_stretch: Option<f64>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the first piece of its answer arrived.
    pub first_piece: Option<Timestamp>,
    /// When the last piece arrived.
    pub last_piece: Option<Timestamp>,
    /// The longest time between two pieces.
    pub longest_pause: Option<Duration>,
    /// The part of its prompt that keeps it from being sent, as callers declare it.
    pub blocking_part: Option<u64>,
    /// How its answer marks its end.
    pub framing: Option<Framing>,
    /// What the end of its answer shows; `None` before it.
    pub answer_end: Option<AnswerEnd>,
    /// Counts it as in flight at its back end.
    pub in_flight: Option<InFlight>,
    clock: Clock,
    demand: SharedDemand,
    metrics: RelayMetrics,
    active: Option<ActiveRequest>,
}

impl RequestRecord {
    /// The record of a request that has just arrived.
    pub fn begin<P>(traffic: &Traffic<P>) -> Self {
        RequestRecord {
            request: String::new(),
            content: None,
            route: None,
            tenant: None,
            service: None,
            back_end: None,
            back_end_version: String::new(),
            resumes: String::new(),
            prefill_back_end: None,
            sends: 0,
            repeats: 0,
            configuration: 0,
            directory_age: None,
            expected_prefill: None,
            prefilled_after: None,
            urgency: None,
            late_stretch: None,
            arrived: traffic.clock.now(),
            first_piece: None,
            last_piece: None,
            longest_pause: None,
            blocking_part: None,
            framing: None,
            answer_end: None,
            in_flight: None,
            clock: traffic.clock,
            demand: traffic.demand.clone(),
            metrics: traffic.metrics.clone(),
            active: Some(traffic.active.begin()),
        }
    }

    /// Records that a piece of the answer arrived.
    pub fn record_piece(&mut self) {
        if let Some(in_flight) = &self.in_flight {
            in_flight.record_contact();
        }
        let now = self.clock.now();
        let last = self.last_piece.replace(now).or(self.first_piece);
        self.longest_pause = self.longest_pause.max(last.map(|last| now.since(last)));
    }

    /// Records that the back end didn't complete its answer.
    pub fn record_back_end_failure(&self) {
        if let Some(in_flight) = &self.in_flight {
            in_flight.record_failure(self.clock.now());
        }
    }

    /// Records how the answer marks its end, and what the end shows once `body` is read.
    pub fn record_end(&mut self, body: &AnswerBody) {
        self.framing = Some(body.framing());
        self.answer_end = body.end();
    }

    /// Logs and counts the end of the request, once.
    pub fn finish(&mut self, outcome: RequestOutcome, cause: &'static str) {
        if self.active.take().is_none() {
            return;
        }
        self.in_flight = None;
        let took = self.clock.now().since(self.arrived);
        let first = self.first_piece.map(|first_piece| first_piece.since(self.arrived));
        if let (Some(first_piece), Some(service)) = (self.first_piece, &self.service) {
            self.demand.record_answer(service, self.clock.now().since(first_piece) + FIRST_TOKEN_TIME);
        }
        let route = self.route.as_ref().map_or("", RouteName::as_str);
        if let (Some(service), 1..) = (&self.service, self.repeats) {
            self.metrics.record_repeats(service, self.repeats);
        }
        self.metrics.record_end(route, outcome.code(), cause, took, first);
        let framing = self.framing.map_or("", Framing::code);
        let answer_end = self.answer_end.map_or("", AnswerEnd::code);
        if self.framing.is_some() {
            self.metrics.record_answer_end(framing, answer_end);
        }
        log::log!(
            log_level(outcome),
            event = "request_ended",
            request = self.request.as_str(),
            content = self.content.map(|content| content.to_string()).unwrap_or_default(),
            outcome = outcome.code(),
            cause,
            route,
            tenant = self.tenant.as_ref().map_or("", TenantName::as_str),
            service = self.service.as_ref().map_or("", ServiceName::as_str),
            back_end = self.back_end.as_ref().map_or("", BackEndId::as_str),
            version = self.back_end_version.as_str(),
            resumes = self.resumes.as_str(),
            prefill = self.prefill_back_end.as_ref().map_or("", BackEndId::as_str),
            sends = self.sends,
            repeats = self.repeats,
            took_ms = millis(Some(took)),
            first_ms = millis(first),
            pause_ms = millis(self.longest_pause),
            framing,
            end = answer_end,
            part = self.blocking_part.map(|part| format!("{part:x}")).unwrap_or_default(),
            expected_reading_ms = millis(self.expected_prefill),
            read_ms = millis(self.prefilled_after),
            late = self.urgency == Some(Urgency::Late),
            late_stretch = self.late_stretch.unwrap_or(-1.0),
            configuration = self.configuration,
            directory_age_ms = millis(self.directory_age);
            ""
        );
    }
}

fn log_level(outcome: RequestOutcome) -> log::Level {
    match outcome {
        RequestOutcome::Completed | RequestOutcome::Failed | RequestOutcome::CallerGone => log::Level::Info,
        RequestOutcome::Refused
        | RequestOutcome::Rejected
        | RequestOutcome::MayHaveRun
        | RequestOutcome::Interrupted => log::Level::Warn,
    }
}

/// Whole milliseconds; -1 where there is no value.
fn millis(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX))
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.finish(RequestOutcome::CallerGone, "hung_up");
    }
}
