//! A pool of keep-alive connections to back ends.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use havengate_core::back_ends::BackEnd;
use havengate_core::paths::{PathFailure, TunnelId};
use havengate_core::world::{Address, BackEndId, Distance, Topology};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::liveness::set_liveness;
use crate::paths::BackEndPaths;
use crate::protocol::RequestBody;
use crate::tunnels::{Tunnel, TunnelError, Tunnels};

/// How many other back ends are connected to, at most, before a refusal counts as a failure of the node's paths.
const WITNESSES_MAXIMUM: usize = 3;

/// Time and size limits of the pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// The time limit for establishing a connection. A live back end takes a few milliseconds; one without power never
    /// answers.
    pub connect_time_limit: Duration,
    /// How long the other end may acknowledge nothing, neither data nor keep-alive probes. A sound back end may be silent
    /// for a second or so.
    pub unacknowledged_time_limit: Duration,
    /// How long a request that may be repeated waits for its answer before the back end is checked by a new connection,
    /// and the time between two checks. A back end without power doesn't accept one.
    pub unanswered_time: Duration,
    /// How often a connection to a back end in another region is attempted when it is not established in time. The first
    /// packet of a connection is retransmitted only after 1 s; a second attempt makes up for a lost one earlier.
    pub distant_attempts: u32,
    /// How long a connection may stay idle when the back end announces no keep-alive timeout.
    pub idle_time_default: Duration,
    /// The share of the back end's keep-alive timeout for which a connection may stay idle: a request that is sent
    /// while the back end closes the connection is lost.
    pub keep_alive_share: f64,
    /// The largest head of an answer, in bytes.
    pub head_maximum_bytes: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            connect_time_limit: Duration::from_millis(300),
            unacknowledged_time_limit: Duration::from_millis(2_500),
            unanswered_time: Duration::from_millis(700),
            distant_attempts: 2,
            idle_time_default: Duration::from_secs(1),
            keep_alive_share: 0.6,
            head_maximum_bytes: 16 * 1024,
        }
    }
}

/// Why no connection was established.
#[derive(Clone, Debug, displaydoc::Display, thiserror::Error)]
pub enum ConnectError {
    /// the connection was not established in time
    TimedOut,
    /// the connection was refused: {0}
    Refused(String),
    /// the connection failed: {0}
    Failed(String),
    /// a peer could not connect to it: {0}
    UnreachableForPeer(Address),
    /// there is no path to it: {0}
    NoPath(String),
}

impl ConnectError {
    /// Classifies a failure to connect. A refusal comes from a live machine on which no process listens any more.
    fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => ConnectError::Refused(error.to_string()),
            _ => ConnectError::Failed(error.to_string()),
        }
    }
}

impl From<TunnelError> for ConnectError {
    fn from(error: TunnelError) -> Self {
        match error {
            TunnelError::Unreachable(peer) => ConnectError::UnreachableForPeer(peer),
            TunnelError::NoOffer | TunnelError::Failed(_) => ConnectError::NoPath(error.to_string()),
        }
    }
}

/// Why nothing will arrive over a connection any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The node has lost its paths.
    Paths,
    /// The back end can't be connected to.
    BackEnd,
}

/// The peer that a connection goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Detour {
    /// The peer.
    pub peer: Address,
    /// Identifies the tunnel in the logs of both nodes.
    pub tunnel: TunnelId,
}

struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
    /// `None` for a direct connection.
    detour: Option<Detour>,
}

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
    /// How often the paths to the back end had been lost when the connection became idle.
    losses: u32,
}

#[derive(Default)]
struct BackEndConnections {
    open: u32,
    idle: Vec<IdleConnection>,
}

/// Connections to all back ends. Clones share them.
#[derive(Clone)]
pub struct ConnectionPool {
    limits: PoolLimits,
    topology: Rc<Topology>,
    /// Records whether connections are established; `None` for a pool that is not used for requests.
    paths: Option<BackEndPaths>,
    /// Opens connections through peers; `None` for a pool that connects only directly.
    tunnels: Option<Tunnels>,
    connections: Rc<RefCell<HashMap<BackEndId, BackEndConnections>>>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(limits: PoolLimits) -> Self {
        ConnectionPool { limits, topology: Rc::default(), paths: None, tunnels: None, connections: Rc::default() }
    }

    /// The same pool for a deployment with this topology.
    pub fn in_topology(self, topology: Topology) -> Self {
        ConnectionPool { topology: Rc::new(topology), ..self }
    }

    /// The same pool, which records in `paths` whether its connections are established.
    pub fn recording(self, paths: BackEndPaths) -> Self {
        ConnectionPool { paths: Some(paths), ..self }
    }

    /// The same pool, which goes through peers where the own paths are lost.
    pub fn with_tunnels(self, tunnels: Tunnels) -> Self {
        ConnectionPool { tunnels: Some(tunnels), ..self }
    }

    /// Whether back ends may be in several regions.
    pub fn spans_regions(&self) -> bool {
        self.topology.spans_regions()
    }

    /// Whether `back_end` is in another region.
    pub fn is_distant(&self, back_end: &BackEnd) -> bool {
        self.topology.spans_regions() && self.topology.distance(&back_end.zone) == Distance::OtherRegion
    }

    /// The number of open connections to `id`.
    pub fn open(&self, id: &BackEndId) -> u32 {
        self.connections.borrow().get(id).map_or(0, |connections| connections.open)
    }

    /// The number of open connections to all back ends.
    pub fn open_total(&self) -> u32 {
        self.connections.borrow().values().map(|connections| connections.open).sum()
    }

    /// The number of idle connections to `id`.
    pub fn idle(&self, id: &BackEndId) -> usize {
        self.connections.borrow().get(id).map_or(0, |connections| connections.idle.len())
    }

    /// Takes an idle connection to `back_end` or opens a new one.
    ///
    /// # Errors
    /// When no connection can be established.
    pub async fn lease(&self, back_end: &BackEnd) -> Result<Lease, ConnectError> {
        let connection = match self.take_idle(back_end) {
            Some(connection) => connection,
            None => self.connect(back_end).await?,
        };
        let pool = self.clone();
        Ok(Lease {
            connection: Some(connection),
            pool,
            back_end: back_end.clone(),
            idle_time: self.limits.idle_time_default,
        })
    }

    /// Opens a new direct connection to `back_end` to check whether it still listens, and keeps it for the next request.
    ///
    /// # Errors
    /// When no connection can be established.
    pub async fn check(&self, back_end: &BackEnd) -> Result<(), ConnectError> {
        let stream = self.open_direct(back_end).await?;
        let connection = self.begin_connection(back_end, stream, None).await?;
        self.put_back(back_end, connection, self.limits.idle_time_default);
        Ok(())
    }

    /// Whether a refusal by `back_end` shows that it has terminated, and not that the node has lost its paths: another back
    /// end accepts a connection, or a peer is refused too. If no other one has accepted a connection lately, and no peer
    /// can tell, nothing speaks against it.
    pub async fn confirms_refusal(&self, back_end: &BackEnd) -> bool {
        let Some(paths) = &self.paths else {
            return true;
        };
        let mut others = paths.reached_beside(back_end);
        fastrand::shuffle(&mut others);
        others.truncate(WITNESSES_MAXIMUM);
        for other in &others {
            if self.check(other).await.is_ok() {
                return true;
            }
        }
        if !others.is_empty() {
            return false;
        }
        match &self.tunnels {
            Some(tunnels) => tunnels.open(back_end).await.is_err(),
            None => true,
        }
    }

    /// Waits until `back_end` doesn't accept a new connection in time, which is checked at intervals.
    async fn wait_until_gone(&self, back_end: &BackEnd) {
        loop {
            sleep(self.limits.unanswered_time).await;
            let is_reached =
                self.paths.as_ref().is_some_and(|paths| paths.reached_within(back_end, self.limits.unanswered_time));
            if !is_reached && matches!(self.check(back_end).await, Err(ConnectError::TimedOut)) {
                return;
            }
        }
    }

    fn take_idle(&self, back_end: &BackEnd) -> Option<Connection> {
        let mut connections = self.connections.borrow_mut();
        let idle = &mut connections.get_mut(&back_end.id)?.idle;
        let now = Instant::now();
        while let Some(candidate) = idle.pop() {
            let is_open = candidate.expires_at > now && candidate.connection.sender.is_ready();
            if is_open && self.may_reuse(&candidate, back_end) {
                return Some(candidate.connection);
            }
            candidate.connection.task.abort();
        }
        None
    }

    /// Whether an idle connection may carry a request. A direct one from before the paths were lost is dead most likely,
    /// and while they are in doubt a new connection shows it before the request is sent. A tunnel is used while the own
    /// paths are lost and its peer offers it.
    fn may_reuse(&self, idle: &IdleConnection, back_end: &BackEnd) -> bool {
        let Some(paths) = &self.paths else {
            return true;
        };
        match idle.connection.detour {
            Some(detour) => paths.needs_detour(back_end) && self.is_offered(detour),
            None => idle.losses == paths.losses(back_end) && !paths.is_doubtful(back_end),
        }
    }

    async fn connect(&self, back_end: &BackEnd) -> Result<Connection, ConnectError> {
        let (mut stream, mut detour) = (None, None);
        if let Some(tunnel) = self.open_tunnel(back_end).await? {
            detour = Some(Detour { peer: tunnel.peer, tunnel: tunnel.id });
            stream = Some(tunnel.stream);
        }
        if stream.is_none() {
            match self.open_direct(back_end).await {
                Ok(direct) => stream = Some(direct),
                // The failure may have shown that the paths are lost.
                Err(error) => {
                    let tunnel = self.open_tunnel(back_end).await?.ok_or(error)?;
                    detour = Some(Detour { peer: tunnel.peer, tunnel: tunnel.id });
                    stream = Some(tunnel.stream);
                }
            }
        }
        match stream {
            Some(stream) => self.begin_connection(back_end, stream, detour).await,
            None => Err(ConnectError::NoPath("no connection was attempted".to_owned())),
        }
    }

    /// Opens a tunnel to `back_end` if the own paths are lost; `None` if they are not, or no peer offers a tunnel.
    async fn open_tunnel(&self, back_end: &BackEnd) -> Result<Option<Tunnel>, ConnectError> {
        let (Some(paths), Some(tunnels)) = (&self.paths, &self.tunnels) else {
            return Ok(None);
        };
        if !paths.needs_detour(back_end) {
            return Ok(None);
        }
        match tunnels.open(back_end).await {
            Ok(tunnel) => Ok(Some(tunnel)),
            Err(TunnelError::NoOffer) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Opens a direct connection to `back_end`, and records whether that was possible.
    ///
    /// # Errors
    /// When no connection is established in time.
    pub async fn open_direct(&self, back_end: &BackEnd) -> Result<TcpStream, ConnectError> {
        let attempts = if self.is_distant(back_end) { self.limits.distant_attempts } else { 1 };
        let stream = self.open_stream(back_end, attempts).await;
        self.record_path(back_end, stream.as_ref().err());
        let stream = stream?;
        set_liveness(&stream, self.limits.unacknowledged_time_limit);
        Ok(stream)
    }

    async fn begin_connection(
        &self,
        back_end: &BackEnd,
        stream: TcpStream,
        detour: Option<Detour>,
    ) -> Result<Connection, ConnectError> {
        let opening = OpenConnection::new(self.clone(), back_end.id.clone());
        // Events of a stream are small and must not be delayed by Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        let handshake = Builder::new()
            .max_buf_size(self.limits.head_maximum_bytes)
            .handshake::<_, RequestBody>(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| ConnectError::Failed(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            let _open = opening;
            // The request in flight receives the error; the end of an idle connection needs no handling.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle(), detour })
    }

    /// Opens a connection in up to `attempts` attempts; only one that timed out is followed by another.
    async fn open_stream(&self, back_end: &BackEnd, attempts: u32) -> Result<TcpStream, ConnectError> {
        for _ in 0..attempts {
            let connecting = TcpStream::connect(back_end.address.0);
            match timeout(self.limits.connect_time_limit, connecting).await {
                Err(_) => {}
                Ok(Err(error)) => return Err(ConnectError::of(&error)),
                Ok(Ok(stream)) => return Ok(stream),
            }
        }
        Err(ConnectError::TimedOut)
    }

    fn record_path(&self, back_end: &BackEnd, failure: Option<&ConnectError>) {
        let Some(paths) = &self.paths else {
            return;
        };
        match failure {
            None => paths.record_connected(back_end),
            Some(ConnectError::TimedOut) => paths.record_failed(back_end, PathFailure::TimedOut),
            Some(_) => paths.record_failed(back_end, PathFailure::Refused),
        }
    }

    fn put_back(&self, back_end: &BackEnd, connection: Connection, idle_time: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        let losses = self.paths.as_ref().map_or(0, |paths| paths.losses(back_end));
        let mut connections = self.connections.borrow_mut();
        let idle = &mut connections.entry(back_end.id.clone()).or_default().idle;
        idle.push(IdleConnection { connection, expires_at: Instant::now() + idle_time, losses });
    }

    fn is_offered(&self, detour: Detour) -> bool {
        self.tunnels.as_ref().is_some_and(|tunnels| tunnels.is_offered_by(detour.peer))
    }

    /// Closes connections that have been idle too long, and removes back ends without connections.
    pub fn tidy(&self) {
        let now = Instant::now();
        self.connections.borrow_mut().retain(|_, connections| {
            connections.idle.retain(|idle| {
                let is_open = idle.expires_at > now && !idle.connection.sender.is_closed();
                let keep = is_open && idle.connection.detour.is_none_or(|detour| self.is_offered(detour));
                if !keep {
                    idle.connection.task.abort();
                }
                keep
            });
            connections.open > 0 || !connections.idle.is_empty()
        });
    }
}

/// Counts a connection as open until its task has ended.
struct OpenConnection {
    pool: ConnectionPool,
    id: BackEndId,
}

impl OpenConnection {
    fn new(pool: ConnectionPool, id: BackEndId) -> Self {
        pool.connections.borrow_mut().entry(id.clone()).or_default().open += 1;
        OpenConnection { pool, id }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if let Some(connections) = self.pool.connections.borrow_mut().get_mut(&self.id) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}

/// A connection that carries one request. Unless it is given back after a complete answer, dropping it closes the
/// connection at once, so that the back end stops working on an abandoned request.
pub struct Lease {
    connection: Option<Connection>,
    pool: ConnectionPool,
    back_end: BackEnd,
    idle_time: Duration,
}

impl Lease {
    /// The sender for the request on this connection.
    pub fn sender(&mut self) -> Option<&mut SendRequest<RequestBody>> {
        self.connection.as_mut().map(|connection| &mut connection.sender)
    }

    /// The peer that the connection goes through; `None` for a direct one.
    pub fn detour(&self) -> Option<Detour> {
        self.connection.as_ref().and_then(|connection| connection.detour)
    }

    /// Waits until nothing will arrive over this connection any more, as far as that can be told without waiting for the
    /// operating system; never returns for a connection through a peer.
    pub async fn loss(&self) -> ConnectionLoss {
        match (&self.pool.paths, self.detour()) {
            (Some(paths), None) => tokio::select! {
                () = paths.wait_for_silent_loss(&self.back_end) => ConnectionLoss::Paths,
                () = self.pool.wait_until_gone(&self.back_end) => ConnectionLoss::BackEnd,
            },
            _ => std::future::pending().await,
        }
    }

    /// Sets the idle time from the back end's keep-alive timeout, in whole seconds.
    pub fn apply_keep_alive(&mut self, seconds: u64) {
        self.idle_time = Duration::from_secs(seconds).mul_f64(self.pool.limits.keep_alive_share);
    }

    /// Returns the connection to the pool, once the answer has been read to its end.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(&self.back_end, connection, self.idle_time);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.task.abort();
        }
    }
}
