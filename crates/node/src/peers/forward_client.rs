//! The gateway's side of forwarding: connections to dispatching nodes, each with one request at a time.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use havengate_core::membership::Member;
use havengate_core::request::RequestId;
use havengate_core::world::Address;
use havengate_wire::{
    ForwardReply, ForwardRequest, Hello, Purpose, RevocationOutcome, WireError, read_frame, read_hello, write_frame,
    write_hello,
};

use super::link::LinkGate;
use crate::control::CurrentMember;

/// How long a connection to a peer may take; in one region it takes milliseconds.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// How long the answer to a revocation may take. The caller waits meanwhile, so it is short.
const REVOKE_WITHIN: Duration = Duration::from_millis(1_000);

/// Idle connections kept for each peer.
const IDLE_MAXIMUM: usize = 16;

/// Why a request could not be forwarded.
#[derive(Debug, Display, thiserror::Error)]
pub enum ForwardError {
    /// nothing was sent to {0}
    NotSent(Address),
    /// the connection failed after the request was sent: {0}
    Lost(WireError),
    /// nothing came within the time
    Silent,
}

/// Opens connections to dispatching nodes and keeps idle ones.
pub struct ForwardClient {
    me: CurrentMember,
    gate: Arc<dyn LinkGate>,
    idle: Mutex<BTreeMap<Address, Vec<ForwardConnection>>>,
}

/// A connection to a dispatching node.
pub struct ForwardConnection {
    /// The process at the other end, as it introduced itself.
    pub peer: Member,
    stream: TcpStream,
    gate: Arc<dyn LinkGate>,
}

impl ForwardClient {
    /// A client that introduces itself as `me`.
    pub fn new(me: CurrentMember, gate: Arc<dyn LinkGate>) -> Self {
        ForwardClient { me, gate, idle: Mutex::new(BTreeMap::new()) }
    }

    /// Sends a request to the node at `address`.
    ///
    /// # Errors
    /// [`ForwardError::NotSent`] when it is certain that the node did not get the request. Any other error must be
    /// settled by [`ForwardClient::revoke`]; the process to which the request was sent is returned beside it.
    pub fn submit(
        &self,
        address: Address,
        request: &ForwardRequest,
    ) -> Result<ForwardConnection, (ForwardError, Option<Member>)> {
        let connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => self.connect(address).map_err(|_| (ForwardError::NotSent(address), None))?,
        };
        let peer = connection.peer;
        connection.send(request).map_err(|error| (ForwardError::Lost(error), Some(peer)))?;
        Ok(connection)
    }

    /// Gives a connection back whose request has ended.
    pub fn give_back(&self, connection: ForwardConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.peer.address).or_default();
        if connections.len() < IDLE_MAXIMUM {
            connections.push(connection);
        }
    }

    /// Asks the process at `address` to withdraw a request. The answer comes with the process that gave it, since only
    /// the very process that was sent the request can say that it never started it: one restarted at the same address
    /// knows nothing of its predecessor's work. `None` when no answer came.
    pub fn revoke(&self, address: Address, request: RequestId) -> Option<(Member, RevocationOutcome)> {
        let mut connection = self.connect(address).ok()?;
        connection.send(&ForwardRequest::Revoke { request }).ok()?;
        connection.stream.set_read_timeout(Some(REVOKE_WITHIN)).ok()?;
        match read_frame(&mut connection.stream).ok()? {
            ForwardReply::Revoked { request: answered, outcome } if answered == request => {
                Some((connection.peer, outcome))
            }
            _ => None,
        }
    }

    fn take_idle(&self, address: Address) -> Option<ForwardConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    fn connect(&self, address: Address) -> Result<ForwardConnection, WireError> {
        if !self.gate.is_open(address) {
            return Err(WireError::Io(io::ErrorKind::HostUnreachable.into()));
        }
        let mut stream = TcpStream::connect_timeout(&address.0, CONNECT_WITHIN)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CONNECT_WITHIN))?;
        write_hello(&mut stream, Hello::new(**self.me.load(), Purpose::Forward))?;
        let hello = read_hello(&mut stream)?;
        Ok(ForwardConnection { peer: hello.member, stream, gate: Arc::clone(&self.gate) })
    }
}

impl ForwardConnection {
    /// The next reply, or [`ForwardError::Silent`] when none comes within `wait`.
    ///
    /// # Errors
    /// When nothing comes in time, or the connection fails.
    pub fn receive(&mut self, wait: Duration) -> Result<ForwardReply, ForwardError> {
        if !self.has_data(wait).map_err(|error| ForwardError::Lost(error.into()))? {
            return Err(ForwardError::Silent);
        }
        read_frame(&mut self.stream).map_err(ForwardError::Lost)
    }

    fn send(&self, request: &ForwardRequest) -> Result<(), WireError> {
        write_frame(&mut &self.stream, request).map(drop)
    }

    /// Waits for the first byte of a frame, so that a time limit never cuts a frame in two.
    fn has_data(&self, wait: Duration) -> io::Result<bool> {
        if !self.gate.is_open(self.peer.address) {
            return Err(io::ErrorKind::HostUnreachable.into());
        }
        self.stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_read_timeout(Some(CONNECT_WITHIN))?;
        match peeked {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(true),
            Err(error) if is_timeout(&error) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Whether an idle connection still stands; an idle one has nothing to read.
    fn is_open(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false);
        restored.is_ok() && matches!(peeked, Err(error) if is_timeout(&error))
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
