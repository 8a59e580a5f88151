//! Listening, accepting, draining and closing.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use displaydoc::Display;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, watch};

use super::Handler;
use super::config::HttpServerConfig;
use super::connection;
use super::refusal::ServerRefusal;
use super::request::BodyLimits;
use super::workers::Workers;

/// Connections beyond the maximum that are being told so; yet more are closed at once.
const REFUSED_CONNECTIONS_MAXIMUM: usize = 64;

/// What the server does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Accepts them.
    Serving,
    /// Accepts no more; each response says that its connection closes after it.
    Closing,
    /// Closes idle ones at once and the others after their present response.
    Draining,
}

/// What all connections of a server share.
pub(super) struct ServerShared {
    pub(super) config: HttpServerConfig,
    pub(super) handler: Arc<dyn Handler>,
    pub(super) workers: Workers,
    pub(super) body_limits: BodyLimits,
    pub(super) lifecycle: watch::Sender<Lifecycle>,
    places: Arc<Semaphore>,
    refusal_places: Arc<Semaphore>,
    open: OpenConnections,
    failure: Arc<OnceLock<String>>,
}

/// Starts HTTP servers.
pub struct HttpServer;

impl HttpServer {
    /// Listens at `address` and serves requests with `handler` until the handle is closed or dropped.
    ///
    /// # Errors
    /// When the configuration is invalid, the address can't be listened at, or the threads can't be started.
    pub fn bind(
        address: SocketAddr,
        config: HttpServerConfig,
        handler: Arc<dyn Handler>,
    ) -> io::Result<HttpServerHandle> {
        config.validate().map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let local_address = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(config.io_threads)
            .thread_name(format!("{}-io", config.name))
            .enable_all()
            .build()?;
        let shared = Arc::new(ServerShared::new(config, handler));
        let (accepting, accept_ended) = crossbeam::channel::bounded(0);
        runtime.spawn(accept_all(listener, Arc::clone(&shared), accepting));
        Ok(HttpServerHandle { local_address, shared, accept_ended, runtime: Mutex::new(Some(runtime)) })
    }
}

impl ServerShared {
    fn new(config: HttpServerConfig, handler: Arc<dyn Handler>) -> Self {
        let body_limits = BodyLimits {
            maximum: config.body_maximum,
            timeout: config.body_timeout,
            total: Arc::new(Semaphore::new(config.bodies_total_maximum)),
        };
        ServerShared {
            workers: Workers::new(config.name, config.requests_maximum),
            body_limits,
            lifecycle: watch::Sender::new(Lifecycle::Serving),
            places: Arc::new(Semaphore::new(config.connections_maximum)),
            refusal_places: Arc::new(Semaphore::new(REFUSED_CONNECTIONS_MAXIMUM)),
            open: OpenConnections::default(),
            failure: Arc::default(),
            handler,
            config,
        }
    }

    fn advance(&self, to: Lifecycle) {
        self.lifecycle.send_replace(to);
    }
}

/// A running server. Dropping it closes the server.
pub struct HttpServerHandle {
    local_address: SocketAddr,
    shared: Arc<ServerShared>,
    accept_ended: crossbeam::channel::Receiver<std::convert::Infallible>,
    runtime: Mutex<Option<Runtime>>,
}

impl HttpServerHandle {
    /// Where the server listens.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Why the server has stopped accepting connections without being told to. A process that reads a reason here can
    /// no longer be reached and must report itself unhealthy, drain and exit.
    pub fn failure(&self) -> Option<&str> {
        self.shared.failure.get().map(String::as_str)
    }

    /// Tells what [`HttpServerHandle::failure`] does, wherever it is kept.
    pub fn failure_watch(&self) -> FailureWatch {
        FailureWatch(Arc::clone(&self.shared.failure))
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        *self.shared.open.lock()
    }

    /// Closes the listening socket. Connections stay open, and every response from now on tells its client not to use
    /// its connection again. Returns when all connections that the system had completed have been taken in.
    pub fn stop_accepting(&self) {
        self.shared.lifecycle.send_if_modified(|lifecycle| {
            let serving = *lifecycle == Lifecycle::Serving;
            *lifecycle = if serving { Lifecycle::Closing } else { *lifecycle };
            serving
        });
        // The channel carries no message: it disconnects when the accept loop has ended.
        let _ = self.accept_ended.recv();
    }

    /// Stops accepting and waits until the last byte of every response has been written to its socket and all
    /// connections are closed. Idle connections stay open for a grace before.
    ///
    /// # Errors
    /// When connections are still open after `limit`; they go on being served.
    pub fn drain(&self, limit: Duration) -> Result<(), DrainError> {
        let deadline = Instant::now() + limit;
        self.stop_accepting();
        let grace = self.shared.config.drain_idle_grace.min(limit);
        if self.shared.open.wait_until_none(Instant::now() + grace).is_ok() {
            return Ok(());
        }
        self.shared.advance(Lifecycle::Draining);
        self.shared.open.wait_until_none(deadline).map_err(|open| DrainError { open })
    }

    /// Drops all connections at once; their handlers see a hang-up.
    pub fn close(&self) {
        let runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
    }
}

impl Drop for HttpServerHandle {
    fn drop(&mut self) {
        self.close();
    }
}

/// Tells whether a server has stopped accepting connections without being told to. Cheap to clone.
#[derive(Clone, Debug)]
pub struct FailureWatch(Arc<OnceLock<String>>);

impl FailureWatch {
    /// Why the server has stopped accepting; none while it does, and after a planned stop.
    pub fn reason(&self) -> Option<&str> {
        self.0.get().map(String::as_str)
    }
}

/// {open} connections are still open at the end of the time for draining
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct DrainError {
    /// Connections that are still open.
    pub open: usize,
}

/// Counts open connections.
#[derive(Default)]
struct OpenConnections {
    count: Mutex<usize>,
    changed: Condvar,
}

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, usize> {
        self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_until_none(&self, deadline: Instant) -> Result<(), usize> {
        let mut open = self.lock();
        while *open > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(*open);
            }
            open = self.changed.wait_timeout(open, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        Ok(())
    }
}

/// A connection that counts as open until this is dropped.
struct CountedConnection(Arc<ServerShared>);

impl CountedConnection {
    fn new(shared: &Arc<ServerShared>) -> Self {
        *shared.open.lock() += 1;
        CountedConnection(Arc::clone(shared))
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        *self.0.open.lock() -= 1;
        self.0.open.changed.notify_all();
    }
}

async fn accept_all(
    listener: TcpListener,
    shared: Arc<ServerShared>,
    _accepting: crossbeam::channel::Sender<std::convert::Infallible>,
) {
    let mut lifecycle = shared.lifecycle.subscribe();
    let ended = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            let ended = tokio::select! {
                biased;
                _ = lifecycle.wait_for(|lifecycle| *lifecycle != Lifecycle::Serving) => Ok(()),
                error = accept_until_error(&listener, &shared) => Err(error),
            };
            ended.and_then(|()| accept_completed(listener, &shared))
        }
        Err(error) => Err(error),
    };
    if let Err(error) = ended {
        log::error!(server = shared.config.name, error:% = error; "accept_failed");
        let _ = shared.failure.set(error.to_string());
    }
}

async fn accept_until_error(listener: &tokio::net::TcpListener, shared: &Arc<ServerShared>) -> io::Error {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take_in(stream, shared),
            Err(error) if concerns_one_connection(&error) => {}
            Err(error) => return error,
        }
    }
}

/// Takes in the connections that the system has completed before the listening socket is closed.
fn accept_completed(listener: tokio::net::TcpListener, shared: &Arc<ServerShared>) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                take_in(TcpStream::from_std(stream)?, shared);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if concerns_one_connection(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Whether the connection to be accepted has failed, and not the listening socket.
fn concerns_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

fn take_in(stream: TcpStream, shared: &Arc<ServerShared>) {
    let _ = stream.set_nodelay(true);
    let counted = CountedConnection::new(shared);
    let shared = Arc::clone(shared);
    if let Ok(place) = Arc::clone(&shared.places).try_acquire_owned() {
        tokio::spawn(async move {
            connection::serve(stream, shared).await;
            drop((place, counted));
        });
        return;
    }
    let Ok(place) = Arc::clone(&shared.refusal_places).try_acquire_owned() else { return };
    tokio::spawn(async move {
        connection::refuse(stream, &shared, ServerRefusal::TooManyConnections).await;
        drop((place, counted));
    });
}
