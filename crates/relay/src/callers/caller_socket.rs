//! A caller's connection that ends by a reset until its answer is complete.
//!
//! An answer to a caller of HTTP/1.0 that has no known length ends with its connection. If such an answer is cut, the
//! connection has to end by a reset, also when the whole process is killed: the caller would take a clean end for the end
//! of the answer.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connections::ConnectionProgress;

/// A caller's connection.
pub struct CallerSocket {
    stream: Rc<RefCell<TcpStream>>,
    progress: Rc<ConnectionProgress>,
}

/// Decides how a caller's connection ends. Clones refer to the same connection.
#[derive(Clone)]
pub struct CloseMode {
    stream: Weak<RefCell<TcpStream>>,
}

impl CallerSocket {
    /// Wraps `stream`, whose progress is recorded.
    pub fn new(stream: TcpStream, progress: Rc<ConnectionProgress>) -> Self {
        CallerSocket { stream: Rc::new(RefCell::new(stream)), progress }
    }

    fn record<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.progress.record();
        }
        result
    }

    /// Decides how this connection ends.
    pub fn close_mode(&self) -> CloseMode {
        CloseMode { stream: Rc::downgrade(&self.stream) }
    }
}

impl CloseMode {
    /// From now on the connection ends by a reset, whatever ends it.
    pub fn reset(&self) {
        self.set_linger(Some(Duration::ZERO));
    }

    /// From now on the connection ends in order, after all bytes are sent.
    pub fn in_order(&self) {
        self.set_linger(None);
    }

    fn set_linger(&self, linger: Option<Duration>) {
        let Some(stream) = self.stream.upgrade() else {
            return;
        };
        if let Err(error) = SockRef::from(&*stream.borrow()).set_linger(linger) {
            log::warn!(event = "close_mode_not_set", error:% = error; "");
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer);
        self.record(result)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes);
        self.record(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, buffers);
        self.record(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The server flushes the connection only once it has written all bytes.
        self.progress.record_written();
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
