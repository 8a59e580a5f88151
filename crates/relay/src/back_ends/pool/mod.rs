//! A pool of keep-alive connections to back ends.

mod checks;
mod connect;
mod lease;
mod limits;
mod liveness;
mod used;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::paths::{TunnelId, TunnelToken};
use havengate_core::world::{Address, BackEndId, Distance, Topology};
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

pub use self::connect::ConnectError;
pub use self::lease::{ConnectionLoss, Lease};
pub use self::limits::PoolLimits;
pub use self::liveness::BackEndLiveness;
pub use self::used::{ConnectionNumber, UsedConnections};
use crate::paths::BackEndPaths;
use crate::protocol::RequestBody;
use crate::tunnels::Tunnels;

/// The peer that a connection goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Detour {
    /// The peer.
    pub peer: Address,
    /// Identifies the tunnel in the logs of both nodes.
    pub tunnel: TunnelId,
    /// The secret that the tunnel was opened with.
    pub token: TunnelToken,
}

struct Connection {
    number: ConnectionNumber,
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
    opened_at: Instant,
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
    /// How many connections were opened.
    opened: Rc<Cell<u64>>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(limits: PoolLimits) -> Self {
        ConnectionPool {
            limits,
            topology: Rc::default(),
            paths: None,
            tunnels: None,
            connections: Rc::default(),
            opened: Rc::default(),
        }
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

    /// Takes an idle connection to `back_end` or opens a new one, and adds it to those that the request has `used`. A
    /// connection that the request has used before is not taken: an answer to its earlier send, such as a surplus one to
    /// its prefill, has the same request id and could stand for the answer to this one.
    ///
    /// # Errors
    /// When no connection can be established.
    pub async fn lease(&self, back_end: &BackEnd, used: &UsedConnections) -> Result<Lease, ConnectError> {
        let connection = match self.take_idle(back_end, used) {
            Some(connection) => connection,
            None => self.connect(back_end).await?,
        };
        used.add(connection.number);
        Ok(Lease::new(self.clone(), back_end.clone(), connection))
    }

    /// Opens a new connection to `back_end`.
    ///
    /// # Errors
    /// When it can't be established.
    pub(super) async fn lease_new(&self, back_end: &BackEnd) -> Result<Lease, ConnectError> {
        let connection = self.connect(back_end).await?;
        Ok(Lease::new(self.clone(), back_end.clone(), connection))
    }

    fn take_idle(&self, back_end: &BackEnd, used: &UsedConnections) -> Option<Connection> {
        let mut connections = self.connections.borrow_mut();
        let idle = &mut connections.get_mut(&back_end.id)?.idle;
        let now = Instant::now();
        while let Some(index) = idle.iter().rposition(|idle| !used.contains(idle.connection.number)) {
            let candidate = idle.remove(index);
            let is_open = candidate.expires_at > now && candidate.connection.sender.is_ready();
            if is_open && self.may_reuse(&candidate, back_end) {
                return Some(candidate.connection);
            }
            candidate.connection.task.abort();
        }
        None
    }

    /// The number of the next connection that is opened.
    fn next_number(&self) -> ConnectionNumber {
        self.opened.set(self.opened.get() + 1);
        ConnectionNumber(self.opened.get())
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
