//! A node's attempt against a stand-in engine that dies: what is called "not run" has not run in any of its lives.

mod engine_support;

use std::net::SocketAddr;
use std::sync::Arc;

use engine_support::{MODEL, config};
use havengate_core::authority::{EngineReport, Order, OrderReply, Term};
use havengate_core::dispatch::AttemptOutcome;
use havengate_core::request::{AnswerPiece, RequestId};
use havengate_core::verdict::MayHaveRun;
use havengate_core::world::Address;
use havengate_node::engines::dialect::{CacheEvents, CancelAnswer, GenerateRequest, KvHandle, LoadReport};
use havengate_node::engines::{EngineApi, EngineCallError, EngineTimeouts, GenerateStream, HttpEngineApi};
use havengate_node::traffic::{AttemptPlan, PieceSink, run_attempt};
use havengate_rehearsal::engine::server::{EngineHandle, EngineServer};

/// What an engine says that has been alive for an hour.
const HOUR_MS: u64 = 3_600_000;

/// What strikes the engine while the reply to a request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Strike {
    /// The reply is lost; the engine lives on.
    LostReply,
    /// The request is lost on its way; the engine lives on.
    LostRequest,
    /// The engine runs the request, dies and is started again.
    Restart,
}

/// Calls a stand-in engine and loses the replies to its requests.
struct LossyApi {
    inner: HttpEngineApi,
    engine: EngineHandle,
    strike: Strike,
}

impl EngineApi for LossyApi {
    fn generate(&self, engine: Address, request: &GenerateRequest) -> Result<Box<dyn GenerateStream>, EngineCallError> {
        if self.strike != Strike::LostRequest {
            let mut stream = self.inner.generate(engine, request)?;
            stream.next_line().expect("the engine runs the request");
        }
        if self.strike == Strike::Restart {
            self.engine.restart().expect("it starts again");
        }
        Err(EngineCallError::MayHaveRun("the reply is lost".to_owned()))
    }

    fn cancel(&self, engine: Address, request: RequestId) -> Option<CancelAnswer> {
        let answer = self.inner.cancel(engine, request)?;
        let was_long_alive = self.strike != Strike::Restart;
        Some(CancelAnswer { alive_ms: if was_long_alive { HOUR_MS } else { answer.alive_ms }, ..answer })
    }

    fn prefill(&self, engine: Address, request: &GenerateRequest) -> Result<KvHandle, EngineCallError> {
        self.inner.prefill(engine, request)
    }

    fn state(&self, engine: Address) -> Option<EngineReport> {
        self.inner.state(engine)
    }

    fn raise_fence(&self, engine: Address, term: Term) -> OrderReply {
        self.inner.raise_fence(engine, term)
    }

    fn order(&self, engine: Address, order: &Order) -> OrderReply {
        self.inner.order(engine, order)
    }

    fn load(&self, engine: Address) -> Option<LoadReport> {
        self.inner.load(engine)
    }

    fn cache_events(&self, engine: Address, after: u64) -> Option<CacheEvents> {
        self.inner.cache_events(engine, after)
    }
}

struct NoSink;

impl PieceSink for NoSink {
    fn prefill_done(&mut self, _: RequestId) {}

    fn piece(&mut self, _: AnswerPiece) -> bool {
        true
    }
}

fn attempt(strike: Strike) -> (AttemptOutcome, usize) {
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let engine = EngineServer::start(config(), address).expect("the engine starts");
    let decode = Address(engine.address());
    let request = RequestId(1);
    let body = GenerateRequest {
        request: request.to_string(),
        model: MODEL.to_owned(),
        prompt: "Print ticket 1 once.".to_owned(),
        max_tokens: 10_000,
        priority: 4,
        resume_from: 0,
        import: None,
    };
    let lossy = Arc::new(LossyApi { inner: HttpEngineApi::new(EngineTimeouts::default()), engine, strike });
    let api: Arc<dyn EngineApi> = Arc::clone(&lossy) as _;
    let outcome = run_attempt(&api, AttemptPlan { request, body, prefill: None, decode }, &mut NoSink);
    (outcome, lossy.engine.history().generations(request).count())
}

#[test]
fn request_that_ran_in_an_earlier_life_of_the_engine_may_have_run() {
    assert_eq!(attempt(Strike::Restart), (AttemptOutcome::MayHaveRun(MayHaveRun::EngineFailed), 1));
}

#[test]
fn request_whose_reply_is_lost_may_have_run() {
    assert_eq!(attempt(Strike::LostReply), (AttemptOutcome::MayHaveRun(MayHaveRun::EngineFailed), 1));
}

#[test]
fn request_that_never_came_to_a_living_engine_has_not_run() {
    assert_eq!(attempt(Strike::LostRequest), (AttemptOutcome::NotRun, 0));
}
