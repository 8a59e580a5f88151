//! Drives one request: places it, sends it, and acts on the outcome until there is an answer.

use std::time::Instant;

use havengate_core::back_ends::BackEnd;
use havengate_core::relay::{Exchange, ExchangeRules, NextStep, Placed, Purpose, SendOutcome};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRunReason};
use havengate_core::world::{BackEndId, ZoneName};
use http_body_util::Full;
use hyper::Response;
use hyper::http::response::Parts;
use tokio::time::{sleep_until, timeout_at};

use super::answer::{OwnAnswer, RelayBody};
use super::caller_request::CallerRequest;
use super::candidates::{all_rest_for, choose_back_end};
use super::headers::strip_answer;
use super::record::{RequestEnd, RequestRecord};
use super::send_step::{discard, first_piece, outcome_of_head, read_whole, send_noted};
use super::stream_body::StreamBody;
use super::traffic::{LatePrefillTimer, Traffic};
use crate::back_ends::{AnswerInProgress, SendFailure, is_unacknowledged};
use crate::protocol::{AnswerHead, CacheSource, Protocol, SendStage};

/// Sends `request` until there is an answer for its caller.
pub async fn drive<P: Protocol>(
    traffic: &Traffic<P>,
    request: CallerRequest,
    record: RequestRecord,
) -> Response<RelayBody> {
    let rules = ExchangeRules {
        kind: request.route.kind,
        attempts_maximum: request.route.attempts_maximum,
        ends_at: request.ends_at,
    };
    let now = traffic.clock.now();
    let ends_at = Instant::now() + request.ends_at.since(now);
    let exchange = Exchange::new(rules);
    let mut driver =
        Driver { traffic, request, ends_at, exchange, record: Some(record), tried: Vec::new(), late_reading: None };
    if let Some(end) = driver.end_of_blocked() {
        return driver.end(end, None);
    }
    let service = &driver.request.service;
    traffic.with_budget(service, |budget| budget.record_request(now));
    driver.run().await
}

/// A request on its way to its answer.
pub(super) struct Driver<'a, P> {
    pub(super) traffic: &'a Traffic<P>,
    pub(super) request: CallerRequest,
    pub(super) ends_at: Instant,
    pub(super) exchange: Exchange,
    /// Taken when the record goes along with an answer that is passed on as it comes.
    pub(super) record: Option<RequestRecord>,
    pub(super) tried: Vec<BackEndId>,
    /// Runs while a late prompt waits to be read.
    pub(super) late_reading: Option<LatePrefillTimer<'a, P>>,
}

/// Where a request's prompt is read.
pub(super) enum PrefillPlan {
    /// By no engine before the request's end.
    Nowhere,
    /// By the engine that answers, whichever it is.
    WhereAnswered,
    /// By this engine, which answers too.
    There(BackEnd),
    /// By another engine, which has done so; its KV cache is moved.
    Elsewhere {
        /// Where the KV cache is.
        source: CacheSource,
        /// The zone of the engine that has it.
        zone: ZoneName,
    },
}

/// How one send ended.
enum Attempt {
    /// There is an answer for the caller.
    Answered(Response<RelayBody>),
    /// There is none; the back end's report of a failure may be passed on.
    Ended(SendOutcome, Option<Response<RelayBody>>),
    /// The request's time is over.
    TimedOut,
}

impl<P: Protocol> Driver<'_, P> {
    async fn run(&mut self) -> Response<RelayBody> {
        let mut plan = self.plan_reading().await;
        loop {
            if let Some(end) = self.end_of_blocked() {
                return self.end(end, None);
            }
            let Some(back_end) = self.place_answer(&plan) else {
                let end = self.exchange.give_up(self.why_nowhere(&plan), MayHaveRun::EngineFailed);
                return self.end(end, None);
            };
            // Only a send that has somewhere to go is taken out of the budget.
            let now = self.traffic.clock.now();
            let exchange = &mut self.exchange;
            let begun = self.traffic.with_budget(&self.request.service, |budget| exchange.begin_send(budget, now));
            self.note_sends();
            if let Err(end) = begun {
                return self.end(end, None);
            }
            let (next, answer) = match self.attempt(&back_end, &plan).await {
                Attempt::Answered(answer) => return answer,
                Attempt::Ended(outcome, answer) => (self.exchange.after_send(outcome), answer),
                Attempt::TimedOut => (NextStep::Fail(MayHaveRun::DeadlinePassed), None),
            };
            if next != NextStep::SendAgain {
                return self.end(next, answer);
            }
            self.wait_for_fate(&back_end.id).await;
            if self.exchange.sends() > 0 || matches!(plan, PrefillPlan::There(_)) {
                // A handle is taken only once, and may be gone with its engine: the next engine reads the prompt itself.
                plan = PrefillPlan::WhereAnswered;
            }
            self.tried.push(back_end.id);
        }
    }

    fn end(&mut self, end: NextStep, answer: Option<Response<RelayBody>>) -> Response<RelayBody> {
        let (outcome, own) = match end {
            NextStep::Deliver | NextStep::SendAgain => match answer {
                Some(answer) => {
                    self.finish(RequestEnd::Failed, "back_end_failed");
                    return answer;
                }
                None => (RequestEnd::MayHaveRun, OwnAnswer::failure(MayHaveRun::EngineFailed)),
            },
            NextStep::Refuse(reason) => (RequestEnd::Refused, self.refusal(reason)),
            NextStep::Fail(reason) => (RequestEnd::MayHaveRun, OwnAnswer::failure(reason)),
        };
        self.finish(outcome, own.cause);
        own.response()
    }

    /// Why there is no back end for the request.
    fn why_nowhere(&self, plan: &PrefillPlan) -> NotRunReason {
        match plan {
            PrefillPlan::Nowhere => NotRunReason::DeadlineUnreachable,
            _ if all_rest_for(self.traffic, &self.request.service).is_some() => NotRunReason::BackEndsRest,
            _ => NotRunReason::NoEngine,
        }
    }

    /// The refusal of a request that is of no use before a known moment names it: a caller that comes back earlier is refused again,
    /// and many have a single try left.
    fn refusal(&self, reason: NotRunReason) -> OwnAnswer {
        let wait = match reason {
            NotRunReason::EndsEngines => {
                self.traffic.peer_notices.engine_terminations().blocked_for(self.request.content)
            }
            NotRunReason::BackEndsRest => all_rest_for(self.traffic, &self.request.service),
            _ => None,
        };
        wait.map_or_else(|| OwnAnswer::refusal(reason), |wait| OwnAnswer::refusal_for(reason, wait))
    }

    /// The request's end where engines have ended under it, at any node: it would end the next one too, with all that runs
    /// there. Without this, each copy of such a request ended as many engines as its route allows attempts.
    fn end_of_blocked(&self) -> Option<NextStep> {
        self.traffic.peer_notices.engine_terminations().blocked_for(self.request.content)?;
        Some(self.exchange.give_up(NotRunReason::EndsEngines, MayHaveRun::EndsEngines))
    }

    /// A request under which engines have ended before is not sent on before it is known whether this one has ended too. All
    /// others go on at once.
    pub(super) async fn wait_for_fate(&self, back_end: &BackEndId) {
        if self.traffic.peer_notices.engine_terminations().is_suspect(self.request.content) {
            self.traffic.broken_runs.wait_for_fate(back_end).await;
        }
    }

    fn finish(&mut self, outcome: RequestEnd, cause: &'static str) {
        if let Some(mut record) = self.record.take() {
            record.finish(outcome, cause);
        }
    }

    /// Keeps the record up to date: a caller that hangs up ends the request wherever it is.
    pub(super) fn note_sends(&mut self) {
        if let Some(record) = &mut self.record {
            record.sends = self.exchange.sends();
            record.repeats = self.exchange.repeats();
        }
    }

    pub(super) fn note_prompt_read(&mut self) {
        if let Some(timer) = self.late_reading.take() {
            timer.end();
        }
    }

    /// Sends the request to `back_end` for its answer. A long prompt that is read there, or whose KV cache is moved
    /// there, is noted until the answer begins.
    async fn attempt(&mut self, back_end: &BackEnd, plan: &PrefillPlan) -> Attempt {
        let traffic = self.traffic;
        let Some(prompt) = self.request.long_prompt().cloned() else {
            let stage = match plan {
                PrefillPlan::Elsewhere { source, .. } => SendStage::Decode(source.clone()),
                _ => SendStage::Whole,
            };
            let _timer = back_end.stage.map(|_| traffic.time_short_prompt(matches!(stage, SendStage::Decode(_))));
            let began = traffic.clock.now();
            let attempt = self.attempt_stage(back_end, &stage).await;
            if matches!(attempt, Attempt::Answered(_)) && back_end.stage.is_some() {
                traffic.peer_notices.record_wait(traffic.clock.now().since(began));
            }
            return attempt;
        };
        if let PrefillPlan::Elsewhere { source, .. } = plan {
            let began = traffic.clock.now();
            let attempt = self.attempt_stage(back_end, &SendStage::Decode(source.clone())).await;
            if matches!(attempt, Attempt::Answered(_)) {
                traffic.peer_notices.record_cache_transfer(&back_end.id, &prompt, traffic.clock.now().since(began));
            }
            return attempt;
        }
        let reading = traffic.peer_notices.begin(back_end, &prompt, self.request.urgency);
        let attempt = self.attempt_stage(back_end, &SendStage::Whole).await;
        let is_read = matches!(attempt, Attempt::Answered(_));
        reading.end(is_read);
        if is_read {
            self.note_prompt_read();
        }
        attempt
    }

    async fn attempt_stage(&mut self, back_end: &BackEnd, stage: &SendStage) -> Attempt {
        if let Some(record) = &mut self.record {
            record.back_end = Some(back_end.id.clone());
        }
        let sent_at = self.traffic.clock.now();
        let answer = match send_noted(self.traffic, &self.request, back_end, stage).await {
            Err(SendFailure::NoTime | SendFailure::NotSent(_)) => return Attempt::Ended(SendOutcome::NotSent, None),
            Err(failure) => {
                self.exchange.record_sent();
                self.note_sends();
                if matches!(failure, SendFailure::Lost(_)) && !self.request.route.kind.is_stream() {
                    self.note_run(sent_at);
                }
                return match failure {
                    SendFailure::TimedOut => Attempt::TimedOut,
                    _ => Attempt::Ended(SendOutcome::Lost, None),
                };
            }
            Ok(answer) => answer,
        };
        self.exchange.record_sent();
        self.note_sends();
        // An engine that answers has begun at once what it has room for; a stream tells by its first piece.
        let has_run = matches!(answer.judgement, AnswerHead::Proper | AnswerHead::Failure | AnswerHead::Foreign);
        if has_run && !self.request.route.kind.is_stream() {
            self.note_run(sent_at);
        }
        match outcome_of_head(answer.judgement) {
            Some(SendOutcome::Failed) => match self.hold(back_end, answer).await {
                Some(response) => Attempt::Ended(SendOutcome::Failed, Some(response)),
                None => Attempt::Ended(SendOutcome::Lost, None),
            },
            Some(outcome) => {
                if answer.judgement != AnswerHead::Foreign {
                    discard(answer, self.ends_at).await;
                }
                Attempt::Ended(outcome, None)
            }
            None if self.request.route.kind.is_stream() => self.pass_on(back_end, answer).await,
            None => match self.hold(back_end, answer).await {
                Some(response) => {
                    self.finish(RequestEnd::Completed, "");
                    Attempt::Answered(response)
                }
                None => Attempt::Ended(SendOutcome::Lost, None),
            },
        }
    }

    /// Reads an answer to its end before its head is passed on, so that one that is cut is never begun.
    async fn hold(&self, back_end: &BackEnd, answer: AnswerInProgress) -> Option<Response<RelayBody>> {
        let (parts, body) = read_whole(self.traffic, back_end, answer, self.ends_at).await?;
        Some(passed_on(parts, RelayBody::Whole(Full::new(body))))
    }

    /// Waits for the first piece of a stream and passes the rest on as it comes.
    async fn pass_on(&mut self, back_end: &BackEnd, answer: AnswerInProgress) -> Attempt {
        let AnswerInProgress { response, lease, in_flight, run, .. } = answer;
        let (parts, mut body) = response.into_parts();
        let first = match timeout_at(self.ends_at.into(), first_piece(&mut body)).await {
            Err(_) => return Attempt::TimedOut,
            Ok(Err(error)) => {
                if !is_unacknowledged(&error) {
                    run.broke_off();
                }
                self.traffic.loads.failed(&back_end.id, self.traffic.clock.now());
                return Attempt::Ended(SendOutcome::Lost, None);
            }
            Ok(Ok(first)) => first,
        };
        self.traffic.loads.succeeded(&back_end.id);
        self.traffic.peer_notices.record_answer(&back_end.id);
        self.note_run(self.traffic.clock.now());
        let Some(mut record) = self.record.take() else {
            return Attempt::Ended(SendOutcome::Lost, None);
        };
        record.first_piece = Some(self.traffic.clock.now());
        record.in_flight = Some(in_flight);
        let time_limit = Box::pin(sleep_until(self.ends_at.into()));
        let body = StreamBody::new(first, body, lease, time_limit, record, run);
        Attempt::Answered(passed_on(parts, RelayBody::Stream(Box::new(body))))
    }

    /// Counts for its tenant that an engine began the request at `began`.
    fn note_run(&self, began: Timestamp) {
        if let Some(tenant) = &self.request.tenant {
            self.traffic.usage.record(&tenant.name, began);
        }
    }

    fn place_answer(&mut self, plan: &PrefillPlan) -> Option<BackEnd> {
        match plan {
            PrefillPlan::Nowhere => None,
            PrefillPlan::There(back_end) => Some(back_end.clone()),
            // The KV cache of a short prompt is moved in no time; all of them would crowd on the engines of a zone with
            // many prefill engines and few others.
            PrefillPlan::Elsewhere { .. } if self.request.long_prompt().is_none() => self.place_decode(None),
            PrefillPlan::Elsewhere { zone, .. } => self.place_decode(Some(zone)),
            PrefillPlan::WhereAnswered if self.request.head.prompt.is_some() => self.place_decode(None),
            PrefillPlan::WhereAnswered => self.place(&Purpose::Application),
        }
    }

    fn place_decode(&mut self, near: Option<&ZoneName>) -> Option<BackEnd> {
        let now = self.traffic.clock.now();
        let traffic = self.traffic;
        traffic.peer_notices.with_index(|index| self.place(&Purpose::Decode { near, index, now }))
    }

    pub(super) fn place(&mut self, purpose: &Purpose<'_>) -> Option<BackEnd> {
        self.place_expecting(purpose).map(|(back_end, _)| back_end)
    }

    pub(super) fn place_expecting(&mut self, purpose: &Purpose<'_>) -> Option<(BackEnd, Placed)> {
        let knowledge = self.traffic.knowledge.load_full();
        let now = self.traffic.clock.now();
        if let Some(record) = &mut self.record {
            record.directory_age = knowledge.directory_confirmed_at.map(|confirmed_at| now.since(confirmed_at));
        }
        choose_back_end(self.traffic, &knowledge, &self.request.service, purpose, &self.tried)
    }
}

fn passed_on(mut parts: Parts, body: RelayBody) -> Response<RelayBody> {
    strip_answer(&mut parts.headers);
    Response::from_parts(parts, body)
}
