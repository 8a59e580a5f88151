//! Watches one connection's socket: what it is waiting for, since when, and whether all written bytes have left.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::config::HttpServerConfig;

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The end of an exchange, from the end of its head to the last byte of its response.
    Exchange,
}

/// A limit of time that a connection has gone beyond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Overdue {
    /// The head did not come to its end in time.
    Head,
    /// No request came in time.
    Idle,
    /// The client was behind with reading for too long.
    Write,
}

/// The state of one connection, shared by its socket, its exchange and the loop that drives it.
#[derive(Clone, Debug)]
pub(super) struct Monitor(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Instant,
    behind_since: Option<Instant>,
    input_left: bool,
    flushes: u64,
    flush_waiter: Option<Waker>,
}

impl Monitor {
    pub(super) fn new() -> Self {
        Monitor(Arc::new(Mutex::new(State {
            phase: Phase::Idle,
            since: Instant::now(),
            behind_since: None,
            input_left: false,
            flushes: 0,
            flush_waiter: None,
        })))
    }

    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    pub(super) fn enter(&self, phase: Phase) {
        let mut state = self.lock();
        state.phase = phase;
        state.since = Instant::now();
    }

    /// The limit that the connection has gone beyond, if any.
    pub(super) fn overdue(&self, config: &HttpServerConfig) -> Option<Overdue> {
        let state = self.lock();
        if state.behind_since.is_some_and(|since| since.elapsed() > config.write_stall_timeout) {
            return Some(Overdue::Write);
        }
        match state.phase {
            Phase::Idle => (state.since.elapsed() > config.idle_timeout).then_some(Overdue::Idle),
            Phase::Head => (state.since.elapsed() > config.head_timeout).then_some(Overdue::Head),
            Phase::Exchange => None,
        }
    }

    /// Says that a request was refused before all of it was read.
    pub(super) fn leave_input(&self) {
        self.lock().input_left = true;
    }

    /// Whether a request was refused before all of it was read.
    pub(super) fn input_left(&self) -> bool {
        self.lock().input_left
    }

    /// How many times all bytes handed to the socket have been written.
    pub(super) fn flushes(&self) -> u64 {
        self.lock().flushes
    }

    /// Ready once all bytes that were handed to the socket since the count was `seen` have been written.
    pub(super) fn poll_flushed_since(&self, seen: u64, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if state.flushes > seen {
            return Poll::Ready(());
        }
        state.flush_waiter = Some(context.waker().clone());
        Poll::Pending
    }

    fn bytes_read(&self) {
        let mut state = self.lock();
        if state.phase == Phase::Idle {
            state.phase = Phase::Head;
            state.since = Instant::now();
        }
    }

    /// A client counts as behind until it has taken everything, so that reading a byte now and then doesn't help it.
    fn write_polled(&self, blocked: bool) {
        if blocked {
            self.lock().behind_since.get_or_insert_with(Instant::now);
        }
    }

    fn flushed(&self) {
        let waiter = {
            let mut state = self.lock();
            state.flushes += 1;
            state.behind_since = None;
            state.flush_waiter.take()
        };
        if let Some(waiter) = waiter {
            waiter.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A socket that reports to a [`Monitor`].
pub(super) struct MonitoredStream {
    stream: TcpStream,
    monitor: Monitor,
}

impl MonitoredStream {
    pub(super) fn new(stream: TcpStream, monitor: Monitor) -> Self {
        MonitoredStream { stream, monitor }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.monitor.bytes_read();
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.monitor.write_polled(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.monitor.write_polled(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if polled.is_ready() {
            self.monitor.flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
