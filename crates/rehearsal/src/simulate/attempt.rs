//! Attempts: a request on the engines of its placement, as `havengate_node::traffic::run_attempt` takes it there.

use havengate_core::dispatch::{AttemptOutcome, EngineEvent, Placement};
use havengate_core::gateway::GatewayEvent;
use havengate_core::request::{AnswerPiece, RequestId};
use havengate_core::verdict::MayHaveRun;
use havengate_core::world::EngineName;

use super::event::{EngineCall, EngineIndex, Event, PoolIndex};
use super::world::World;
use crate::engine::model::{ExportedKv, GenerateWork, WorkKind};

/// Tells attempts apart; counts them over the whole simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptToken(pub u64);

/// A KV cache that an engine holds for the one that generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KvExport {
    pub(super) engine: EngineIndex,
    /// The life of the engine's process that holds it.
    pub(super) incarnation: u64,
    pub(super) kv: ExportedKv,
}

/// News of an attempt from an engine.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AttemptUpdate {
    /// The engine has not started the request, and will not.
    Refused,
    /// The prompt has been read and its KV cache waits.
    PromptRead(KvExport),
    /// A piece of the answer.
    Piece(AnswerPiece),
    /// The connection has ended before the answer did.
    Lost,
}

/// An attempt that runs.
pub(super) struct Attempt {
    token: AttemptToken,
    decode: EngineName,
    resume_from: u32,
    /// The prompt has been read by another engine.
    imports: bool,
    has_piece: bool,
}

impl Attempt {
    /// A refusal after another engine has read the prompt: the request has run in part.
    fn outcome_of_refusal(&self) -> AttemptOutcome {
        match self.imports {
            true => AttemptOutcome::MayHaveRun(MayHaveRun::EngineFailed),
            false => AttemptOutcome::NotRun,
        }
    }

    fn outcome_of_loss(&self) -> AttemptOutcome {
        let reason = if self.has_piece { MayHaveRun::AnswerCut } else { MayHaveRun::EngineFailed };
        AttemptOutcome::MayHaveRun(reason)
    }
}

impl World<'_> {
    pub(super) fn start_attempt(
        &mut self,
        pool: PoolIndex,
        request: RequestId,
        placement: Placement,
        resume_from: u32,
    ) {
        self.attempts_made += 1;
        let token = AttemptToken(self.attempts_made);
        let site = &mut self.pools[pool.0];
        let before = site.requests.get(&request).map_or(0, |active| active.resume_from);
        let resume_from = before + resume_from;
        let decode = placement.decode.clone();
        site.attempts.insert(request, Attempt { token, decode, resume_from, imports: false, has_piece: false });
        match placement.prefill {
            Some(prefill) => self.call_run(pool, request, &prefill, WorkKind::Prefill, None),
            None => self.call_run(pool, request, &placement.decode, WorkKind::Generate, None),
        }
    }

    fn call_run(
        &mut self,
        pool: PoolIndex,
        request: RequestId,
        engine: &EngineName,
        kind: WorkKind,
        import: Option<KvExport>,
    ) {
        let site = &self.pools[pool.0];
        let (Some(active), Some(attempt)) = (site.requests.get(&request), site.attempts.get(&request)) else { return };
        let profile = &active.profile;
        let work = GenerateWork {
            request,
            model: profile.model.clone(),
            kind,
            prompt_tokens: profile.prompt_tokens,
            blocks: profile.blocks.clone(),
            max_tokens: profile.max_output_tokens,
            answer_tokens: active.answer_tokens,
            priority: profile.priority,
            resume_from: attempt.resume_from,
            import: None,
        };
        let call = EngineCall::Run { pool, token: attempt.token, work: Box::new(work), import };
        self.call_engine(pool, engine, call);
    }

    /// Sends a call to an engine.
    pub(super) fn call_engine(&mut self, pool: PoolIndex, engine: &EngineName, call: EngineCall) {
        let Some(engine) = self.engine_index(engine) else { return };
        let latency = self.latency(&self.pools[pool.0].zone, &self.engines[engine.0].zone);
        self.queue.after(latency, Event::EngineCall { engine, call });
    }

    /// News of an attempt have reached the dispatcher; those of an earlier attempt are dropped.
    pub(super) fn attempt_update(
        &mut self,
        pool: PoolIndex,
        request: RequestId,
        token: AttemptToken,
        update: AttemptUpdate,
    ) {
        let now = self.queue.now();
        let site = &mut self.pools[pool.0];
        let Some(attempt) = site.attempts.get_mut(&request).filter(|attempt| attempt.token == token) else { return };
        match update {
            AttemptUpdate::Refused => {
                let outcome = attempt.outcome_of_refusal();
                self.end_attempt(pool, request, outcome);
            }
            AttemptUpdate::Lost => {
                let outcome = attempt.outcome_of_loss();
                self.end_attempt(pool, request, outcome);
            }
            AttemptUpdate::PromptRead(export) => {
                attempt.imports = true;
                let decode = attempt.decode.clone();
                site.dispatcher.step(EngineEvent::PrefillDone { request }, now);
                self.call_run(pool, request, &decode, WorkKind::Generate, Some(export));
            }
            AttemptUpdate::Piece(piece) => self.piece(pool, piece),
        }
        self.poll_pool(pool);
    }

    fn piece(&mut self, pool: PoolIndex, piece: AnswerPiece) {
        let now = self.queue.now();
        let request = piece.request;
        let site = &mut self.pools[pool.0];
        let Some(attempt) = site.attempts.get_mut(&request) else { return };
        if !attempt.has_piece {
            attempt.has_piece = true;
            site.dispatcher.step(EngineEvent::FirstToken { request }, now);
        }
        site.dispatcher.step(EngineEvent::Progress { request, tokens: piece.tokens }, now);
        let finished = piece.finish.is_some();
        if let Some(active) = site.requests.get(&request) {
            let (gateway, attempt) = (active.gateway, active.gateway_attempt);
            self.tell_gateway(pool, gateway, request, GatewayEvent::Piece { attempt, piece });
        }
        if finished {
            self.end_attempt(pool, request, AttemptOutcome::Completed);
        }
    }

    fn end_attempt(&mut self, pool: PoolIndex, request: RequestId, outcome: AttemptOutcome) {
        let now = self.queue.now();
        let site = &mut self.pools[pool.0];
        site.attempts.remove(&request);
        site.dispatcher.step(EngineEvent::Ended { request, outcome }, now);
    }
}
