//! The body of a response: whole, or a stream of chunks that comes from a handler's thread.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::sync::mpsc;

use super::exchange::Exchange;

/// What a [`super::StreamWriter`] sends to its response's body.
pub(super) enum StreamChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of a whole body. A stream that ends without it was aborted.
    Finish,
}

/// A response's body, with the exchange that it ends.
pub(super) enum ResponseBody {
    Whole { bytes: Option<Bytes>, _exchange: Exchange },
    Stream(StreamBody),
}

/// A body whose chunks come over a channel. While the channel is empty it is pending, which makes hyper flush.
pub(super) struct StreamBody {
    chunks: mpsc::Receiver<StreamChunk>,
    exchange: Exchange,
    /// The socket's count of flushes when the last chunk was handed to hyper.
    flushes: u64,
}

impl StreamBody {
    pub(super) fn new(chunks: mpsc::Receiver<StreamChunk>, exchange: Exchange) -> Self {
        let flushes = exchange.monitor().flushes();
        StreamBody { chunks, exchange, flushes }
    }

    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match ready!(self.chunks.poll_recv(context)) {
            Some(StreamChunk::Data(bytes)) => {
                self.flushes = self.exchange.monitor().flushes();
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Some(StreamChunk::Finish) => {
                self.exchange.complete();
                Poll::Ready(None)
            }
            None => self.poll_abort(context),
        }
    }

    /// Fails the body, so that its last chunk never comes and the client sees the cut; but only once the chunks before
    /// have been written, because hyper throws away what is still in its buffer.
    fn poll_abort(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        ready!(self.exchange.monitor().poll_flushed_since(self.flushes, context));
        self.exchange.complete();
        Poll::Ready(Some(Err(io::Error::other("the answer was cut"))))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            ResponseBody::Whole { bytes, .. } => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseBody::Stream(stream) => stream.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole { bytes: None, .. })
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole { bytes, .. } => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
