//! Connections to back ends, kept for the next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use havengate_core::back_ends::BackEnd;
use havengate_core::world::BackEndId;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::protocol::RequestBody;

/// Limits of the pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// The longest that a connection may take to come up. A live back end takes a few milliseconds; one without power
    /// never answers.
    pub connect_time_limit: Duration,
    /// How long bytes may stay without the word that they have arrived. A back end without power says nothing, and a
    /// request on a kept connection would wait for it until its deadline. A lost packet is sent again well before.
    pub unacknowledged_time_limit: Duration,
    /// How long a connection may rest before its next request when the back end doesn't say.
    pub rest_default: Duration,
    /// The share of the time that the back end allows, for which a connection may rest: a request that crosses the back
    /// end's close is lost.
    pub rest_share: f64,
    /// The largest head of an answer, in bytes.
    pub head_maximum_bytes: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            connect_time_limit: Duration::from_millis(300),
            unacknowledged_time_limit: Duration::from_millis(700),
            rest_default: Duration::from_secs(1),
            rest_share: 0.6,
            head_maximum_bytes: 16 * 1024,
        }
    }
}

/// Why no connection came up.
#[derive(Clone, Debug, displaydoc::Display, thiserror::Error)]
pub enum ConnectError {
    /// the connection did not come up in time
    TimedOut,
    /// the connection was refused: {0}
    Refused(String),
    /// the connection failed: {0}
    Failed(String),
}

impl ConnectError {
    /// What a failure to connect proves: a refusal comes from a live machine on which nothing listens any more.
    fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => ConnectError::Refused(error.to_string()),
            _ => ConnectError::Failed(error.to_string()),
        }
    }
}

struct Connection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
}

struct Resting {
    connection: Connection,
    until: Instant,
}

#[derive(Default)]
struct BackEndConnections {
    open: u32,
    resting: Vec<Resting>,
}

/// Connections to all back ends. Copies share them.
#[derive(Clone)]
pub struct ConnectionPool {
    limits: PoolLimits,
    connections: Rc<RefCell<HashMap<BackEndId, BackEndConnections>>>,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(limits: PoolLimits) -> Self {
        ConnectionPool { limits, connections: Rc::default() }
    }

    /// Connections that are open to `id`.
    pub fn open(&self, id: &BackEndId) -> u32 {
        self.connections.borrow().get(id).map_or(0, |connections| connections.open)
    }

    /// Connections that are open to all back ends.
    pub fn open_total(&self) -> u32 {
        self.connections.borrow().values().map(|connections| connections.open).sum()
    }

    /// Connections that rest, ready for a request to `id`.
    pub fn idle(&self, id: &BackEndId) -> usize {
        self.connections.borrow().get(id).map_or(0, |connections| connections.resting.len())
    }

    /// A connection to `back_end`: a resting one or a new one.
    ///
    /// # Errors
    /// When no connection comes up.
    pub async fn lease(&self, back_end: &BackEnd) -> Result<Lease, ConnectError> {
        let connection = match self.take_resting(&back_end.id) {
            Some(connection) => connection,
            None => self.connect(back_end).await?,
        };
        let pool = self.clone();
        Ok(Lease { connection: Some(connection), pool, id: back_end.id.clone(), rest: self.limits.rest_default })
    }

    /// Opens a new connection to `back_end` to see whether it still listens, and keeps it for the next request.
    ///
    /// # Errors
    /// When no connection comes up.
    pub async fn check(&self, back_end: &BackEnd) -> Result<(), ConnectError> {
        let connection = self.connect(back_end).await?;
        self.put_back(&back_end.id, connection, self.limits.rest_default);
        Ok(())
    }

    fn take_resting(&self, id: &BackEndId) -> Option<Connection> {
        let mut connections = self.connections.borrow_mut();
        let resting = &mut connections.get_mut(id)?.resting;
        let now = Instant::now();
        while let Some(Resting { connection, until }) = resting.pop() {
            if until > now && connection.sender.is_ready() {
                return Some(connection);
            }
            connection.task.abort();
        }
        None
    }

    async fn connect(&self, back_end: &BackEnd) -> Result<Connection, ConnectError> {
        let opening = OpenConnection::new(self.clone(), back_end.id.clone());
        let connecting = TcpStream::connect(back_end.address.0);
        let stream = match timeout(self.limits.connect_time_limit, connecting).await {
            Err(_) => return Err(ConnectError::TimedOut),
            Ok(Err(error)) => return Err(ConnectError::of(&error)),
            Ok(Ok(stream)) => stream,
        };
        // Events of a stream are small and must not wait for each other.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(self.limits.unacknowledged_time_limit));
        let handshake = Builder::new()
            .max_buf_size(self.limits.head_maximum_bytes)
            .handshake::<_, RequestBody>(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| ConnectError::Failed(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            let _open = opening;
            // The request that the connection carries is told of its failure; an idle one may end as it likes.
            let _ = connection.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }

    fn put_back(&self, id: &BackEndId, connection: Connection, rest: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        let mut connections = self.connections.borrow_mut();
        let resting = &mut connections.entry(id.clone()).or_default().resting;
        resting.push(Resting { connection, until: Instant::now() + rest });
    }

    /// Closes connections that have rested too long, and forgets back ends without any.
    pub fn tidy(&self) {
        let now = Instant::now();
        self.connections.borrow_mut().retain(|_, connections| {
            connections.resting.retain(|resting| {
                let keep = resting.until > now && !resting.connection.sender.is_closed();
                if !keep {
                    resting.connection.task.abort();
                }
                keep
            });
            connections.open > 0 || !connections.resting.is_empty()
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

/// A connection that carries one request. Unless it is given back after a whole answer, dropping it closes the
/// connection at once, so that the back end stops working for nobody.
pub struct Lease {
    connection: Option<Connection>,
    pool: ConnectionPool,
    id: BackEndId,
    rest: Duration,
}

impl Lease {
    /// Where the request is handed to the connection.
    pub fn sender(&mut self) -> Option<&mut SendRequest<RequestBody>> {
        self.connection.as_mut().map(|connection| &mut connection.sender)
    }

    /// Takes the back end's word on how long the connection may rest, in whole seconds.
    pub fn allow_rest(&mut self, seconds: u64) {
        self.rest = Duration::from_secs(seconds).mul_f64(self.pool.limits.rest_share);
    }

    /// Keeps the connection for the next request: the answer was read to its end.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(&self.id, connection, self.rest);
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
