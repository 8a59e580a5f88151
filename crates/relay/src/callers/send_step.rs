//! Sends a request once, and records what the outcome shows about the back end.

use std::time::Instant;

use bytes::Bytes;
use havengate_core::answer_end::Framing;
use havengate_core::back_ends::{BackEnd, BackEndNotice, LimitChange, Usability};
use havengate_core::paths::PathFailure;
use havengate_core::relay::{DistanceCost, SendOutcome, Urgency};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::Address;
use hyper::http::response::Parts;
use tokio::time::timeout_at;

use super::caller_request::CallerRequest;
use super::record::RequestRecord;
use super::traffic::Traffic;
use crate::answer_memory::BufferedAnswer;
use crate::back_ends::{AnswerBody, AnswerInProgress, BodyError, SendFailure, Sent, send};
use crate::broken_runs::Run;
use crate::protocol::{AnswerHead, EngineUrgency, Protocol, SendStage};

/// The largest answer that is buffered until it is complete.
const BUFFERED_ANSWER_MAXIMUM_BYTES: usize = 1024 * 1024;

/// The largest answer that is read only to reuse its connection.
const DISCARDED_ANSWER_MAXIMUM_BYTES: usize = 16 * 1024;

/// Sends a request and records what the outcome shows about the back end.
///
/// # Errors
/// If there is no answer.
pub async fn send_and_record<P: Protocol>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
) -> Result<AnswerInProgress, SendFailure> {
    let sent = Sent {
        method: &request.method,
        target: &request.target,
        headers: &request.headers,
        body: request.body.clone(),
        head: &request.head,
        stage,
        cache_peer: cache_peer_for(traffic, request, back_end, stage),
        urgency: urgency_for(traffic, request, back_end, stage),
        tenant: request.tenant.as_ref().map(|tenant| &tenant.name),
        ends_at: request.ends_at,
        clock: traffic.clock,
        may_repeat: request.route.kind.may_repeat() || matches!(stage, SendStage::Prefill),
        used_connections: &request.used_connections,
    };
    let sent_at = traffic.clock.now();
    record_call(traffic, request, back_end, sent_at);
    let in_flight = traffic.loads.begin(&back_end.id, traffic.paths.begin_request(back_end), sent_at);
    let is_prefill = matches!(stage, SendStage::Prefill);
    let run = traffic.broken_runs.begin(back_end, request, is_prefill);
    let result = send(&traffic.protocol, &traffic.pool, back_end, &sent, in_flight, run.clone()).await;
    if let Err(SendFailure::Lost(_)) = &result {
        run.record_interruption();
    }
    match &result {
        Ok(answer) => {
            if answer.lease.detour().is_none() {
                traffic.paths.record_contact(back_end);
                traffic.peer_notices.record_path_proof(back_end);
            }
            apply_notice(traffic, request, back_end, answer.notice);
            if answer.judgement == AnswerHead::Proper && answer.notice.limit.is_none() {
                apply_no_limit(traffic, request, back_end, sent_at);
            }
            record_judgement(traffic, request, back_end, stage, answer.judgement);
        }
        Err(failure) => record_failure(traffic, request, back_end, stage, failure),
    }
    traffic.metrics.record_send(request.service.as_str(), stage_label(stage), result_label(&result));
    result
}

/// The engine from which `back_end` may copy the cached part of a long prompt instead of prefilling it.
fn cache_peer_for<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
) -> Option<Address> {
    let prompt = request.long_prompt().filter(|_| !matches!(stage, SendStage::Decode(_)))?;
    let knowledge = traffic.knowledge.load();
    let now = traffic.clock.now();
    let (config, topology) = (traffic.placement(), traffic.topology());
    if !config.takes_parts_over {
        return None;
    }
    let distance = DistanceCost::new(Some(&topology), &config);
    let notices = traffic.notices.lock();
    let usable = knowledge
        .directory
        .of_service(&request.service)
        .filter(|entry| notices.usability(entry, now) == Usability::Usable)
        .filter(|entry| traffic.loads.admits(&entry.back_end.id, now));
    let others: Vec<&BackEnd> = usable.map(|entry| &entry.back_end).collect();
    traffic.peer_notices.with_index(|index| {
        let peer = index.cache_peer_by_distance(back_end, prompt, &others, &distance, now);
        peer.map(|peer| peer.address)
    })
}

/// The urgency of the request at `back_end`; `None` for applications, which don't order requests by urgency.
///
/// A request whose prompt is prefilled already goes before all others, even if it is late: little work is left, and
/// behind requests that are in time but not prefilled yet it would wait until its caller has hung up, and its prefill
/// would be wasted.
fn urgency_for<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
) -> Option<EngineUrgency> {
    let sends_urgency = traffic.placement().orders_by_urgency && back_end.stage.is_some();
    let urgency = match stage {
        SendStage::Decode(_) => EngineUrgency { urgency: Urgency::InTime, rank: 0 },
        SendStage::Complete | SendStage::Prefill => EngineUrgency { urgency: request.urgency, rank: request.rank() },
    };
    sends_urgency.then_some(urgency)
}

/// Records a send, and logs it if the back end's own announcement makes that back end ineligible. That happens only to
/// sends that were decided before the announcement arrived.
fn record_call<P>(traffic: &Traffic<P>, request: &CallerRequest, back_end: &BackEnd, now: Timestamp) {
    let ineligibility = traffic.notices.lock().record_call(&back_end.id, now);
    if let Some(ineligibility) = ineligibility {
        let (request, code) = (request.head.id_text(), ineligibility.code());
        traffic.metrics.record_ineligible_send(code);
        log::warn!(event = "send_unwelcome", request, back_end:% = back_end.id, back_end_says = code; "");
    }
}

/// Applies what an answer announces about the back end itself, and logs what is new to the node.
fn apply_notice<P>(traffic: &Traffic<P>, request: &CallerRequest, back_end: &BackEnd, notice: BackEndNotice) {
    if notice == BackEndNotice::default() {
        return;
    }
    let effect = traffic.notices.lock().record(&back_end.id, notice, traffic.clock.now());
    let request = request.head.id_text();
    if effect.draining {
        traffic.peer_notices.queue_drain_announcement(&back_end.id);
        traffic.metrics.record_notice("leaves");
        log::info!(event = "back_end_leaves", back_end:% = back_end.id, told_by = "answer", request; "");
    }
    if let Some(backoff) = effect.backoff {
        traffic.metrics.record_notice("rests");
        let rest_ms = whole_millis(backoff);
        log::info!(event = "back_end_rests", back_end:% = back_end.id, rest_ms, request; "");
    }
    if let Some(LimitChange { limit, is_new }) = effect.limit {
        // A changed limit reaches peers with the regular updates: an engine may announce a new one in each answer.
        if is_new {
            traffic.peer_notices.queue_limit_announcement(&back_end.id);
        }
        traffic.metrics.record_notice("limits");
        log::info!(event = "back_end_limits", back_end:% = back_end.id, per_second:% = limit, told_by = "answer", request; "");
    }
}

/// Records that an answer to a request sent at `sent_at` announced no limit.
fn apply_no_limit<P>(traffic: &Traffic<P>, request: &CallerRequest, back_end: &BackEnd, sent_at: Timestamp) {
    let limit_ended = traffic.notices.lock().limits.record_no_limit(&back_end.id, sent_at);
    if limit_ended {
        traffic.peer_notices.queue_limit_announcement(&back_end.id);
        let request = request.head.id_text();
        log::info!(event = "back_end_limit_ended", back_end:% = back_end.id, told_by = "answer", request; "");
    }
}

fn record_failure<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
    failure: &SendFailure,
) {
    let now = traffic.clock.now();
    let cause = failure.to_string();
    match failure {
        SendFailure::Silent(_) => traffic.paths.record_failed(back_end, PathFailure::TimedOut),
        SendFailure::Lost(_) => traffic.paths.record_interrupted(back_end),
        _ => {}
    }
    if failure.should_warn_peers(stage) {
        traffic.peer_notices.record_unreachable(back_end);
    }
    match failure {
        SendFailure::NoTime | SendFailure::NoPath(_) | SendFailure::PathLost => {}
        SendFailure::NotSent(_) | SendFailure::Silent(_) => traffic.loads.unreachable(&back_end.id, now, &cause),
        // A back end that interrupted an answer may be healthy. If it is gone, the next connection attempt shows that
        // at no cost.
        SendFailure::TimedOut | SendFailure::Lost(_) => traffic.loads.failed(&back_end.id, now),
    }
    let request = request.head.id_text();
    log::warn!(event = "send_failed", request, back_end:% = back_end.id, address:% = back_end.address, cause; "");
}

fn record_judgement<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
    judgement: AnswerHead,
) {
    let now = traffic.clock.now();
    match judgement {
        // It is not known yet whether the answer is complete.
        AnswerHead::Proper => return,
        AnswerHead::Failure | AnswerHead::Foreign(_) => {
            traffic.loads.failed(&back_end.id, now);
            if matches!(stage, SendStage::Prefill) {
                // The engine itself runs the prefill, so the failure is the engine's.
                traffic.peer_notices.record_unreachable(back_end);
            }
        }
        // A back end without capacity is healthy, and its load is known from the requests in flight there.
        AnswerHead::Declined => {}
        AnswerHead::WrongBackEnd => traffic.loads.unreachable(&back_end.id, now, "another_back_end"),
    }
    let fault = match judgement {
        AnswerHead::Foreign(fault) => fault.code(),
        _ => "",
    };
    if !fault.is_empty() {
        traffic.metrics.record_answer_fault(fault);
    }
    let (request, judgement) = (request.head.id_text(), judgement.code());
    log::info!(event = "answer_judged", request, back_end:% = back_end.id, judgement, fault; "");
}

/// The outcome of the send by the answer's head; `None` for the request's proper answer.
pub fn outcome_of_head(judgement: AnswerHead) -> Option<SendOutcome> {
    match judgement {
        AnswerHead::Proper => None,
        AnswerHead::Failure => Some(SendOutcome::Failed),
        AnswerHead::Declined | AnswerHead::WrongBackEnd => Some(SendOutcome::Declined),
        AnswerHead::Foreign(_) => Some(SendOutcome::Lost),
    }
}

/// The outcome of a send that got no answer.
pub fn outcome_of_failure(failure: &SendFailure) -> SendOutcome {
    match failure {
        SendFailure::NoTime | SendFailure::NotSent(_) | SendFailure::NoPath(_) => SendOutcome::NotSent,
        SendFailure::Silent(_) | SendFailure::PathLost | SendFailure::Lost(_) | SendFailure::TimedOut => {
            SendOutcome::Lost
        }
    }
}

/// An answer that was read to its end.
pub struct CompleteAnswer {
    /// The head.
    pub parts: Parts,
    /// The body.
    pub body: Bytes,
    judgement: AnswerHead,
    run: Run,
}

impl CompleteAnswer {
    /// Records that the back end has answered as it should. What was asked for may be in the body, so this is not known
    /// before the body is read.
    pub fn record_success<P>(&self, traffic: &Traffic<P>, back_end: &BackEnd) {
        if self.judgement == AnswerHead::Proper {
            traffic.loads.succeeded(&back_end.id);
            traffic.peer_notices.record_answer(&back_end.id);
            self.run.completed();
        }
    }
}

/// What was read of an answer.
pub enum ReadAnswer {
    /// All of it; its connection is kept.
    Complete(CompleteAnswer),
    /// Its beginning: the rest is too large to be buffered.
    Beginning(Bytes, Box<AnswerInProgress>),
}

/// Reads an answer, as far as it can be buffered; `None` if it is interrupted. `record` is that of the request whose
/// caller gets the answer.
pub async fn read_answer<P>(
    traffic: &Traffic<P>,
    back_end: &BackEnd,
    mut answer: AnswerInProgress,
    ends_at: Instant,
    record: Option<&mut RequestRecord>,
) -> Option<ReadAnswer> {
    let read = timeout_at(ends_at.into(), buffer(&mut answer.body, traffic.answers.begin())).await;
    if let Ok(Ok((beginning, BufferEnd::Full))) = read {
        return Some(ReadAnswer::Beginning(beginning, Box::new(answer)));
    }
    let AnswerInProgress { parts, body, judgement, lease, in_flight, run, .. } = answer;
    drop(in_flight);
    if let Some(record) = record {
        record.record_end(&body);
    }
    if matches!(&read, Ok(Err(error)) if error.suggests_termination()) {
        run.record_interruption();
    }
    let Ok(Ok((collected, _))) = read else {
        traffic.loads.failed(&back_end.id, traffic.clock.now());
        return None;
    };
    lease.give_back_after(body.framing());
    Some(ReadAnswer::Complete(CompleteAnswer { parts, body: collected, judgement, run }))
}

/// Why no more of an answer is buffered.
enum BufferEnd {
    /// It is complete.
    Complete,
    /// It is too large, or buffered answers use their part of the memory.
    Full,
}

async fn buffer(body: &mut AnswerBody, mut buffered: BufferedAnswer) -> Result<(Bytes, BufferEnd), BodyError> {
    while let Some(piece) = body.piece().await? {
        let is_full = buffered.len() + piece.len() > BUFFERED_ANSWER_MAXIMUM_BYTES || !buffered.has_room(piece.len());
        buffered.append(&piece);
        if is_full {
            return Ok((buffered.into_bytes(), BufferEnd::Full));
        }
    }
    Ok((buffered.into_bytes(), BufferEnd::Complete))
}

/// Reads and drops the answer of a back end that declined, so that its connection can be reused.
pub async fn discard(mut answer: AnswerInProgress, ends_at: Instant) {
    if answer.body.framing() == Framing::Connection {
        return;
    }
    let body = answer.body.read_to_end(DISCARDED_ANSWER_MAXIMUM_BYTES);
    if let Ok(Ok(_)) = timeout_at(ends_at.into(), body).await {
        answer.lease.give_back();
    }
}

fn stage_label(stage: &SendStage) -> &'static str {
    match stage {
        SendStage::Prefill => "reading",
        SendStage::Decode(_) | SendStage::Complete => "answer",
    }
}

fn result_label(result: &Result<AnswerInProgress, SendFailure>) -> &'static str {
    match result {
        Ok(answer) => match answer.judgement {
            AnswerHead::Proper => "answered",
            AnswerHead::Failure => "failed",
            AnswerHead::Declined => "declined",
            AnswerHead::WrongBackEnd => "wrong_back_end",
            AnswerHead::Foreign(_) => "foreign",
        },
        Err(SendFailure::NoTime) => "no_time",
        Err(SendFailure::NotSent(_)) => "not_sent",
        Err(SendFailure::NoPath(_)) => "no_path",
        Err(SendFailure::Silent(_)) => "silent",
        Err(SendFailure::PathLost) => "path_lost",
        Err(SendFailure::Lost(_)) => "lost",
        Err(SendFailure::TimedOut) => "timed_out",
    }
}
