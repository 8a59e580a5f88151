//! Sends a request to one back end and waits for the head of the answer.

use std::error::Error;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use havengate_core::back_ends::{BackEnd, BackEndNotice};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, TenantName};
use havengate_node::clock::Clock;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use tokio::time::{Instant, timeout};

use super::answer_body::AnswerBody;
use super::answer_head::{head_fault, keep_alive};
use super::end_proof::EndProver;
use super::load::InFlight;
use super::pool::{ConnectError, ConnectionLoss, ConnectionPool, Detour, Lease, UsedConnections};
use crate::broken_runs::Run;
use crate::hop_by_hop::strip_answer;
use crate::protocol::{
    AnswerHead, AskedRequest, EngineUrgency, Protocol, RequestBody, RequestHead, SendFacts, SendStage,
};

/// A request as it is forwarded.
pub struct Sent<'a> {
    /// The method, unchanged.
    pub method: &'a Method,
    /// Path and query, unchanged.
    pub target: &'a Uri,
    /// The caller's headers without those that concern only its connection.
    pub headers: &'a HeaderMap,
    /// The complete body, unchanged.
    pub body: Bytes,
    /// The parsed head.
    pub head: &'a RequestHead,
    /// The stage that the back end is to run.
    pub stage: &'a SendStage,
    /// An engine that caches a part of the prompt.
    pub cache_peer: Option<Address>,
    /// The scheduling priority at the back end.
    pub urgency: Option<EngineUrgency>,
    /// The tenant that the request belongs to.
    pub tenant: Option<&'a TenantName>,
    /// The deadline of the answer.
    pub ends_at: Timestamp,
    /// The clock that `ends_at` refers to.
    pub clock: Clock,
    /// Whether the request may be sent to another back end without an answer from this one.
    pub may_repeat: bool,
    /// The connections that the request has been sent over before.
    pub used_connections: &'a UsedConnections,
}

impl Sent<'_> {
    /// The time left until the deadline.
    fn time_left(&self) -> Duration {
        self.ends_at.since(self.clock.now())
    }
}

/// An answer whose head has been received.
pub struct AnswerInProgress {
    /// The head.
    pub parts: Parts,
    /// The body as it is received.
    pub body: AnswerBody,
    /// What the head proves about the request.
    pub judgement: AnswerHead,
    /// The back end's notice about itself.
    pub notice: BackEndNotice,
    /// The connection that carries the body.
    pub lease: Lease,
    /// Counts the request as in flight.
    pub in_flight: InFlight,
    /// The request's run at the back end.
    pub run: Run,
}

/// Why a send got no answer.
#[derive(Clone, Debug, displaydoc::Display, thiserror::Error)]
pub enum SendFailure {
    /// no time left to send the request
    NoTime,
    /// not sent: {0}
    NotSent(String),
    /// not sent, as this node has no path: {0}
    NoPath(String),
    /// no acknowledgement from the back end: {0}
    Silent(String),
    /// no answer, as this node has lost its paths
    PathLost,
    /// no answer: {0}
    Lost(String),
    /// no answer in time
    TimedOut,
}

impl SendFailure {
    /// Whether a failed send of this stage is announced to peers: the back end can't be reached, or has interrupted its
    /// own prefill. A lost or late answer may be due to the link or the load just as well.
    pub fn should_warn_peers(&self, stage: &SendStage) -> bool {
        match self {
            SendFailure::NotSent(_) | SendFailure::Silent(_) => true,
            SendFailure::Lost(_) => matches!(stage, SendStage::Prefill),
            SendFailure::NoTime | SendFailure::NoPath(_) | SendFailure::PathLost | SendFailure::TimedOut => false,
        }
    }
}

/// Sends a request to `back_end` and waits for the head of the answer.
///
/// # Errors
/// When there is no answer; only [`SendFailure::NotSent`], [`SendFailure::NoPath`] and [`SendFailure::NoTime`] prove that the back end has not
/// received the request.
pub async fn send<P: Protocol>(
    protocol: &P,
    pool: &ConnectionPool,
    back_end: &BackEnd,
    request: &Sent<'_>,
    in_flight: InFlight,
    run: Run,
) -> Result<AnswerInProgress, SendFailure> {
    let sent_at = Instant::now();
    let mut lease = pool.lease(back_end, request.used_connections).await.map_err(|error| match error {
        ConnectError::NoPath(_) => SendFailure::NoPath(error.to_string()),
        _ => SendFailure::NotSent(error.to_string()),
    })?;
    if let Some(Detour { peer, tunnel, .. }) = lease.detour() {
        let request = request.head.id_text();
        log::info!(event = "request_tunnelled", request, back_end:% = back_end.id, peer:% = peer, tunnel:% = tunnel; "");
    }
    let outgoing = build_request(protocol, back_end, request)?;
    let Some(sender) = lease.sender() else {
        return Err(SendFailure::NotSent("the connection is closed".to_owned()));
    };
    let sending = timeout(request.time_left(), sender.try_send_request(outgoing));
    let sent = tokio::select! {
        sent = sending => sent,
        loss = lease.loss(), if request.may_repeat => return Err(match loss {
            ConnectionLoss::Paths => SendFailure::PathLost,
            ConnectionLoss::BackEnd => SendFailure::Silent("a new connection was not established in time".to_owned()),
        }),
    };
    let answer = match sent {
        Err(_) => return Err(SendFailure::TimedOut),
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            let error = error.into_error();
            let text = error.to_string();
            return Err(match is_unsent {
                true => SendFailure::NotSent(text),
                false if is_unacknowledged(&error) => SendFailure::Silent(text),
                false => SendFailure::Lost(text),
            });
        }
        Ok(Ok(response)) => response,
    };
    let (mut parts, incoming) = answer.into_parts();
    let id = request.head.id_text().to_owned();
    let prover = EndProver::new(pool.clone(), back_end.clone(), lease.detour(), sent_at, id);
    let body = AnswerBody::new(&parts.headers, incoming, prover);
    let HeadReading { judgement, notice, idle_time } = read_head(protocol, request, &mut parts);
    if let Some(idle_time) = idle_time {
        lease.apply_keep_alive(idle_time);
    }
    Ok(AnswerInProgress { parts, body, judgement, notice, lease, in_flight, run })
}

/// What the head of an answer says, as far as it is believed.
struct HeadReading {
    judgement: AnswerHead,
    notice: BackEndNotice,
    /// How long the back end keeps the connection open.
    idle_time: Option<Duration>,
}

/// Judges the head of an answer to `request`, and removes from it what is not passed on.
fn read_head<P: Protocol>(protocol: &P, request: &Sent<'_>, parts: &mut Parts) -> HeadReading {
    let idle_time = keep_alive(&parts.headers);
    let fault = head_fault(parts.status, &parts.headers);
    // The answer is judged by what is passed on, so the headers of the connection are removed first.
    let has_body = *request.method != Method::HEAD && parts.status != StatusCode::NOT_MODIFIED;
    strip_answer(&mut parts.headers, has_body);
    let asked = AskedRequest { id: &request.head.id, stage: request.stage };
    let judgement = protocol.classify_answer(asked, parts.status, &parts.headers).unless_faulty(fault);
    if !judgement.is_of_request() {
        return HeadReading { judgement, notice: BackEndNotice::default(), idle_time: None };
    }
    HeadReading { judgement, notice: protocol.read_notice(parts.status, &parts.headers), idle_time }
}

fn build_request<P: Protocol>(
    protocol: &P,
    back_end: &BackEnd,
    request: &Sent<'_>,
) -> Result<Request<RequestBody>, SendFailure> {
    let mut outgoing = Request::new(RequestBody::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = request.headers.clone();
    let deadline = request.time_left();
    if deadline.is_zero() {
        return Err(SendFailure::NoTime);
    }
    let facts = SendFacts {
        back_end,
        deadline,
        stage: request.stage,
        cache_peer: request.cache_peer,
        urgency: request.urgency,
        tenant: request.tenant,
    };
    protocol.rewrite_headers(outgoing.headers_mut(), &facts);
    Ok(outgoing)
}

/// Whether a connection failed because the remote end stopped acknowledging data: its machine lost power or is
/// partitioned.
pub fn is_unacknowledged(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}
