//! Opens connections to back ends, directly or through a peer.

use std::io;

use havengate_core::back_ends::BackEnd;
use havengate_core::paths::PathFailure;
use havengate_core::world::Address;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::{Connection, ConnectionPool, Detour, OpenConnection};
use crate::back_ends::set_liveness;
use crate::protocol::RequestBody;
use crate::tunnels::{Tunnel, TunnelError};

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

impl ConnectionPool {
    pub(super) async fn connect(&self, back_end: &BackEnd) -> Result<Connection, ConnectError> {
        if let Some(tunnel) = self.open_tunnel(back_end).await? {
            return self.begin_tunnelled(back_end, tunnel).await;
        }
        match self.open_direct(back_end).await {
            Ok(stream) => self.begin_connection(back_end, stream, None).await,
            // The failure may have shown that the paths are lost.
            Err(error) => {
                let tunnel = self.open_tunnel(back_end).await?.ok_or(error)?;
                self.begin_tunnelled(back_end, tunnel).await
            }
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

    async fn begin_tunnelled(&self, back_end: &BackEnd, tunnel: Tunnel) -> Result<Connection, ConnectError> {
        let detour = Detour { peer: tunnel.peer, tunnel: tunnel.id, token: tunnel.token };
        self.begin_connection(back_end, tunnel.stream, Some(detour)).await
    }

    pub(super) async fn begin_connection(
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
        let (number, task) = (self.next_number(), task.abort_handle());
        Ok(Connection { number, sender, task, opened_at: Instant::now(), detour })
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
}
