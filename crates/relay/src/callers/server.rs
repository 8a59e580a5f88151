//! Accepts and serves callers' connections, also during a planned stop.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use super::answer::RelayBody;
use super::caller_socket::{CallerSocket, CloseMode};
use super::connections::ConnectionRequest;
use super::handler::handle;
use super::traffic::Traffic;
use crate::back_ends::set_liveness;
use crate::machine::CONNECTION_BUFFER_BYTES;
use crate::protocol::Protocol;

/// The number of connections that may wait to be accepted. When many callers connect at once, a full queue delays them
/// by seconds.
const LISTEN_BACKLOG: u32 = 1_024;

/// How long a connection may be idle, and a request head may take, while there is no configuration.
const IDLE_TIME_LIMIT_DEFAULT: Duration = Duration::from_secs(15);

/// The pause after a failed accept, most likely because no file descriptor is free: other connections may close
/// meanwhile.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a caller may acknowledge nothing, neither data nor keep-alive probes: its request ends then as if it had hung
/// up.
const CALLER_SILENCE_TIME_LIMIT: Duration = Duration::from_secs(10);

/// How long a connection that was opened just before the listener closed may take to send its first request.
pub const LAST_CONNECTIONS_GRACE: Duration = Duration::from_millis(300);

/// The phase of the server, which changes in a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// Connections are accepted and kept open.
    Serving,
    /// No connections are accepted; open ones close after their current request.
    Closing,
}

/// A listening server.
pub struct CallerServer {
    listener: TcpListener,
}

impl CallerServer {
    /// Listens on `address`.
    ///
    /// # Errors
    /// If the address can't be listened on.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(CallerServer { listener: listen(address)? })
    }

    /// Serves until the phase is `Closing` and the listener's queue is empty. Connections continue as local tasks.
    pub async fn serve<P: Protocol>(self, traffic: Rc<Traffic<P>>, phase: watch::Receiver<ServerPhase>) {
        let mut phase_change = phase.clone();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => open_connection(&traffic, stream, phase.clone()),
                    Err(error) => {
                        log::warn!(event = "accept_failed", error:% = error; "");
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = phase_change.wait_for(|phase| *phase == ServerPhase::Closing) => break,
            }
        }
        while let Some(stream) = accept_queued(&self.listener).await {
            open_connection(&traffic, stream, phase.clone());
        }
    }
}

/// A listener whose queue is long enough for many callers at once.
///
/// # Errors
/// If the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// The next connection in the listener's queue; `None` if the queue is empty.
async fn accept_queued(listener: &TcpListener) -> Option<TcpStream> {
    tokio::select! {
        biased;
        accepted = listener.accept() => accepted.ok().map(|(stream, _)| stream),
        () = tokio::task::yield_now() => None,
    }
}

fn open_connection<P: Protocol>(traffic: &Rc<Traffic<P>>, stream: TcpStream, mut phase: watch::Receiver<ServerPhase>) {
    let Some(open) = traffic.connections.open() else {
        log::warn!(event = "connection_refused", connections = traffic.connections.count(); "");
        return;
    };
    let _ = stream.set_nodelay(true);
    set_liveness(&stream, CALLER_SILENCE_TIME_LIMIT);
    let progress = open.progress();
    let socket = CallerSocket::new(stream, open.progress());
    let close_mode = socket.close_mode();
    let service_traffic = Rc::clone(traffic);
    let service = service_fn(move |request| {
        let (traffic, close_mode) = (Rc::clone(&service_traffic), close_mode.clone());
        let connection_request = ConnectionRequest::begin(Rc::clone(&progress));
        async move { Ok::<_, Infallible>(answer(traffic, request, connection_request, close_mode).await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_time_limit(traffic))
        // Larger than the configuration allows: a head over the limit is answered with an error instead of a closed
        // connection.
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    tokio::task::spawn_local(async move {
        tokio::pin!(connection);
        let closing = async {
            let _ = phase.wait_for(|phase| *phase == ServerPhase::Closing).await;
            sleep(LAST_CONNECTIONS_GRACE).await;
        };
        tokio::select! {
            // Connection errors of the caller and of the back end are logged with the request.
            _ = connection.as_mut() => return,
            () = open.closed() => return,
            () = closing => connection.as_mut().graceful_shutdown(),
        }
        tokio::select! {
            _ = connection => {}
            () = open.closed() => {}
        }
    });
}

/// Answers one request. An answer that will end with its connection, as the caller knows no chunks, resets the connection
/// unless it is sent in full.
async fn answer<P: Protocol>(
    traffic: Rc<Traffic<P>>,
    request: Request<Incoming>,
    connection_request: ConnectionRequest,
    close_mode: CloseMode,
) -> Response<HandedOver> {
    let knows_chunks = request.version() >= Version::HTTP_11;
    let mut response = handle(traffic, request, &connection_request).await;
    if !knows_chunks && response.body().size_hint().exact().is_none() {
        response.body_mut().reset_unless_complete(close_mode);
    }
    response.map(|body| HandedOver { body, _request: connection_request })
}

/// The body of an answer, with its request, which ends when the body is handed over.
struct HandedOver {
    body: RelayBody,
    _request: ConnectionRequest,
}

impl Body for HandedOver {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn idle_time_limit<P>(traffic: &Traffic<P>) -> Duration {
    let knowledge = traffic.knowledge.load();
    let limits = knowledge.configuration.as_ref().map(|active| active.configuration.limits);
    limits.map_or(IDLE_TIME_LIMIT_DEFAULT, |limits| limits.idle_time_limit.max(limits.head_time_limit))
}
