//! One send of a request, with what its outcome tells about the back end.

use std::time::Instant;

use bytes::Bytes;
use havengate_core::back_ends::{BackEnd, BackEndNotice, LimitChange, Usability};
use havengate_core::relay::{SendOutcome, Urgency};
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::Address;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::time::timeout_at;

use super::caller_request::CallerRequest;
use super::traffic::Traffic;
use crate::back_ends::{AnswerInProgress, SendFailure, Sent, is_unacknowledged, send};
use crate::protocol::{AnswerHead, EngineUrgency, Protocol, SendStage};

/// The largest answer that is held until it is whole.
const HELD_ANSWER_MAXIMUM_BYTES: usize = 1024 * 1024;

/// The largest answer that is read only to keep its connection.
const DISCARDED_ANSWER_MAXIMUM_BYTES: usize = 16 * 1024;

/// Sends a request and notes what the outcome tells about the back end.
///
/// # Errors
/// When there is no answer.
pub async fn send_noted<P: Protocol>(
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
        cache_peer: keeper_for(traffic, request, back_end, stage),
        urgency: urgency_for(traffic, request, back_end, stage),
        tenant: request.tenant.as_ref().map(|tenant| &tenant.name),
        ends_at: request.ends_at,
        clock: traffic.clock,
    };
    let sent_at = traffic.clock.now();
    note_call(traffic, request, back_end, sent_at);
    let in_flight = traffic.loads.begin(&back_end.id, sent_at);
    let is_reading = matches!(stage, SendStage::Prefill);
    let run = traffic.broken_runs.begin(back_end, request.content, request.head.id_text(), is_reading);
    let result = send(&traffic.protocol, &traffic.pool, back_end, &sent, in_flight, run.clone()).await;
    if let Err(SendFailure::Lost(_)) = &result {
        run.broke_off();
    }
    match &result {
        Ok(answer) => {
            note_notice(traffic, request, back_end, answer.notice);
            if answer.judgement == AnswerHead::Proper && answer.notice.limit.is_none() {
                note_no_limit(traffic, request, back_end, sent_at);
            }
            note_judgement(traffic, request, back_end, stage, answer.judgement);
        }
        Err(failure) => note_failure(traffic, request, back_end, stage, failure),
    }
    traffic.metrics.record_send(request.service.as_str(), stage_label(stage), label_of(&result));
    result
}

/// The engine from which `back_end` may take the shared part of a long prompt that it is to read.
fn keeper_for<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
) -> Option<Address> {
    let prompt = request.long_prompt().filter(|_| !matches!(stage, SendStage::Decode(_)))?;
    let knowledge = traffic.knowledge.load();
    let now = traffic.clock.now();
    if !traffic.placement().takes_parts_over {
        return None;
    }
    let notices = traffic.notices.lock();
    let usable = knowledge
        .directory
        .of_service(&request.service)
        .filter(|entry| notices.usability(entry, now) == Usability::Usable)
        .filter(|entry| traffic.loads.admits(&entry.back_end.id, now));
    let others = usable.map(|entry| &entry.back_end);
    traffic.peer_notices.with_index(|index| index.keeper(&back_end.id, prompt, others).map(|keeper| keeper.address))
}

/// Who goes first at `back_end`: engines are told, applications have no such order.
///
/// A prompt that was read already goes before all others, also when it is late: little is left to do for it, and behind
/// prompts that are read and in time it would wait until its caller has gone, and its reading be for nothing.
fn urgency_for<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
) -> Option<EngineUrgency> {
    let told = traffic.placement().orders_by_urgency && back_end.stage.is_some();
    let urgency = match stage {
        SendStage::Decode(_) => EngineUrgency { urgency: Urgency::InTime, rank: 0 },
        SendStage::Whole | SendStage::Prefill => EngineUrgency { urgency: request.urgency, rank: request.rank() },
    };
    told.then_some(urgency)
}

/// Notes a send, and tells of one that its back end's own word speaks against. There are none but those that were decided before it came.
fn note_call<P>(traffic: &Traffic<P>, request: &CallerRequest, back_end: &BackEnd, now: Timestamp) {
    let unwelcome = traffic.notices.lock().record_call(&back_end.id, now);
    if let Some(unwelcome) = unwelcome {
        let (request, code) = (request.head.id_text(), unwelcome.code());
        traffic.metrics.record_ineligible_send(code);
        log::warn!(event = "send_unwelcome", request, back_end:% = back_end.id, back_end_says = code; "");
    }
}

/// Takes in what an answer says of the back end itself, and tells of what the node did not know before.
fn note_notice<P>(traffic: &Traffic<P>, request: &CallerRequest, back_end: &BackEnd, notice: BackEndNotice) {
    if notice == BackEndNotice::default() {
        return;
    }
    let heard = traffic.notices.lock().record(&back_end.id, notice, traffic.clock.now());
    let request = request.head.id_text();
    if heard.draining {
        traffic.peer_notices.queue_drain_announcement(&back_end.id);
        traffic.metrics.record_notice("leaves");
        log::info!(event = "back_end_leaves", back_end:% = back_end.id, told_by = "answer", request; "");
    }
    if let Some(rest) = heard.backoff {
        traffic.metrics.record_notice("rests");
        let rest_ms = whole_millis(rest);
        log::info!(event = "back_end_rests", back_end:% = back_end.id, rest_ms, request; "");
    }
    if let Some(LimitChange { limit, is_new }) = heard.limit {
        // Another number reaches peers in the course of things: an engine may name a new one in each answer.
        if is_new {
            traffic.peer_notices.queue_limit_announcement(&back_end.id);
        }
        traffic.metrics.record_notice("limits");
        log::info!(event = "back_end_limits", back_end:% = back_end.id, per_second:% = limit, told_by = "answer", request; "");
    }
}

/// Takes in that an answer to a request that was sent at `sent_at` named no limit.
fn note_no_limit<P>(traffic: &Traffic<P>, request: &CallerRequest, back_end: &BackEnd, sent_at: Timestamp) {
    let ended = traffic.notices.lock().limits.record_no_limit(&back_end.id, sent_at);
    if ended {
        traffic.peer_notices.queue_limit_announcement(&back_end.id);
        let request = request.head.id_text();
        log::info!(event = "back_end_limit_ended", back_end:% = back_end.id, told_by = "answer", request; "");
    }
}

fn note_failure<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
    failure: &SendFailure,
) {
    let now = traffic.clock.now();
    let cause = failure.to_string();
    if failure.should_warn_peers(stage) {
        traffic.peer_notices.record_unreachable(&back_end.id);
    }
    match failure {
        SendFailure::NoTime => {}
        SendFailure::NotSent(_) | SendFailure::Silent(_) => traffic.loads.unreachable(&back_end.id, now, &cause),
        // A back end that broke off may be in order. One that is gone shows at the next connection, which costs nothing.
        SendFailure::TimedOut | SendFailure::Lost(_) => traffic.loads.failed(&back_end.id, now),
    }
    let request = request.head.id_text();
    log::warn!(event = "send_failed", request, back_end:% = back_end.id, address:% = back_end.address, cause; "");
}

fn note_judgement<P>(
    traffic: &Traffic<P>,
    request: &CallerRequest,
    back_end: &BackEnd,
    stage: &SendStage,
    judgement: AnswerHead,
) {
    let now = traffic.clock.now();
    match judgement {
        // Whether the answer is whole is not known yet.
        AnswerHead::Proper => return,
        AnswerHead::Failure | AnswerHead::Foreign => {
            traffic.loads.failed(&back_end.id, now);
            if matches!(stage, SendStage::Prefill) {
                // Reading is the engine's own work, so its failure is the engine's.
                traffic.peer_notices.record_unreachable(&back_end.id);
            }
        }
        // A back end without room is in order, and its load is known by what is under way there.
        AnswerHead::Declined => {}
        AnswerHead::WrongBackEnd => traffic.loads.unreachable(&back_end.id, now, "another_back_end"),
    }
    let request = request.head.id_text();
    log::info!(event = "answer_judged", request, back_end:% = back_end.id, judgement:? = judgement; "");
}

/// What an answer's head means for the request; `None`: its proper answer.
pub fn outcome_of_head(judgement: AnswerHead) -> Option<SendOutcome> {
    match judgement {
        AnswerHead::Proper => None,
        AnswerHead::Failure => Some(SendOutcome::Failed),
        AnswerHead::Declined | AnswerHead::WrongBackEnd => Some(SendOutcome::Declined),
        AnswerHead::Foreign => Some(SendOutcome::Lost),
    }
}

/// What the lack of an answer means for the request.
pub fn outcome_of_failure(failure: &SendFailure) -> SendOutcome {
    match failure {
        SendFailure::NoTime | SendFailure::NotSent(_) => SendOutcome::NotSent,
        SendFailure::Silent(_) | SendFailure::Lost(_) | SendFailure::TimedOut => SendOutcome::Lost,
    }
}

/// Reads an answer to its end and keeps its connection; `None` when it is cut or too large.
pub async fn read_whole<P>(
    traffic: &Traffic<P>,
    back_end: &BackEnd,
    answer: AnswerInProgress,
    ends_at: Instant,
) -> Option<(Parts, Bytes)> {
    let AnswerInProgress { response, judgement, lease, in_flight, run, .. } = answer;
    let (parts, body) = response.into_parts();
    let collected = timeout_at(ends_at.into(), Limited::new(body, HELD_ANSWER_MAXIMUM_BYTES).collect()).await;
    drop(in_flight);
    let is_break = |error: &hyper::Error| !is_unacknowledged(error);
    if matches!(&collected, Ok(Err(error)) if error.downcast_ref().is_some_and(is_break)) {
        run.broke_off();
    }
    let Ok(Ok(collected)) = collected else {
        traffic.loads.failed(&back_end.id, traffic.clock.now());
        return None;
    };
    lease.give_back();
    if judgement == AnswerHead::Proper {
        traffic.loads.succeeded(&back_end.id);
        traffic.peer_notices.record_answer(&back_end.id);
        run.completed();
    }
    Some((parts, collected.to_bytes()))
}

/// Reads the answer of a back end that declined, so that its connection serves again.
pub async fn discard(answer: AnswerInProgress, ends_at: Instant) {
    let body = Limited::new(answer.response.into_body(), DISCARDED_ANSWER_MAXIMUM_BYTES).collect();
    if let Ok(Ok(_)) = timeout_at(ends_at.into(), body).await {
        answer.lease.give_back();
    }
}

/// The first piece of a body; `None` for an empty one.
///
/// # Errors
/// When the body is broken off before.
pub async fn first_piece(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

fn stage_label(stage: &SendStage) -> &'static str {
    match stage {
        SendStage::Prefill => "reading",
        SendStage::Decode(_) | SendStage::Whole => "answer",
    }
}

fn label_of(result: &Result<AnswerInProgress, SendFailure>) -> &'static str {
    match result {
        Ok(answer) => match answer.judgement {
            AnswerHead::Proper => "answered",
            AnswerHead::Failure => "failed",
            AnswerHead::Declined => "declined",
            AnswerHead::WrongBackEnd => "wrong_back_end",
            AnswerHead::Foreign => "foreign",
        },
        Err(SendFailure::NoTime) => "no_time",
        Err(SendFailure::NotSent(_)) => "not_sent",
        Err(SendFailure::Silent(_)) => "silent",
        Err(SendFailure::Lost(_)) => "lost",
        Err(SendFailure::TimedOut) => "timed_out",
    }
}
