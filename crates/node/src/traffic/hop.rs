//! One hop of a request: to a dispatcher on this node, or over a connection to another dispatching node.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvError, unbounded};
use crossbeam::select;
use havengate_core::dispatch::Revocation;
use havengate_core::gateway::{AttemptNumber, GatewayEvent, PoolLoad, Target};
use havengate_core::membership::Member;
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::verdict::Verdict;
use havengate_wire::{ForwardReply, ForwardRequest, RevocationOutcome};

use super::answer::AnswerEvent;
use super::pool_runtime::SubmittedRequest;
use super::registry::PoolRegistry;
use crate::http_server::HangUp;
use crate::peers::{ForwardClient, ForwardConnection, ForwardError, ForwardService};

/// A request as it is sent over a hop.
pub struct HopRequest {
    /// The request's profile, with the time left until its deadline.
    pub profile: RequestProfile,
    /// The prompt's text.
    pub prompt: String,
    /// Tokens of the answer that the caller already has.
    pub resume_from: u32,
}

/// Opens hops and revokes requests that were sent over them.
pub struct Hops {
    local: Arc<PoolRegistry>,
    remote: ForwardClient,
}

/// An open hop.
pub struct Hop {
    attempt: AttemptNumber,
    transport: Transport,
}

enum Transport {
    Local { events: Receiver<AnswerEvent>, me: Member },
    Remote { connection: ForwardConnection, request: RequestId },
}

/// The result of waiting on a hop.
pub enum HopEvent {
    /// An event for the request's state machine, and the pool's load if the dispatcher reported it.
    Event(GatewayEvent, Option<PoolLoad>),
    /// No event arrived: the wait timed out or was interrupted, or the message did not apply to the request.
    Silent,
}

impl Hops {
    /// Creates hops to the pools of this node and to other nodes.
    pub fn new(local: Arc<PoolRegistry>, remote: ForwardClient) -> Self {
        Hops { local, remote }
    }

    /// Sends a request to `target`, which is this node when it is `me`.
    ///
    /// # Errors
    /// The event that ends the attempt.
    pub fn open(
        &self,
        attempt: AttemptNumber,
        target: &Target,
        me: Member,
        request: HopRequest,
    ) -> Result<Hop, GatewayEvent> {
        if target.dispatcher == me {
            self.open_local(attempt, target, me, request)
        } else {
            self.open_remote(attempt, target, request)
        }
    }

    /// Revokes a request at the process `peer` that it was sent to.
    pub fn revoke(&self, attempt: AttemptNumber, peer: Member, me: Member, request: RequestId) -> GatewayEvent {
        if peer == me {
            return GatewayEvent::Revoked { attempt, from: me, revocation: self.local.revoke(request) };
        }
        match self.remote.revoke(peer.address, request) {
            Some((from, RevocationOutcome::BeforeStart)) => {
                GatewayEvent::Revoked { attempt, from, revocation: Revocation::BeforeStart }
            }
            Some((from, RevocationOutcome::MayHaveStarted)) => {
                GatewayEvent::Revoked { attempt, from, revocation: Revocation::AfterStart }
            }
            None => GatewayEvent::RevocationLost { attempt },
        }
    }

    /// Returns the connection of a hop whose request has ended to the client, for reuse.
    pub fn close(&self, hop: Hop) {
        if let Transport::Remote { connection, .. } = hop.transport {
            self.remote.give_back(connection);
        }
    }

    fn open_local(
        &self,
        attempt: AttemptNumber,
        target: &Target,
        me: Member,
        request: HopRequest,
    ) -> Result<Hop, GatewayEvent> {
        // Unbounded, so that a slow caller does not block the engine; the request bounds the answer's length.
        let (answer, events) = unbounded();
        let HopRequest { profile, prompt, resume_from } = request;
        let submitted = SubmittedRequest { profile, prompt, resume_from, answer };
        match self.local.submit(&target.pool, submitted) {
            Ok(()) => Ok(Hop { attempt, transport: Transport::Local { events, me } }),
            Err(refusal) => Err(GatewayEvent::Ended { attempt, verdict: Verdict::NotRun(refusal) }),
        }
    }

    fn open_remote(&self, attempt: AttemptNumber, target: &Target, request: HopRequest) -> Result<Hop, GatewayEvent> {
        let HopRequest { profile, prompt, resume_from } = request;
        let id = profile.id;
        let submit = ForwardRequest::Submit { pool: target.pool.clone(), profile, prompt, resume_from };
        match self.remote.submit(target.dispatcher.address, &submit) {
            Ok(connection) => Ok(Hop { attempt, transport: Transport::Remote { connection, request: id } }),
            Err((_, Some(peer))) => Err(GatewayEvent::Lost { attempt, peer }),
            Err((_, None)) => Err(GatewayEvent::NotSent { attempt }),
        }
    }
}

impl Hop {
    /// Waits at most `wait` for the next event. On a local hop, a hang-up of the caller interrupts the wait.
    pub fn receive(&mut self, wait: Duration, hang_up: &HangUp) -> HopEvent {
        let attempt = self.attempt;
        match &mut self.transport {
            Transport::Local { events, me } => select! {
                recv(events) -> event => local_event(attempt, event, *me),
                recv(hang_up.over()) -> _ => HopEvent::Silent,
                default(wait) => HopEvent::Silent,
            },
            Transport::Remote { connection, request } => receive_remote(attempt, connection, *request, wait),
        }
    }
}

fn local_event(attempt: AttemptNumber, event: Result<AnswerEvent, RecvError>, me: Member) -> HopEvent {
    let event = match event {
        Ok(AnswerEvent::Piece(piece)) => GatewayEvent::Piece { attempt, piece },
        Ok(AnswerEvent::End(verdict)) => GatewayEvent::Ended { attempt, verdict },
        Err(RecvError) => GatewayEvent::Lost { attempt, peer: me },
    };
    HopEvent::Event(event, None)
}

fn receive_remote(
    attempt: AttemptNumber,
    connection: &mut ForwardConnection,
    request: RequestId,
    wait: Duration,
) -> HopEvent {
    match connection.receive(wait) {
        Ok(ForwardReply::Piece(piece)) => HopEvent::Event(GatewayEvent::Piece { attempt, piece }, None),
        Ok(ForwardReply::Ended { request: ended, verdict, load }) if ended == request => {
            HopEvent::Event(GatewayEvent::Ended { attempt, verdict }, Some(load))
        }
        Ok(ForwardReply::Ended { .. } | ForwardReply::Revoked { .. }) | Err(ForwardError::Silent) => HopEvent::Silent,
        Err(_) => HopEvent::Event(GatewayEvent::Lost { attempt, peer: connection.peer }, None),
    }
}
