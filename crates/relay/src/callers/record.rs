//! What is logged and counted of one request when it ends.

use std::time::Duration;

use havengate_core::relay::{ContentId, Urgency};
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, RouteName, ServiceName, TenantName};
use havengate_node::clock::Clock;

use super::traffic::{ActiveRequest, Traffic};
use crate::back_ends::InFlight;
use crate::demand::SharedDemand;
use crate::metrics::RelayMetrics;

/// The time that an answer takes a place of an engine before its first piece comes: a step or two and the way to here.
const FIRST_TOKEN: Duration = Duration::from_millis(10);

/// How a request ended, as logs and metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer was passed on.
    Completed,
    /// The back end's own report of a failure was passed on.
    Failed,
    /// The request has not run.
    Refused,
    /// The request is not one that the node takes.
    Rejected,
    /// The outcome is not known.
    MayHaveRun,
    /// The answer was broken off after it had begun.
    Cut,
    /// The caller hung up.
    CallerGone,
}

impl RequestEnd {
    /// The word in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            RequestEnd::Completed => "completed",
            RequestEnd::Failed => "failed",
            RequestEnd::Refused => "refused",
            RequestEnd::Rejected => "rejected",
            RequestEnd::MayHaveRun => "may_have_run",
            RequestEnd::Cut => "cut",
            RequestEnd::CallerGone => "caller_gone",
        }
    }
}

/// The record of one request. One that is dropped unfinished belongs to a caller that hung up.
pub struct RequestRecord {
    /// The request's identity.
    pub request: String,
    /// What it asks, the same for each copy of it; `None` until it was read whole.
    pub content: Option<ContentId>,
    /// Its route.
    pub route: Option<RouteName>,
    /// Whose it is.
    pub tenant: Option<TenantName>,
    /// The service that it went to.
    pub service: Option<ServiceName>,
    /// The back end that it was sent to last.
    pub back_end: Option<BackEndId>,
    /// The engine that read its prompt.
    pub prefill_back_end: Option<BackEndId>,
    /// Sends that left the node.
    pub sends: u32,
    /// Repeats that were taken out of the shared budget.
    pub repeats: u32,
    /// The version of the configuration that decided its route.
    pub configuration: u64,
    /// The age of the directory when it was placed.
    pub directory_age: Option<Duration>,
    /// How long its prompt was expected to be read.
    pub expected_reading: Option<Duration>,
    /// How long after its arrival its prompt was read by an engine that does not answer it.
    pub read_after: Option<Duration>,
    /// Whether it could be in time, as it was expected.
    pub urgency: Option<Urgency>,
    /// By how much more than expected late prompts took when it was placed; `None` where it was not late.
    pub late_stretch: Option<f64>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the first piece of its answer came.
    pub first_piece: Option<Timestamp>,
    /// When the last piece came.
    pub last_piece: Option<Timestamp>,
    /// The longest time between two pieces.
    pub longest_pause: Option<Duration>,
    /// Counts it as under way at its back end.
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
            prefill_back_end: None,
            sends: 0,
            repeats: 0,
            configuration: 0,
            directory_age: None,
            expected_reading: None,
            read_after: None,
            urgency: None,
            late_stretch: None,
            arrived: traffic.clock.now(),
            first_piece: None,
            last_piece: None,
            longest_pause: None,
            in_flight: None,
            clock: traffic.clock,
            demand: traffic.demand.clone(),
            metrics: traffic.metrics.clone(),
            active: Some(traffic.active.begin()),
        }
    }

    /// Notes that a piece of the answer came.
    pub fn note_piece(&mut self) {
        let now = self.clock.now();
        let last = self.last_piece.replace(now).or(self.first_piece);
        self.longest_pause = self.longest_pause.max(last.map(|last| now.since(last)));
    }

    /// Logs and counts the end of the request, once.
    pub fn finish(&mut self, end: RequestEnd, cause: &'static str) {
        if self.active.take().is_none() {
            return;
        }
        self.in_flight = None;
        let took = self.clock.now().since(self.arrived);
        let first = self.first_piece.map(|first_piece| first_piece.since(self.arrived));
        if let (Some(first_piece), Some(service)) = (self.first_piece, &self.service) {
            self.demand.record_answer(service, self.clock.now().since(first_piece) + FIRST_TOKEN);
        }
        let route = self.route.as_ref().map_or("", RouteName::as_str);
        if let (Some(service), 1..) = (&self.service, self.repeats) {
            self.metrics.record_repeats(service, self.repeats);
        }
        self.metrics.record_end(route, end.code(), cause, took, first);
        log::log!(
            level_of(end),
            event = "request_ended",
            request = self.request.as_str(),
            content = self.content.map(|content| content.to_string()).unwrap_or_default(),
            outcome = end.code(),
            cause,
            route,
            tenant = self.tenant.as_ref().map_or("", TenantName::as_str),
            service = self.service.as_ref().map_or("", ServiceName::as_str),
            back_end = self.back_end.as_ref().map_or("", BackEndId::as_str),
            prefill = self.prefill_back_end.as_ref().map_or("", BackEndId::as_str),
            sends = self.sends,
            repeats = self.repeats,
            took_ms = millis(Some(took)),
            first_ms = millis(first),
            pause_ms = millis(self.longest_pause),
            expected_reading_ms = millis(self.expected_reading),
            read_ms = millis(self.read_after),
            late = self.urgency == Some(Urgency::Late),
            late_stretch = self.late_stretch.unwrap_or(-1.0),
            configuration = self.configuration,
            directory_age_ms = millis(self.directory_age);
            ""
        );
    }
}

fn level_of(end: RequestEnd) -> log::Level {
    match end {
        RequestEnd::Completed | RequestEnd::Failed | RequestEnd::CallerGone => log::Level::Info,
        RequestEnd::Refused | RequestEnd::Rejected | RequestEnd::MayHaveRun | RequestEnd::Cut => log::Level::Warn,
    }
}

/// Whole milliseconds; -1 where there is no value.
fn millis(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX))
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.finish(RequestEnd::CallerGone, "hung_up");
    }
}
