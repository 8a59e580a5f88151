//! Passes the answer of a back end on to the caller: buffered, or as it arrives.

use bytes::Bytes;
use havengate_core::back_ends::BackEnd;
use havengate_core::relay::SendOutcome;
use http_body_util::Full;
use hyper::http::response::Parts;
use hyper::{Response, Version};
use tokio::time::{sleep_until, timeout_at};

use super::answer::RelayBody;
use super::exchange_driver::{Attempt, Driver};
use super::record::RequestOutcome;
use super::resumption::{SentRequest, record_origin};
use super::send_step::{CompleteAnswer, ReadAnswer, read_answer};
use super::stream_body::StreamBody;
use crate::back_ends::AnswerInProgress;
use crate::protocol::Protocol;

impl<P: Protocol> Driver<'_, P> {
    /// Reads the failure of a back end in full; `None` if it is interrupted or too large.
    pub(super) async fn buffer_answer(
        &mut self,
        back_end: &BackEnd,
        answer: AnswerInProgress,
    ) -> Option<Response<RelayBody>> {
        match read_answer(self.traffic, back_end, answer, self.ends_at, self.record.as_mut()).await? {
            ReadAnswer::Complete(answer) => Some(buffered_response(answer)),
            ReadAnswer::Beginning(..) => None,
        }
    }

    /// Reads the full answer before its head is passed on, so that the caller receives no part of an interrupted answer;
    /// one that can't be buffered is passed on as it arrives.
    pub(super) async fn buffer_or_stream_answer(
        &mut self,
        back_end: &BackEnd,
        answer: AnswerInProgress,
    ) -> Option<Response<RelayBody>> {
        match read_answer(self.traffic, back_end, answer, self.ends_at, self.record.as_mut()).await? {
            ReadAnswer::Complete(answer) => {
                answer.record_success(self.traffic, back_end);
                self.finish(RequestOutcome::Completed, "");
                Some(buffered_response(answer))
            }
            ReadAnswer::Beginning(beginning, answer) => {
                self.traffic.loads.succeeded(&back_end.id);
                self.traffic.peer_notices.record_answer(&back_end.id);
                self.pass_on(Some(beginning), *answer)
            }
        }
    }

    /// Waits for the first piece of a stream, then streams the rest to the caller.
    pub(super) async fn stream_answer(
        &mut self,
        back_end: &BackEnd,
        sent: SentRequest,
        answer: AnswerInProgress,
    ) -> Attempt {
        let mut answer = answer;
        let first = match timeout_at(self.ends_at.into(), answer.body.piece()).await {
            Err(_) => return Attempt::TimedOut,
            Ok(Err(error)) => {
                if error.suggests_termination() {
                    answer.run.record_interruption();
                }
                self.traffic.loads.failed(&back_end.id, self.traffic.clock.now());
                return Attempt::Ended(SendOutcome::Lost, None);
            }
            Ok(Ok(first)) => first,
        };
        self.traffic.loads.succeeded(&back_end.id);
        self.traffic.peer_notices.record_answer(&back_end.id);
        self.record_run(self.traffic.clock.now());
        if first.is_some() {
            record_origin(self.traffic, &self.request, &back_end.id, sent).await;
        }
        match self.pass_on(first, answer) {
            Some(response) => Attempt::Answered(response),
            None => Attempt::Ended(SendOutcome::Lost, None),
        }
    }

    /// Passes on an answer that begins with `first` as the rest of it arrives.
    fn pass_on(&mut self, first: Option<Bytes>, answer: AnswerInProgress) -> Option<Response<RelayBody>> {
        let AnswerInProgress { parts, body, lease, in_flight, run, .. } = answer;
        let mut record = self.record.take()?;
        record.first_piece = Some(self.traffic.clock.now());
        record.in_flight = Some(in_flight);
        let time_limit = Box::pin(sleep_until(self.ends_at.into()));
        let body = StreamBody::new(first, body, lease, time_limit, record, run);
        Some(caller_response(parts, RelayBody::Stream(Box::new(body))))
    }
}

/// The response with an answer that was read in full.
fn buffered_response(answer: CompleteAnswer) -> Response<RelayBody> {
    caller_response(answer.parts, RelayBody::Buffered(Full::new(answer.body)))
}

/// The response to the caller. Its version is that of the node: after a back end's HTTP/1.0, the caller's answer would have
/// no chunks, and would end with the connection.
fn caller_response(mut parts: Parts, body: RelayBody) -> Response<RelayBody> {
    parts.version = Version::HTTP_11;
    Response::from_parts(parts, body)
}
