//! One attempt at a request: prefill, transfer of the KV cache and the answer's stream, on one thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use havengate_core::dispatch::AttemptOutcome;
use havengate_core::request::{AnswerPiece, RequestId};
use havengate_core::verdict::MayHaveRun;
use havengate_core::world::Address;

use crate::engines::dialect::{CancelAnswer, GenerateLine, GenerateRequest, KvHandle};
use crate::engines::{EngineApi, EngineCallError, GenerateStream};

/// Parameters of an attempt.
pub struct AttemptPlan {
    /// The request.
    pub request: RequestId,
    /// The request body sent to the engines.
    pub body: GenerateRequest,
    /// The engine that runs the prefill, when it is not the one that generates.
    pub prefill: Option<Address>,
    /// The engine that generates.
    pub decode: Address,
}

/// Receives the progress of an attempt.
pub trait PieceSink {
    /// Called when another engine than the one that generates has finished the prefill.
    fn prefill_done(&mut self, request: RequestId);

    /// Passes on a piece; returns `false` when the answer has no receiver any more.
    fn piece(&mut self, piece: AnswerPiece) -> bool;
}

/// Runs an attempt to its end.
pub fn run_attempt(engines: &Arc<dyn EngineApi>, mut plan: AttemptPlan, sink: &mut dyn PieceSink) -> AttemptOutcome {
    if let Some(prefill) = plan.prefill {
        let sent = Instant::now();
        match engines.prefill(prefill, &plan.body) {
            Ok(handle) => plan.body.import = Some(handle),
            Err(error) => return resolve_failure(engines, prefill, &plan, sent, &error),
        }
        sink.prefill_done(plan.request);
    }
    let sent = Instant::now();
    match engines.generate(plan.decode, &plan.body) {
        Ok(mut stream) => relay_stream(stream.as_mut(), &plan, sink),
        Err(error) => resolve_after_import(engines, &plan, sent, &error),
    }
}

/// Resolves a failed generate call. After a prefill on another engine the request has run in part, so only a repeatable
/// request may run again.
fn resolve_after_import(
    engines: &Arc<dyn EngineApi>,
    plan: &AttemptPlan,
    sent: Instant,
    error: &EngineCallError,
) -> AttemptOutcome {
    let outcome = resolve_failure(engines, plan.decode, plan, sent, error);
    let imported: Option<&KvHandle> = plan.body.import.as_ref();
    match (outcome, imported) {
        (AttemptOutcome::NotRun, Some(_)) => AttemptOutcome::MayHaveRun(MayHaveRun::EngineFailed),
        (outcome, _) => outcome,
    }
}

/// Determines whether a failed call, sent at `sent`, has run: an engine that cancelled the request before its start
/// never starts it. That holds only if the engine's process is older than the call: a previous incarnation may have
/// started the request without the current one knowing.
fn resolve_failure(
    engines: &Arc<dyn EngineApi>,
    engine: Address,
    plan: &AttemptPlan,
    sent: Instant,
    error: &EngineCallError,
) -> AttemptOutcome {
    if matches!(error, EngineCallError::NotRun(_)) {
        return AttemptOutcome::NotRun;
    }
    match engines.cancel(engine, plan.request) {
        Some(answer) if !answer.started && was_alive_since(sent, &answer) => AttemptOutcome::NotRun,
        _ => AttemptOutcome::MayHaveRun(MayHaveRun::EngineFailed),
    }
}

/// Whether the engine process that just returned `answer` was already running at `sent`. The time that the answer took
/// counts against it.
fn was_alive_since(sent: Instant, answer: &CancelAnswer) -> bool {
    Duration::from_millis(answer.alive_ms) >= sent.elapsed()
}

fn relay_stream(stream: &mut dyn GenerateStream, plan: &AttemptPlan, sink: &mut dyn PieceSink) -> AttemptOutcome {
    loop {
        let Ok(line) = stream.next_line() else {
            return AttemptOutcome::MayHaveRun(MayHaveRun::AnswerCut);
        };
        let piece = piece_of(line, plan.request);
        let Some(piece) = piece else { continue };
        let finished = piece.finish.is_some();
        if !sink.piece(piece) {
            return AttemptOutcome::MayHaveRun(MayHaveRun::CallerGone);
        }
        if finished {
            return AttemptOutcome::Completed;
        }
    }
}

/// Returns the piece in a line; `None` when the line answers another request.
fn piece_of(line: GenerateLine, request: RequestId) -> Option<AnswerPiece> {
    let own = line.request == request.to_string();
    own.then_some(AnswerPiece {
        request,
        first_token: line.first_token,
        tokens: line.tokens,
        text: line.text,
        finish: line.finish,
    })
}
