//! One send of a request to one back end, up to the head of its answer.

use std::error::Error;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use havengate_core::back_ends::{BackEnd, BackEndNotice};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, TenantName};
use havengate_node::clock::Clock;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, Uri};
use tokio::time::timeout;

use super::load::InFlight;
use super::pool::{ConnectionPool, Lease};
use crate::broken_runs::Run;
use crate::protocol::{AnswerHead, EngineUrgency, Protocol, RequestBody, RequestHead, SendFacts, SendStage};

/// A request as it is sent on.
pub struct Sent<'a> {
    /// The method, unchanged.
    pub method: &'a Method,
    /// Path and query, unchanged.
    pub target: &'a Uri,
    /// The caller's headers without those that concern only its connection.
    pub headers: &'a HeaderMap,
    /// The whole body, unchanged.
    pub body: Bytes,
    /// What the head says.
    pub head: &'a RequestHead,
    /// The part that is sent.
    pub stage: &'a SendStage,
    /// An engine that keeps a part of the prompt.
    pub cache_peer: Option<Address>,
    /// Who goes first at the back end.
    pub urgency: Option<EngineUrgency>,
    /// Whose request it is.
    pub tenant: Option<&'a TenantName>,
    /// When the answer must have come.
    pub ends_at: Timestamp,
    /// What `ends_at` is read on.
    pub clock: Clock,
}

impl Sent<'_> {
    /// How long the answer may still take.
    fn time_left(&self) -> Duration {
        self.ends_at.since(self.clock.now())
    }
}

/// An answer whose head has come.
pub struct AnswerInProgress {
    /// The head and the body as it comes.
    pub response: Response<Incoming>,
    /// What the head proves.
    pub judgement: AnswerHead,
    /// What it says of the back end itself.
    pub notice: BackEndNotice,
    /// The connection that the body comes over.
    pub lease: Lease,
    /// Counts the request as under way.
    pub in_flight: InFlight,
    /// The request's run at the back end.
    pub run: Run,
}

/// Why there is no answer.
#[derive(Clone, Debug, displaydoc::Display, thiserror::Error)]
pub enum SendFailure {
    /// no time left to send it
    NoTime,
    /// not sent: {0}
    NotSent(String),
    /// not a sign from the back end: {0}
    Silent(String),
    /// no answer: {0}
    Lost(String),
    /// no answer in time
    TimedOut,
}

impl SendFailure {
    /// Whether other nodes are to be told, for a send of this stage: the back end can't be reached, or has broken off its own
    /// work on a prompt. An answer that was lost, or did not come in time, may say as much of the link or of the load.
    pub fn should_warn_peers(&self, stage: &SendStage) -> bool {
        match self {
            SendFailure::NotSent(_) | SendFailure::Silent(_) => true,
            SendFailure::Lost(_) => matches!(stage, SendStage::Prefill),
            SendFailure::NoTime | SendFailure::TimedOut => false,
        }
    }
}

/// Sends a request to `back_end` and waits for the head of the answer.
///
/// # Errors
/// When there is no answer; only [`SendFailure::NotSent`] and [`SendFailure::NoTime`] prove that the back end has not seen
/// the request.
pub async fn send<P: Protocol>(
    protocol: &P,
    pool: &ConnectionPool,
    back_end: &BackEnd,
    request: &Sent<'_>,
    in_flight: InFlight,
    run: Run,
) -> Result<AnswerInProgress, SendFailure> {
    let mut lease = pool.lease(back_end).await.map_err(|error| SendFailure::NotSent(error.to_string()))?;
    let outgoing = assemble(protocol, back_end, request)?;
    let Some(sender) = lease.sender() else {
        return Err(SendFailure::NotSent("the connection is gone".to_owned()));
    };
    let answer = match timeout(request.time_left(), sender.try_send_request(outgoing)).await {
        Err(_) => return Err(SendFailure::TimedOut),
        Ok(Err(mut error)) => {
            let unsent = error.take_message().is_some();
            let error = error.into_error();
            let text = error.to_string();
            return Err(match unsent {
                true => SendFailure::NotSent(text),
                false if is_unacknowledged(&error) => SendFailure::Silent(text),
                false => SendFailure::Lost(text),
            });
        }
        Ok(Ok(response)) => response,
    };
    if let Some(seconds) = keep_alive_seconds(answer.headers()) {
        lease.allow_rest(seconds);
    }
    let judgement = protocol.judge(&request.head.id, answer.status(), answer.headers());
    let notice = protocol.read_notice(&request.head.id, answer.status(), answer.headers());
    Ok(AnswerInProgress { response: answer, judgement, notice, lease, in_flight, run })
}

fn assemble<P: Protocol>(
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
        keeper: request.cache_peer,
        urgency: request.urgency,
        tenant: request.tenant,
    };
    protocol.dress(outgoing.headers_mut(), &facts);
    Ok(outgoing)
}

/// Whether a connection failed since its other end acknowledged nothing any more: a machine without power, or behind a cut.
pub fn is_unacknowledged(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    timeout.unwrap_or(text).trim().parse().ok()
}
