//! Drives one request: places it, sends it, and acts on the outcome until there is an answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::relay::{
    ContentId, Exchange, ExchangeRules, NextStep, Placed, Prompt, Purpose, SendOutcome, Urgency,
};
use havengate_core::routing::Route;
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRunReason};
use havengate_core::world::{BackEndId, ServiceName, ZoneName};
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Response, Uri};
use tokio::time::{sleep_until, timeout_at};

use super::answer::{OwnAnswer, RelayBody};
use super::candidates::choose_back_end;
use super::headers::strip_answer;
use super::record::{RequestEnd, RequestRecord};
use super::send_step::{discard, first_piece, outcome_of_failure, outcome_of_head, read_whole, send_noted};
use super::stream_body::StreamBody;
use super::traffic::{LateReadingTimer, Traffic};
use crate::back_ends::{AnswerInProgress, SendFailure, is_unacknowledged};
use crate::protocol::{AnswerHead, CacheSource, Protocol, RequestHead, SendStage};

/// Prompts of this many tokens and more are worth a choice of the engine that reads them; shorter ones take less time on
/// the engine that answers them than the move of their KV cache.
const LONG_PROMPT_TOKENS: u32 = 2_000;

/// A caller's request, read whole.
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers that travel.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What the head says.
    pub head: RequestHead,
    /// What it asks, the same for each copy of it.
    pub content: ContentId,
    /// The route.
    pub route: Arc<Route>,
    /// The service that the request goes to.
    pub service: ServiceName,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the request must have ended.
    pub ends_at: Timestamp,
    /// Whether it can be in time, as it was last expected.
    pub urgency: Urgency,
}

impl CallerRequest {
    /// The prompt, if it is worth a choice of the engine that reads it.
    pub fn long_prompt(&self) -> Option<&Prompt> {
        self.head.prompt.as_ref().filter(|prompt| prompt.tokens >= LONG_PROMPT_TOKENS)
    }
}

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

struct Driver<'a, P> {
    traffic: &'a Traffic<P>,
    request: CallerRequest,
    ends_at: Instant,
    exchange: Exchange,
    /// Taken when the record goes along with an answer that is passed on as it comes.
    record: Option<RequestRecord>,
    tried: Vec<BackEndId>,
    /// Runs while a late prompt waits to be read.
    late_reading: Option<LateReadingTimer<'a, P>>,
}

/// Where a request's prompt is read.
enum ReadingPlan {
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
                let reason = match plan {
                    ReadingPlan::Nowhere => NotRunReason::DeadlineUnreachable,
                    _ => NotRunReason::NoEngine,
                };
                let end = self.exchange.give_up(reason, MayHaveRun::EngineFailed);
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
            if self.exchange.sends() > 0 || matches!(plan, ReadingPlan::There(_)) {
                // A handle is taken only once, and may be gone with its engine: the next engine reads the prompt itself.
                plan = ReadingPlan::WhereAnswered;
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

    fn refusal(&self, reason: NotRunReason) -> OwnAnswer {
        match self.traffic.readings.engine_ends().blocked_for(self.request.content) {
            Some(wait) if reason == NotRunReason::EndsEngines => OwnAnswer::refusal_for(reason, wait),
            _ => OwnAnswer::refusal(reason),
        }
    }

    /// The request's end where engines have ended under it, at any node: it would end the next one too, with all that runs
    /// there. Without this, each copy of such a request ended as many engines as its route allows attempts.
    fn end_of_blocked(&self) -> Option<NextStep> {
        self.traffic.readings.engine_ends().blocked_for(self.request.content)?;
        Some(self.exchange.give_up(NotRunReason::EndsEngines, MayHaveRun::EndsEngines))
    }

    /// A request under which engines have ended before is not sent on before it is known whether this one has ended too. All
    /// others go on at once.
    async fn wait_for_fate(&self, back_end: &BackEndId) {
        if self.traffic.readings.engine_ends().is_suspect(self.request.content) {
            self.traffic.broken_runs.wait_for_fate(back_end).await;
        }
    }

    fn finish(&mut self, outcome: RequestEnd, cause: &'static str) {
        if let Some(mut record) = self.record.take() {
            record.finish(outcome, cause);
        }
    }

    /// Decides where a long prompt is read, and has it read there if that is a prefill engine.
    async fn plan_reading(&mut self) -> ReadingPlan {
        let Some(prompt) = self.request.long_prompt().cloned() else {
            return self.plan_short_reading().await;
        };
        let mut is_first = true;
        while self.exchange.may_prefill() {
            let Some((back_end, placed)) = self.place_reading(&prompt) else {
                break;
            };
            if std::mem::take(&mut is_first) {
                self.traffic.demand.record_prompt(&self.request.service, placed.unread);
            }
            let left = self.request.ends_at.since(self.traffic.clock.now());
            let late_stretch = (placed.urgency == Urgency::Late).then(|| self.traffic.late_stretch());
            if let Some(record) = &mut self.record {
                record.late_stretch = late_stretch;
            }
            if self.traffic.placement().refuses_early && placed.is_hopeless(left, late_stretch) {
                return ReadingPlan::Nowhere;
            }
            self.late_reading = late_stretch.map(|_| self.traffic.time_late_reading(placed.reading));
            if back_end.stage != Some(EngineStage::Prefill) {
                return ReadingPlan::There(back_end);
            }
            if let Some(record) = &mut self.record {
                record.prefill_back_end = Some(back_end.id.clone());
            }
            let reading = self.traffic.readings.begin(&back_end, &prompt, self.request.urgency);
            let plan = self.read_at(back_end).await;
            reading.end(plan.is_some());
            self.traffic.demand.set_readings_alone(self.traffic.readings.model().readings_alone());
            if let Some(plan) = plan {
                self.note_prompt_read();
                return plan;
            }
        }
        ReadingPlan::WhereAnswered
    }

    /// Keeps the record up to date: a caller that hangs up ends the request wherever it is.
    fn note_sends(&mut self) {
        if let Some(record) = &mut self.record {
            record.sends = self.exchange.sends();
            record.repeats = self.exchange.repeats();
        }
    }

    fn note_prompt_read(&mut self) {
        if let Some(timer) = self.late_reading.take() {
            timer.end();
        }
    }

    /// Has a short prompt read by a prefill engine that has nothing else to read, if there is one; else it is read where
    /// it is answered.
    async fn plan_short_reading(&mut self) -> ReadingPlan {
        let traffic = self.traffic;
        let Some(tokens) = self.request.head.prompt.as_ref().map(|prompt| prompt.tokens) else {
            return ReadingPlan::WhereAnswered;
        };
        traffic.demand.record_prompt(&self.request.service, tokens);
        let target = self.request.route.target_latency;
        let prefers = |random: &mut fastrand::Rng| traffic.short_reading.get().prefers_apart(target, random);
        if !traffic.placement().short_prompts_apart || !traffic.with_random(prefers) {
            return ReadingPlan::WhereAnswered;
        }
        let now = traffic.clock.now();
        let engine = traffic.readings.with_index(|index| self.place(&Purpose::ReadAside { index, now }));
        let Some(engine) = engine else {
            return ReadingPlan::WhereAnswered;
        };
        if let Some(record) = &mut self.record {
            record.prefill_back_end = Some(engine.id.clone());
        }
        self.read_at(engine).await.unwrap_or(ReadingPlan::WhereAnswered)
    }

    /// Has the prompt read by a prefill engine; `None` when it is not read there.
    async fn read_at(&mut self, engine: BackEnd) -> Option<ReadingPlan> {
        match self.prefill(&engine).await {
            Ok(handle) => {
                self.exchange.after_prefill(None);
                let source = CacheSource { address: engine.address, handle };
                Some(ReadingPlan::Elsewhere { source, zone: engine.zone })
            }
            Err(outcome) => {
                self.exchange.after_prefill(Some(outcome));
                self.note_sends();
                let request = self.request.head.id_text();
                log::info!(event = "prefill_failed", request, back_end:% = engine.id, outcome:? = outcome; "");
                self.wait_for_fate(&engine.id).await;
                self.tried.push(engine.id);
                None
            }
        }
    }

    async fn prefill(&self, back_end: &BackEnd) -> Result<String, SendOutcome> {
        let answer = send_noted(self.traffic, &self.request, back_end, &SendStage::Prefill, self.ends_at)
            .await
            .map_err(|failure| outcome_of_failure(&failure))?;
        if let Some(outcome) = outcome_of_head(answer.judgement) {
            discard(answer, self.ends_at).await;
            return Err(outcome);
        }
        let whole = read_whole(self.traffic, back_end, answer, self.ends_at).await;
        let (_, body) = whole.ok_or(SendOutcome::Lost)?;
        self.traffic.protocol.read_handle(&body).ok_or(SendOutcome::Lost)
    }

    /// Sends the request to `back_end` for its answer. A long prompt that is read there, or whose KV cache is moved
    /// there, is noted until the answer begins.
    async fn attempt(&mut self, back_end: &BackEnd, plan: &ReadingPlan) -> Attempt {
        let traffic = self.traffic;
        let Some(prompt) = self.request.long_prompt().cloned() else {
            let stage = match plan {
                ReadingPlan::Elsewhere { source, .. } => SendStage::Decode(source.clone()),
                _ => SendStage::Whole,
            };
            let _timer = back_end.stage.map(|_| traffic.time_short_prompt(matches!(stage, SendStage::Decode(_))));
            return self.attempt_stage(back_end, &stage).await;
        };
        if let ReadingPlan::Elsewhere { source, .. } = plan {
            let began = traffic.clock.now();
            let attempt = self.attempt_stage(back_end, &SendStage::Decode(source.clone())).await;
            if matches!(attempt, Attempt::Answered(_)) {
                traffic.readings.moved(&back_end.id, &prompt, traffic.clock.now().since(began));
            }
            return attempt;
        }
        let reading = traffic.readings.begin(back_end, &prompt, self.request.urgency);
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
        let answer = match send_noted(self.traffic, &self.request, back_end, stage, self.ends_at).await {
            Err(SendFailure::NoTime | SendFailure::NotSent(_)) => return Attempt::Ended(SendOutcome::NotSent, None),
            Err(failure) => {
                self.exchange.record_sent();
                self.note_sends();
                return match failure {
                    SendFailure::TimedOut => Attempt::TimedOut,
                    _ => Attempt::Ended(SendOutcome::Lost, None),
                };
            }
            Ok(answer) => answer,
        };
        self.exchange.record_sent();
        self.note_sends();
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
        self.traffic.readings.note_answer(&back_end.id);
        let Some(mut record) = self.record.take() else {
            return Attempt::Ended(SendOutcome::Lost, None);
        };
        record.first_piece = Some(self.traffic.clock.now());
        record.in_flight = Some(in_flight);
        let time_limit = Box::pin(sleep_until(self.ends_at.into()));
        let body = StreamBody::new(first, body, lease, time_limit, record, run);
        Attempt::Answered(passed_on(parts, RelayBody::Stream(Box::new(body))))
    }

    fn place_answer(&mut self, plan: &ReadingPlan) -> Option<BackEnd> {
        match plan {
            ReadingPlan::Nowhere => None,
            ReadingPlan::There(back_end) => Some(back_end.clone()),
            // The KV cache of a short prompt is moved in no time; all of them would crowd on the engines of a zone with
            // many prefill engines and few others.
            ReadingPlan::Elsewhere { .. } if self.request.long_prompt().is_none() => self.place_decode(None),
            ReadingPlan::Elsewhere { zone, .. } => self.place_decode(Some(zone)),
            ReadingPlan::WhereAnswered if self.request.head.prompt.is_some() => self.place_decode(None),
            ReadingPlan::WhereAnswered => self.place(&Purpose::Application),
        }
    }

    fn place_decode(&mut self, near: Option<&ZoneName>) -> Option<BackEnd> {
        let now = self.traffic.clock.now();
        let traffic = self.traffic;
        traffic.readings.with_index(|index| self.place(&Purpose::Decode { near, index, now }))
    }

    /// Chooses the engine that reads the prompt, and notes whether it can be in time.
    fn place_reading(&mut self, prompt: &Prompt) -> Option<(BackEnd, Placed)> {
        let (now, traffic) = (self.traffic.clock.now(), self.traffic);
        let waited = now.since(self.request.arrived);
        let in_time = traffic.placement().in_time(self.request.route.target_latency, waited);
        let (back_end, placed) = traffic
            .readings
            .with_index(|index| self.place_expecting(&Purpose::Read { prompt, in_time, index, now }))?;
        self.request.urgency = placed.urgency;
        if let Some(record) = &mut self.record {
            record.expected_reading = Some(placed.reading);
            record.urgency = Some(placed.urgency);
        }
        Some((back_end, placed))
    }

    fn place(&mut self, purpose: &Purpose<'_>) -> Option<BackEnd> {
        self.place_expecting(purpose).map(|(back_end, _)| back_end)
    }

    fn place_expecting(&mut self, purpose: &Purpose<'_>) -> Option<(BackEnd, Placed)> {
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
