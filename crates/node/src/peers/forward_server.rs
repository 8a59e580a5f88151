//! The dispatching node's side of forwarding.

use std::net::TcpStream;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, unbounded};
use havengate_core::dispatch::Revocation;
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::verdict::{NotRun, Verdict};
use havengate_core::world::PoolId;
use havengate_wire::{ForwardReply, ForwardRequest, PoolLoad, RevocationOutcome, WireError, read_frame, write_frame};

use crate::traffic::{AnswerEvent, SubmittedRequest};

/// How often a silent connection is checked for a gateway that has gone.
const CHECK_EVERY: Duration = Duration::from_millis(500);

/// How long a write to the gateway may take. Answers are small: a gateway that takes nothing in for so long is lost.
const WRITE_WITHIN: Duration = Duration::from_secs(10);

/// What the node does with forwarded requests.
pub trait ForwardService {
    /// Takes a request in.
    ///
    /// # Errors
    /// When it is refused; it has not run and will not.
    fn submit(&self, pool: &PoolId, request: SubmittedRequest) -> Result<(), NotRun>;

    /// Withdraws a request, whichever pool it is in and whether it has arrived or not.
    fn revoke(&self, request: RequestId) -> Revocation;

    /// How busy a pool is.
    fn load(&self, pool: &PoolId) -> PoolLoad;
}

/// Serves a connection until the gateway closes it.
///
/// # Errors
/// When the connection fails. A request that it carried has been revoked.
pub fn serve_forward(mut stream: TcpStream, service: &dyn ForwardService) -> Result<(), WireError> {
    stream.set_write_timeout(Some(WRITE_WITHIN))?;
    loop {
        match read_frame(&mut stream)? {
            ForwardRequest::Revoke { request } => {
                let outcome = match service.revoke(request) {
                    Revocation::BeforeStart => RevocationOutcome::BeforeStart,
                    Revocation::AfterStart | Revocation::Unknown => RevocationOutcome::MayHaveStarted,
                };
                write_frame(&mut stream, &ForwardReply::Revoked { request, outcome })?;
            }
            ForwardRequest::Submit { pool, profile, prompt, resume_from } => {
                serve_request(&mut stream, service, &pool, profile, prompt, resume_from)?;
            }
        }
    }
}

fn serve_request(
    stream: &mut TcpStream,
    service: &dyn ForwardService,
    pool: &PoolId,
    profile: RequestProfile,
    prompt: String,
    resume_from: u32,
) -> Result<(), WireError> {
    let request = profile.id;
    // Unbounded, since an answer's length is bounded by the request: a slow gateway must not hold up the engine.
    let (answer, events) = unbounded();
    let verdict = match service.submit(pool, SubmittedRequest { profile, prompt, resume_from, answer }) {
        Err(refusal) => Verdict::NotRun(refusal),
        Ok(()) => relay(stream, &events).inspect_err(|_| {
            service.revoke(request);
        })?,
    };
    let load = service.load(pool);
    write_frame(stream, &ForwardReply::Ended { request, verdict, load })?;
    Ok(())
}

fn relay(stream: &mut TcpStream, events: &Receiver<AnswerEvent>) -> Result<Verdict, WireError> {
    loop {
        match events.recv_timeout(CHECK_EVERY) {
            Ok(AnswerEvent::Piece(piece)) => {
                write_frame(stream, &ForwardReply::Piece(piece))?;
            }
            Ok(AnswerEvent::End(verdict)) => return Ok(verdict),
            Err(RecvTimeoutError::Timeout) => check_open(stream)?,
            Err(RecvTimeoutError::Disconnected) => return Err(std::io::ErrorKind::ConnectionAborted.into_wire()),
        }
    }
}

/// Fails when the gateway has closed the connection; it sends nothing while a request runs.
fn check_open(stream: &TcpStream) -> Result<(), WireError> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
        Err(error) => Err(error.into()),
        Ok(_) => Err(std::io::ErrorKind::ConnectionAborted.into_wire()),
    }
}

trait IntoWireError {
    fn into_wire(self) -> WireError;
}

impl IntoWireError for std::io::ErrorKind {
    fn into_wire(self) -> WireError {
        WireError::Io(self.into())
    }
}
