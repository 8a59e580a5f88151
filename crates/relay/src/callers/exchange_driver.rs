//! Drives one request: places it, sends it, and handles the outcome until there is an answer.

use std::time::{Duration, Instant};

use havengate_core::back_ends::BackEnd;
use havengate_core::relay::{Exchange, ExchangeRules, NextStep, Placed, Purpose, SendOutcome};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRunReason};
use havengate_core::world::{BackEndId, ZoneName};
use hyper::Response;

use super::answer::{LocalAnswer, RelayBody};
use super::caller_request::CallerRequest;
use super::candidates::{backoff_remaining, choose_back_end};
use super::planned_stop::StopPhase;
use super::record::{RequestOutcome, RequestRecord};
use super::resumption::SentRequest;
use super::send_step::{discard, outcome_of_head, send_and_record};
use super::traffic::{LatePrefillTimer, Traffic};
use crate::back_ends::SendFailure;
use crate::protocol::{AnswerHead, CacheSource, Protocol, SendStage};

/// Sends `request`, with retries, until there is an answer for its caller.
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
    let mut driver = Driver {
        traffic,
        request,
        ends_at,
        exchange,
        record: Some(record),
        tried: Vec::new(),
        part_wait: None,
        late_prefill_timer: None,
    };
    if let Some(step) = driver.give_up_if_not_admitted() {
        return driver.respond(step, None);
    }
    let service = &driver.request.service;
    traffic.with_budget(service, |budget| budget.record_request(now));
    let answer = tokio::select! {
        biased;
        answer = driver.run() => Some(answer),
        () = traffic.stop.wait_for(StopPhase::Ending) => None,
    };
    answer.unwrap_or_else(|| driver.respond(NextStep::Fail(MayHaveRun::NodeStopping), None))
}

/// The state of a request until its answer begins.
pub(super) struct Driver<'a, P> {
    pub(super) traffic: &'a Traffic<P>,
    pub(super) request: CallerRequest,
    pub(super) ends_at: Instant,
    pub(super) exchange: Exchange,
    /// `None` once the record has moved into the body of a streamed answer.
    pub(super) record: Option<RequestRecord>,
    pub(super) tried: Vec<BackEndId>,
    /// How long a part of its prompt is blocked; `None` if none is.
    pub(super) part_wait: Option<Duration>,
    /// Runs while a late prompt waits for its prefill.
    pub(super) late_prefill_timer: Option<LatePrefillTimer<'a, P>>,
}

/// Where a request's prompt is prefilled.
pub(super) enum PrefillPlan {
    /// No engine can prefill it before the request's deadline.
    Infeasible,
    /// The engine that answers prefills it; that engine is not chosen yet.
    AnsweringEngine,
    /// This engine prefills it and answers.
    ChosenEngine(BackEnd),
    /// Another engine has prefilled it; the KV cache is moved to the engine that answers.
    Prefilled {
        /// The engine that has the KV cache, and its handle.
        source: CacheSource,
        /// The zone of the engine that has it.
        zone: ZoneName,
    },
}

/// How one send ended.
pub(super) enum Attempt {
    /// There is an answer for the caller.
    Answered(Response<RelayBody>),
    /// There is no answer; the back end's report of a failure may be passed on.
    Ended(SendOutcome, Option<Response<RelayBody>>),
    /// The request's deadline has passed.
    TimedOut,
}

impl<P: Protocol> Driver<'_, P> {
    async fn run(&mut self) -> Response<RelayBody> {
        self.wait_while_paused().await;
        let mut plan = self.plan_prefill().await;
        loop {
            self.wait_while_paused().await;
            if let Some(step) = self.give_up_if_blocked() {
                return self.respond(step, None);
            }
            let Some(back_end) = self.place_answer(&plan) else {
                let step = self.exchange.give_up(self.no_back_end_reason(&plan), MayHaveRun::EngineFailed);
                return self.respond(step, None);
            };
            // The budget is charged only for a send that has a back end.
            let now = self.traffic.clock.now();
            let exchange = &mut self.exchange;
            let begun = self.traffic.with_budget(&self.request.service, |budget| exchange.begin_send(budget, now));
            self.update_record();
            if let Err(step) = begun {
                return self.respond(step, None);
            }
            self.begin_run();
            let (next, answer) = match self.attempt(&back_end, &plan).await {
                Attempt::Answered(answer) => return answer,
                Attempt::Ended(outcome, answer) => {
                    self.end_run(outcome);
                    (self.exchange.after_send(outcome), answer)
                }
                Attempt::TimedOut => (NextStep::Fail(MayHaveRun::DeadlinePassed), None),
            };
            if next != NextStep::SendAgain {
                return self.respond(next, answer);
            }
            self.wait_for_termination_check(&back_end.id).await;
            if self.exchange.sends() > 0 || matches!(plan, PrefillPlan::ChosenEngine(_)) {
                // A handle can be used only once, and may be lost with its engine: the next engine prefills the prompt
                // itself.
                plan = PrefillPlan::AnsweringEngine;
            }
            self.tried.push(back_end.id);
        }
    }

    fn respond(&mut self, step: NextStep, answer: Option<Response<RelayBody>>) -> Response<RelayBody> {
        let (outcome, local_answer) = match step {
            NextStep::Deliver | NextStep::SendAgain => match answer {
                Some(answer) => {
                    self.finish(RequestOutcome::Failed, "back_end_failed");
                    return answer;
                }
                None => (RequestOutcome::MayHaveRun, LocalAnswer::failure(MayHaveRun::EngineFailed)),
            },
            NextStep::Refuse(reason) => (RequestOutcome::Refused, self.refusal(reason)),
            NextStep::Fail(reason) => (RequestOutcome::MayHaveRun, LocalAnswer::failure(reason)),
        };
        self.finish(outcome, local_answer.cause);
        local_answer.response()
    }

    /// The reason why there is no back end for the request.
    fn no_back_end_reason(&self, plan: &PrefillPlan) -> NotRunReason {
        match plan {
            PrefillPlan::Infeasible => NotRunReason::DeadlineUnreachable,
            _ if backoff_remaining(self.traffic, &self.request.service).is_some() => NotRunReason::BackEndsRest,
            _ => NotRunReason::NoEngine,
        }
    }

    /// The answer that refuses a request. Where a retry before a known time is refused again, the answer names that
    /// time: many callers have a single retry left.
    fn refusal(&self, reason: NotRunReason) -> LocalAnswer {
        let wait = match reason {
            NotRunReason::EndsEngines => self.blocked_for(),
            NotRunReason::BackEndsRest => backoff_remaining(self.traffic, &self.request.service),
            _ => None,
        };
        wait.map_or_else(|| LocalAnswer::refusal(reason), |wait| LocalAnswer::refusal_for(reason, wait))
    }

    pub(super) fn finish(&mut self, outcome: RequestOutcome, cause: &'static str) {
        if let Some(mut record) = self.record.take() {
            record.finish(outcome, cause);
        }
    }

    /// Counts the send that is about to begin against the tenant's limit.
    pub(super) fn begin_run(&mut self) {
        if let Some(permit) = &mut self.request.permit {
            permit.begin_send();
        }
    }

    /// Takes back what `begin_run` counted if the request did not run.
    pub(super) fn end_run(&mut self, outcome: SendOutcome) {
        if let (Some(permit), SendOutcome::NotSent | SendOutcome::Declined) = (&mut self.request.permit, outcome) {
            permit.send_declined();
        }
    }

    /// Keeps the counts of the record current: a caller may hang up, which ends the request, at any time.
    pub(super) fn update_record(&mut self) {
        if let Some(record) = &mut self.record {
            record.sends = self.exchange.sends();
            record.repeats = self.exchange.repeats();
        }
    }

    pub(super) fn stop_late_prefill_timer(&mut self) {
        if let Some(timer) = self.late_prefill_timer.take() {
            timer.end();
        }
    }

    /// Sends the request to `back_end` for its answer. A long prompt that is prefilled there, or whose KV cache is
    /// moved there, is recorded until the answer begins.
    async fn attempt(&mut self, back_end: &BackEnd, plan: &PrefillPlan) -> Attempt {
        let traffic = self.traffic;
        let round_trip = traffic.round_trip(&back_end.zone);
        let Some(prompt) = self.request.long_prompt().cloned() else {
            let stage = match plan {
                PrefillPlan::Prefilled { source, .. } => SendStage::Decode(source.clone()),
                _ => SendStage::Complete,
            };
            let _timer = back_end.stage.map(|_| traffic.time_short_prompt(matches!(stage, SendStage::Decode(_))));
            let began = traffic.clock.now();
            let attempt = self.attempt_stage(back_end, &stage).await;
            if matches!(attempt, Attempt::Answered(_)) && back_end.stage.is_some() {
                let took = traffic.clock.now().since(began).saturating_sub(round_trip);
                traffic.peer_notices.record_wait(took);
            }
            return attempt;
        };
        if let PrefillPlan::Prefilled { source, zone } = plan {
            let began = traffic.clock.now();
            let attempt = self.attempt_stage(back_end, &SendStage::Decode(source.clone())).await;
            if matches!(attempt, Attempt::Answered(_)) {
                let took = traffic.clock.now().since(began).saturating_sub(round_trip);
                let factor = traffic.transfer_factor(zone, &back_end.zone);
                traffic.peer_notices.record_cache_transfer(&back_end.id, &prompt, took, factor);
            }
            return attempt;
        }
        let prefill = traffic.peer_notices.begin_at_distance(back_end, &prompt, self.request.urgency, round_trip);
        let attempt = self.attempt_stage(back_end, &SendStage::Complete).await;
        let is_prefilled = matches!(attempt, Attempt::Answered(_));
        prefill.end(is_prefilled);
        if is_prefilled {
            self.stop_late_prefill_timer();
        }
        attempt
    }

    async fn attempt_stage(&mut self, back_end: &BackEnd, stage: &SendStage) -> Attempt {
        if let Some(record) = &mut self.record {
            record.back_end = Some(back_end.id.clone());
            let knowledge = self.traffic.knowledge.load();
            knowledge.versions.version_of(&back_end.id).label().clone_into(&mut record.back_end_version);
        }
        let sent_at = self.traffic.clock.now();
        let version = self.traffic.knowledge.load().versions.key_of(&back_end.id);
        let sent = SentRequest { at: sent_at, version };
        let answer = match send_and_record(self.traffic, &self.request, back_end, stage).await {
            Err(SendFailure::NoTime | SendFailure::NotSent(_) | SendFailure::NoPath(_)) => {
                return Attempt::Ended(SendOutcome::NotSent, None);
            }
            Err(failure) => {
                self.exchange.record_sent();
                self.update_record();
                if matches!(failure, SendFailure::Lost(_)) && !self.request.route.kind.is_stream() {
                    self.record_run(sent_at);
                }
                return match failure {
                    SendFailure::TimedOut => Attempt::TimedOut,
                    _ => Attempt::Ended(SendOutcome::Lost, None),
                };
            }
            Ok(answer) => answer,
        };
        self.exchange.record_sent();
        self.update_record();
        // An engine begins a request at once if it has capacity, so an answer shows that it ran; a stream shows it by
        // its first piece.
        let has_run = matches!(answer.judgement, AnswerHead::Proper | AnswerHead::Failure | AnswerHead::Foreign(_));
        if has_run && !self.request.route.kind.is_stream() {
            self.record_run(sent_at);
        }
        match outcome_of_head(answer.judgement) {
            Some(SendOutcome::Failed) => match self.buffer_answer(back_end, answer).await {
                Some(response) => Attempt::Ended(SendOutcome::Failed, Some(response)),
                None => Attempt::Ended(SendOutcome::Lost, None),
            },
            Some(outcome) => {
                if !matches!(answer.judgement, AnswerHead::Foreign(_)) {
                    discard(answer, self.ends_at).await;
                }
                Attempt::Ended(outcome, None)
            }
            None if self.request.route.kind.is_stream() => self.stream_answer(back_end, sent, answer).await,
            None => match self.buffer_or_stream_answer(back_end, answer).await {
                Some(response) => Attempt::Answered(response),
                None => Attempt::Ended(SendOutcome::Lost, None),
            },
        }
    }

    /// Records in the tenant's usage that an engine began the request at `began`.
    pub(super) fn record_run(&self, began: Timestamp) {
        if let Some(tenant) = &self.request.tenant {
            self.traffic.usage.record(&tenant.name, began);
        }
    }

    fn place_answer(&mut self, plan: &PrefillPlan) -> Option<BackEnd> {
        match plan {
            PrefillPlan::Infeasible => None,
            PrefillPlan::ChosenEngine(back_end) => Some(back_end.clone()),
            // Moving the KV cache of a short prompt takes almost no time, so its zone is ignored. Otherwise all short
            // prompts would overload the few decode engines of a zone with many prefill engines.
            PrefillPlan::Prefilled { .. } if self.request.long_prompt().is_none() => self.place_decode(None),
            PrefillPlan::Prefilled { zone, .. } => self.place_decode(Some(zone)),
            PrefillPlan::AnsweringEngine if self.request.head.prompt.is_some() => self.place_decode(None),
            PrefillPlan::AnsweringEngine => self.place(&Purpose::Application),
        }
    }

    fn place_decode(&mut self, near: Option<&ZoneName>) -> Option<BackEnd> {
        let now = self.traffic.clock.now();
        let traffic = self.traffic;
        traffic.peer_notices.with_index(|index| self.place(&Purpose::Decode { near, index, now }))
    }

    pub(super) fn place(&mut self, purpose: &Purpose<'_>) -> Option<BackEnd> {
        self.place_with_estimate(purpose).map(|(back_end, _)| back_end)
    }

    pub(super) fn place_with_estimate(&mut self, purpose: &Purpose<'_>) -> Option<(BackEnd, Placed)> {
        let knowledge = self.traffic.knowledge.load_full();
        let now = self.traffic.clock.now();
        if let Some(record) = &mut self.record {
            record.directory_age = knowledge.directory_confirmed_at.map(|confirmed_at| now.since(confirmed_at));
        }
        choose_back_end(
            self.traffic,
            &knowledge,
            &self.request.service,
            purpose,
            &self.tried,
            self.request.resumed_version,
        )
    }
}
