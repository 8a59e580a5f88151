//! An answer's body that is streamed to the caller.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use super::caller_socket::CloseMode;
use super::record::{RequestOutcome, RequestRecord};
use crate::back_ends::{AnswerBody, Lease};
use crate::broken_runs::Run;

/// The body of a streamed answer, with the lease of the back end's connection that it arrives on.
///
/// An answer that the back end interrupts, or that is incomplete at the route's time limit, ends with an error: the
/// server then closes the caller's connection without the end marker of a complete answer. When a caller hangs up, the
/// body is dropped, which closes the back end's connection.
pub struct StreamBody {
    first: Option<Bytes>,
    body: AnswerBody,
    lease: Option<Lease>,
    time_limit: Pin<Box<Sleep>>,
    record: RequestRecord,
    run: Run,
    /// Set for an answer that ends with the caller's connection.
    close_mode: Option<CloseMode>,
}

impl StreamBody {
    /// A body whose first piece is read already.
    pub fn new(
        first: Option<Bytes>,
        body: AnswerBody,
        lease: Lease,
        time_limit: Pin<Box<Sleep>>,
        record: RequestRecord,
        run: Run,
    ) -> Self {
        let mut stream = StreamBody { first, body, lease: Some(lease), time_limit, record, run, close_mode: None };
        if stream.body.is_read() {
            stream.complete();
        }
        stream
    }

    /// Lets the caller's connection end by a reset until the answer is complete.
    pub fn reset_unless_complete(&mut self, close_mode: CloseMode) {
        close_mode.reset();
        self.close_mode = Some(close_mode);
    }

    fn complete(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.give_back_after(self.body.framing());
        }
        if let Some(close_mode) = &self.close_mode {
            close_mode.in_order();
        }
        self.run.completed();
        self.record.record_end(&self.body);
        self.record.finish(RequestOutcome::Completed, "");
    }

    fn interrupt(&mut self, cause: &'static str) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.record.record_end(&self.body);
        self.lease = None;
        self.record.finish(RequestOutcome::Interrupted, cause);
        Poll::Ready(Some(Err(io::Error::other(cause))))
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let body = self.get_mut();
        if let Some(first) = body.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if body.lease.is_none() {
            return Poll::Ready(None);
        }
        match body.body.poll_piece(context) {
            Poll::Ready(Ok(Some(piece))) => {
                body.record.record_piece();
                if body.body.is_read() {
                    body.complete();
                }
                return Poll::Ready(Some(Ok(Frame::data(piece))));
            }
            Poll::Ready(Ok(None)) => {
                body.complete();
                return Poll::Ready(None);
            }
            Poll::Ready(Err(error)) => {
                if error.suggests_termination() {
                    body.run.record_interruption();
                }
                body.record.record_back_end_failure();
                return body.interrupt(error.code());
            }
            Poll::Pending => {}
        }
        match body.time_limit.as_mut().poll(context) {
            Poll::Ready(()) => body.interrupt("time_limit"),
            Poll::Pending => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = self.body.size_hint();
        if let (Some(first), Some(exact)) = (&self.first, hint.exact()) {
            hint.set_exact(exact + first.len() as u64);
        }
        hint
    }
}
