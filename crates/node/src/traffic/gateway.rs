//! The gateway: takes a caller's request, has it dispatched here or by a peer, and passes the answer on.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{RecvTimeoutError, Sender, unbounded};
use havengate_core::dispatch::Revocation;
use havengate_core::membership::Member;
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use havengate_core::world::PoolId;
use havengate_wire::{ForwardReply, ForwardRequest};

use super::answer::AnswerEvent;
use super::pool_runtime::SubmittedRequest;
use super::registry::PoolRegistry;
use crate::clock::Clock;
use crate::control::{ControlSnapshot, PoolRoute, SharedSnapshot};
use crate::peers::{ForwardClient, ForwardConnection, ForwardError, ForwardService, RevocationResult};

/// How often a waiting request looks whether its caller has hung up or its deadline has passed.
const CHECK_EVERY: Duration = Duration::from_millis(50);

/// Tells whether the caller is still there.
pub trait CallerPresence: Send {
    /// Whether the caller has hung up.
    fn is_gone(&self) -> bool;
}

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
    answer: &'a Sender<AnswerEvent>,
    caller: &'a dyn CallerPresence,
}

impl Gateway {
    /// A gateway that dispatches by `local` on this node and by `remote` on others.
    pub fn new(snapshot: SharedSnapshot, local: Arc<PoolRegistry>, remote: ForwardClient, clock: Clock) -> Self {
        Gateway { snapshot, local, remote, clock }
    }

    /// Serves a request to its end; blocks until then.
    pub fn serve(
        &self,
        profile: RequestProfile,
        prompt: String,
        answer: &Sender<AnswerEvent>,
        caller: &dyn CallerPresence,
    ) {
        let deadline = self.clock.now() + profile.time_left;
        let passage = Passage { profile, prompt, deadline, answer, caller };
        let verdict = self.pass(&passage);
        // The receiver is gone only when the caller has hung up.
        let _ = answer.send(AnswerEvent::End(verdict));
    }

    fn pass(&self, passage: &Passage<'_>) -> Verdict {
        let snapshot = self.snapshot.load_full();
        if let Some(reason) = snapshot.refuses {
            return Verdict::NotRun(NotRun::new(reason));
        }
        let mut last = NotRun::new(NotRunReason::NoEngine);
        for (route, owner) in candidates(&snapshot, passage) {
            let verdict = if owner == snapshot.me {
                self.dispatch_here(&route.pool.id, passage)
            } else {
                self.dispatch_there(owner, &route.pool.id, passage)
            };
            match verdict {
                Verdict::NotRun(refusal) if refusal.reason.worth_another_try() => last = refusal,
                verdict => return verdict,
            }
        }
        Verdict::NotRun(last)
    }

    fn dispatch_here(&self, pool: &PoolId, passage: &Passage<'_>) -> Verdict {
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
                    let _ = passage.answer.send(AnswerEvent::Piece(piece));
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

    fn dispatch_there(&self, owner: Member, pool: &PoolId, passage: &Passage<'_>) -> Verdict {
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

    fn relay(&self, mut connection: ForwardConnection, passage: &Passage<'_>) -> Verdict {
        let request = passage.profile.id;
        let peer = connection.peer;
        loop {
            match connection.receive(CHECK_EVERY) {
                Ok(ForwardReply::Piece(piece)) => {
                    let _ = passage.answer.send(AnswerEvent::Piece(piece));
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
        if passage.caller.is_gone() {
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

fn candidates<'a>(
    snapshot: &'a ControlSnapshot,
    passage: &'a Passage<'_>,
) -> impl Iterator<Item = (&'a PoolRoute, Member)> {
    let routes = snapshot.routes_of(&passage.profile.model);
    routes.flat_map(|route| route.owners.iter().map(move |owner| (route, *owner)))
}
