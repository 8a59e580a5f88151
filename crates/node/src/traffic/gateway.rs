//! The gateway: takes a caller's request, has it dispatched here or by a peer, and passes the answer on.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{RecvTimeoutError, unbounded};
use havengate_core::dispatch::Revocation;
use havengate_core::membership::Member;
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_core::world::{ModelName, PoolId};
use havengate_wire::{ForwardReply, ForwardRequest};

use super::answer::AnswerEvent;
use super::pool_runtime::SubmittedRequest;
use super::registry::PoolRegistry;
use crate::callers::{AnswerSink, CallerDirectory, CallerRequest, Readiness, RequestHandler};
use crate::clock::Clock;
use crate::control::{ControlSnapshot, SharedSnapshot};
use crate::http_server::HangUp;
use crate::peers::{ForwardClient, ForwardConnection, ForwardError, ForwardService, RevocationResult};

/// How often a waiting request looks whether its caller has hung up or its deadline has passed.
const CHECK_EVERY: Duration = Duration::from_millis(50);

/// Serves callers' requests.
pub struct Gateway {
    snapshot: SharedSnapshot,
    local: Arc<PoolRegistry>,
    remote: ForwardClient,
    clock: Clock,
}

/// A request on its way through the gateway.
struct Passage<'a> {
    profile: RequestProfile,
    prompt: String,
    deadline: Timestamp,
    answer: &'a mut dyn AnswerSink,
    hang_up: &'a HangUp,
}

impl Gateway {
    /// A gateway that dispatches by `local` on this node and by `remote` on others.
    pub fn new(snapshot: SharedSnapshot, local: Arc<PoolRegistry>, remote: ForwardClient, clock: Clock) -> Self {
        Gateway { snapshot, local, remote, clock }
    }

    fn pass(&self, passage: &mut Passage<'_>) -> Verdict {
        let snapshot = self.snapshot.load_full();
        if let Some(reason) = snapshot.refuses(self.clock.now()) {
            return Verdict::NotRun(NotRun::new(reason));
        }
        let mut last = NotRun::new(NotRunReason::NoEngine);
        let model = passage.profile.model.clone();
        for (pool, owner) in candidates(&snapshot, &model) {
            let verdict = if owner == snapshot.me {
                self.dispatch_here(pool, passage)
            } else {
                self.dispatch_there(owner, pool, passage)
            };
            match verdict {
                Verdict::NotRun(refusal) if refusal.reason.worth_another_try() => last = refusal,
                verdict => return verdict,
            }
        }
        Verdict::NotRun(last)
    }

    fn dispatch_here(&self, pool: &PoolId, passage: &mut Passage<'_>) -> Verdict {
        let request = passage.profile.id;
        let (answer, events) = unbounded();
        let submitted = SubmittedRequest {
            profile: self.profile_now(passage),
            prompt: passage.prompt.clone(),
            resume_from: 0,
            answer,
        };
        if let Err(refusal) = self.local.submit(pool, submitted) {
            return Verdict::NotRun(refusal);
        }
        loop {
            match events.recv_timeout(CHECK_EVERY) {
                Ok(AnswerEvent::Piece(piece)) => {
                    // A caller that has hung up is noticed below.
                    let _ = passage.answer.piece(piece);
                }
                Ok(AnswerEvent::End(verdict)) => return verdict,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Verdict::MayHaveRun(MayHaveRun::DispatcherLost),
            }
            if let Some((not_run, may_have_run)) = self.reason_to_stop(passage) {
                return match self.local.revoke(request) {
                    Revocation::BeforeStart => Verdict::NotRun(NotRun::new(not_run)),
                    Revocation::AfterStart | Revocation::Unknown => Verdict::MayHaveRun(may_have_run),
                };
            }
        }
    }

    fn dispatch_there(&self, owner: Member, pool: &PoolId, passage: &mut Passage<'_>) -> Verdict {
        let submit = ForwardRequest::Submit {
            pool: pool.clone(),
            profile: self.profile_now(passage),
            prompt: passage.prompt.clone(),
            resume_from: 0,
        };
        match self.remote.submit(owner.address, &submit) {
            Ok(connection) => self.relay(connection, passage),
            Err((ForwardError::NotSent(_), _)) => Verdict::NotRun(NotRun::new(NotRunReason::DispatcherUnreachable)),
            Err((_, peer)) => self.settle(peer, passage.profile.id),
        }
    }

    fn relay(&self, mut connection: ForwardConnection, passage: &mut Passage<'_>) -> Verdict {
        let request = passage.profile.id;
        let peer = connection.peer;
        loop {
            match connection.receive(CHECK_EVERY) {
                Ok(ForwardReply::Piece(piece)) => {
                    // A caller that has hung up is noticed below.
                    let _ = passage.answer.piece(piece);
                }
                Ok(ForwardReply::Ended { request: ended, verdict, .. }) if ended == request => {
                    self.remote.give_back(connection);
                    return verdict;
                }
                Ok(_) | Err(ForwardError::Silent) => {}
                Err(_) => return self.settle(Some(peer), request),
            }
            if let Some((not_run, may_have_run)) = self.reason_to_stop(passage) {
                return match self.remote.revoke(peer, request) {
                    RevocationResult::NotRun => Verdict::NotRun(NotRun::new(not_run)),
                    RevocationResult::MayHaveRun => Verdict::MayHaveRun(may_have_run),
                };
            }
        }
    }

    /// Finds out what became of a request whose connection was lost.
    fn settle(&self, peer: Option<Member>, request: RequestId) -> Verdict {
        let result = peer.map_or(RevocationResult::MayHaveRun, |peer| self.remote.revoke(peer, request));
        match result {
            RevocationResult::NotRun => Verdict::NotRun(NotRun::new(NotRunReason::DispatcherUnreachable)),
            RevocationResult::MayHaveRun => Verdict::MayHaveRun(MayHaveRun::DispatcherLost),
        }
    }

    fn reason_to_stop(&self, passage: &Passage<'_>) -> Option<(NotRunReason, MayHaveRun)> {
        if passage.hang_up.is_set() {
            return Some((NotRunReason::CallerGone, MayHaveRun::CallerGone));
        }
        if self.clock.now() >= passage.deadline {
            return Some((NotRunReason::DeadlinePassed, MayHaveRun::DeadlinePassed));
        }
        None
    }

    fn profile_now(&self, passage: &Passage<'_>) -> RequestProfile {
        let time_left = passage.deadline.since(self.clock.now());
        RequestProfile { time_left, ..passage.profile.clone() }
    }
}

impl RequestHandler for Gateway {
    fn submit(&self, request: CallerRequest, answer: &mut dyn AnswerSink, hang_up: &HangUp) -> Verdict {
        let deadline = self.clock.now() + request.profile.time_left;
        let mut passage = Passage { profile: request.profile, prompt: request.prompt, deadline, answer, hang_up };
        self.pass(&mut passage)
    }

    fn directory(&self) -> Arc<CallerDirectory> {
        Arc::clone(&self.snapshot.load().directory)
    }

    fn readiness(&self) -> Readiness {
        self.snapshot.load().readiness
    }
}

fn candidates<'a>(snapshot: &'a ControlSnapshot, model: &'a ModelName) -> impl Iterator<Item = (&'a PoolId, Member)> {
    let routes = snapshot.routes_of(model);
    routes.flat_map(|route| route.owners.iter().map(|owner| (&route.pool.id, *owner)))
}
