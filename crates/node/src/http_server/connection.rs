//! One connection: from its first byte to the last byte of its last response.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use super::body::{ResponseBody, StreamBody};
use super::exchange::Exchange;
use super::hang_up::hang_up;
use super::monitor::{Monitor, MonitoredStream, Overdue, Phase};
use super::refusal::ServerRefusal;
use super::request::read_request;
use super::response::{Answer, Response, ResponseSender};
use super::server::{Lifecycle, ServerShared};

/// How often the limits of time are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a closed connection's input is still read and thrown away: closing a socket with unread input would
/// destroy the end of the response on its way to the client.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// hyper takes no smaller buffer.
const BUFFER_MINIMUM: usize = 8_192;
/// The most bytes that are thrown away.
const LINGER_BYTES: usize = 16 << 20;

type ServiceFuture = Pin<Box<dyn Future<Output = Result<hyper::Response<ResponseBody>, Infallible>> + Send>>;

/// Serves the requests of one connection until it ends.
pub(super) async fn serve(stream: TcpStream, shared: Arc<ServerShared>) {
    let monitor = Monitor::new();
    let io = TokioIo::new(MonitoredStream::new(stream, monitor.clone()));
    let service = {
        let (shared, monitor) = (Arc::clone(&shared), monitor.clone());
        service_fn(move |request| -> ServiceFuture { Box::pin(respond(request, Arc::clone(&shared), monitor.clone())) })
    };
    let mut connection = builder(&shared).serve_connection(io, service);
    let mut draining = Box::pin(drain_wanted(shared.lifecycle.subscribe(), monitor.clone()));
    let mut overdue = Box::pin(next_overdue(&monitor, &shared));
    let mut drained = false;
    let ended = loop {
        tokio::select! {
            result = poll_fn(|context| connection.poll_without_shutdown(context)) => break Ending::Closed(result),
            overdue = &mut overdue => break Ending::Overdue(overdue),
            () = &mut draining, if !drained => {
                Pin::new(&mut connection).graceful_shutdown();
                drained = true;
            }
        }
    };
    let parts = connection.into_parts();
    let stream = parts.io.into_inner().into_inner();
    let all_read = parts.read_buf.is_empty() && !monitor.input_left();
    match ended {
        Ending::Closed(Ok(())) if all_read => {}
        Ending::Closed(_) => linger(stream).await,
        Ending::Overdue(Overdue::Head) => refuse(stream, &shared, ServerRefusal::HeadTimeout).await,
        Ending::Overdue(Overdue::Idle | Overdue::Write) => {}
    }
}

/// Why a connection is at its end.
enum Ending {
    /// The client closed it, a limit of hyper's was broken, or its last response has been written.
    Closed(hyper::Result<()>),
    /// A limit of time was broken.
    Overdue(Overdue),
}

/// Gives a connection that can't be served a refusal, and closes it.
pub(super) async fn refuse(mut stream: TcpStream, shared: &ServerShared, refusal: ServerRefusal) {
    log::warn!(server = shared.config.name, reason = refusal.code(); "connection_refused");
    let response = shared.handler.refuse(refusal);
    let raw = raw_response(&response);
    if matches!(tokio::time::timeout(LINGER_TIMEOUT, stream.write_all(&raw)).await, Ok(Ok(()))) {
        linger(stream).await;
    }
}

fn raw_response(response: &Response) -> Vec<u8> {
    let mut raw = format!("HTTP/1.1 {}\r\n", response.status).into_bytes();
    for (name, value) in &response.headers {
        raw.extend_from_slice(name.as_str().as_bytes());
        raw.extend_from_slice(b": ");
        raw.extend_from_slice(value.as_bytes());
        raw.extend_from_slice(b"\r\n");
    }
    raw.extend_from_slice(format!("content-length: {}\r\nconnection: close\r\n\r\n", response.body.len()).as_bytes());
    raw.extend_from_slice(&response.body);
    raw
}

fn builder(shared: &ServerShared) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    builder.max_headers(shared.config.headers_maximum);
    builder.max_header_size(shared.config.head_maximum);
    builder.max_buf_size(shared.config.head_maximum.max(BUFFER_MINIMUM));
    builder
}

async fn next_overdue(monitor: &Monitor, shared: &ServerShared) -> Overdue {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        if let Some(overdue) = monitor.overdue(&shared.config) {
            return overdue;
        }
    }
}

/// Returns when the connection must end after its present exchange. While a head is coming in, the exchange that it
/// starts is waited for: its response says `Connection: close`, so nothing is cut off.
async fn drain_wanted(mut lifecycle: watch::Receiver<Lifecycle>, monitor: Monitor) {
    if lifecycle.wait_for(|lifecycle| *lifecycle == Lifecycle::Draining).await.is_err() {
        std::future::pending::<()>().await;
    }
    while monitor.phase() == Phase::Head {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let deadline = Instant::now() + LINGER_TIMEOUT;
    let mut thrown_away = 0;
    let mut buffer = vec![0; 16 << 10];
    while thrown_away < LINGER_BYTES {
        match timeout_at(deadline, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => thrown_away += count,
            _ => return,
        }
    }
}

async fn respond(
    request: hyper::Request<Incoming>,
    shared: Arc<ServerShared>,
    monitor: Monitor,
) -> Result<hyper::Response<ResponseBody>, Infallible> {
    let (trigger, hang_up) = hang_up();
    let exchange = Exchange::start(monitor.clone(), trigger);
    let answer = match handled(request, &shared, hang_up).await {
        Ok(answer) => answer,
        Err(refusal) => {
            log::warn!(server = shared.config.name, reason = refusal.code(); "request_refused");
            monitor.leave_input();
            Answer::Whole(shared.handler.refuse(refusal))
        }
    };
    let mut response = into_response(answer, exchange);
    if *shared.lifecycle.borrow() != Lifecycle::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn handled(
    request: hyper::Request<Incoming>,
    shared: &Arc<ServerShared>,
    hang_up: super::HangUp,
) -> Result<Answer, ServerRefusal> {
    let request = read_request(request, &shared.body_limits).await?;
    let (sender, answer) = oneshot::channel();
    let sender = ResponseSender::new(sender, hang_up, shared.config.stream_chunks_maximum);
    let handler = Arc::clone(&shared.handler);
    let started = shared.workers.run(move || handler.handle(request, sender));
    started.map_err(|_| ServerRefusal::TooManyRequests)?;
    answer.await.map_err(|_| ServerRefusal::HandlerFailed)
}

fn into_response(answer: Answer, mut exchange: Exchange) -> hyper::Response<ResponseBody> {
    let (status, headers, body) = match answer {
        Answer::Whole(response) => {
            exchange.complete();
            let bytes = Some(Bytes::from(response.body)).filter(|bytes| !bytes.is_empty());
            (response.status, response.headers, ResponseBody::Whole { bytes, _exchange: exchange })
        }
        Answer::Stream { status, headers, chunks } => {
            (status, headers, ResponseBody::Stream(StreamBody::new(chunks, exchange)))
        }
    };
    let mut response = hyper::Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
