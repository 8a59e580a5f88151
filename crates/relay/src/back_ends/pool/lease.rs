//! A connection that carries one request.

use std::time::Duration;

use havengate_core::answer_end::Framing;
use havengate_core::back_ends::BackEnd;
use hyper::client::conn::http1::SendRequest;

use super::{Connection, ConnectionPool, Detour};
use crate::protocol::RequestBody;

/// Why nothing will arrive over a connection any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// The node has lost its paths.
    Paths,
    /// The back end can't be connected to.
    BackEnd,
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
    /// A lease of a connection of `pool` to `back_end`.
    pub(super) fn new(pool: ConnectionPool, back_end: BackEnd, connection: Connection) -> Self {
        let idle_time = pool.limits.idle_time_default;
        Lease { connection: Some(connection), pool, back_end, idle_time }
    }

    /// The sender for the request on this connection.
    pub fn sender(&mut self) -> Option<&mut SendRequest<RequestBody>> {
        self.connection.as_mut().map(|connection| &mut connection.sender)
    }

    /// The peer that the connection goes through; `None` for a direct one.
    pub fn detour(&self) -> Option<Detour> {
        self.connection.as_ref().and_then(|connection| connection.detour)
    }

    /// Waits until nothing will arrive over this connection any more, by evidence that is available before the operating
    /// system's time limit; never returns for a connection through a peer.
    pub async fn loss(&self) -> ConnectionLoss {
        match (&self.pool.paths, self.detour()) {
            (Some(paths), None) => tokio::select! {
                () = paths.wait_for_silent_loss(&self.back_end) => ConnectionLoss::Paths,
                () = self.pool.wait_until_gone(&self.back_end) => ConnectionLoss::BackEnd,
            },
            _ => std::future::pending().await,
        }
    }

    /// Sets the idle time from the time for which the back end keeps an idle connection.
    pub fn apply_keep_alive(&mut self, time: Duration) {
        self.idle_time = time.mul_f64(self.pool.limits.keep_alive_share);
    }

    /// Returns the connection to the pool, once an answer with this framing has been read to its end.
    pub fn give_back_after(self, framing: Framing) {
        if framing != Framing::Connection {
            self.give_back();
        }
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
