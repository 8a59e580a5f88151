//! The calls of the platform's dialect.

use std::sync::Arc;

use crossbeam::select;
use havengate_core::store::StoreReply;
use havengate_core::time::Timestamp;
use havengate_node::http_server::{Handler, HangUp, Request, Response, ResponseSender, StatusCode};
use havengate_node::platform::dialect::WriteAnswer;

use super::super::model::{Availability, CallId, PlatformEvent, PlatformModel, PlatformRefusal};
use super::call::Call;
use crate::stand_in::{ModelOutput, ModelProcess, Submission, TimedModel};

impl TimedModel for PlatformModel {
    type Call = CallId;
    type Event = PlatformEvent;

    fn next_event(&self) -> Option<Timestamp> {
        PlatformModel::next_event(self)
    }

    fn work_until(&mut self, now: Timestamp) -> Vec<ModelOutput<CallId, PlatformEvent>> {
        let outputs = self.advance(now).into_iter();
        outputs.map(|output| ModelOutput { call: output.call, event: output.event, is_last: true }).collect()
    }
}

/// Answers the platform's dialect from a model.
pub(super) struct PlatformHandler {
    pub(super) process: Arc<ModelProcess<PlatformModel>>,
}

impl Handler for PlatformHandler {
    fn handle(&self, request: Request, response: ResponseSender) {
        self.process.wait_while_paused();
        let hang_up = response.hang_up().clone();
        let answer = match Call::parse(&request) {
            Ok(call) => self.answer(call, &hang_up),
            Err(error) => Some(Response::text(error.status(), error.to_string())),
        };
        self.process.wait_while_paused();
        if let Some(answer) = answer {
            response.send(answer);
        }
    }
}

impl PlatformHandler {
    /// The answer; `None` when the client hung up before it came.
    fn answer(&self, call: Call, hang_up: &HangUp) -> Option<Response> {
        let submission = match call {
            Call::Store(request) => self.process.submit(|model, now| model.submit(request, now)),
            Call::Watch(watch) => self.process.submit(|model, now| model.watch(watch, now)),
            Call::Machines => return self.machines(hang_up),
        };
        match submission {
            Ok(submission) => self.wait(&submission, hang_up).map(response_to),
            Err(refusal) => Some(refuse(refusal)),
        }
    }

    /// The event that answers a call. A call whose reply is lost waits here until its client gives up.
    fn wait(&self, submission: &Submission<CallId, PlatformEvent>, hang_up: &HangUp) -> Option<PlatformEvent> {
        select! {
            recv(submission.events) -> event => event.ok(),
            recv(hang_up.over()) -> _ => {
                self.process.withdraw(submission, |model, now| model.close_watch(submission.call, now));
                None
            }
        }
    }

    fn machines(&self, hang_up: &HangUp) -> Option<Response> {
        let is_silent = |model: &PlatformModel| model.faults().availability == Availability::Silent;
        if self.process.with_model(|model, _| is_silent(model)) {
            let _ = hang_up.over().recv();
            return None;
        }
        match self.process.with_model(PlatformModel::machines) {
            Ok(machines) => Some(Response::json(StatusCode::OK, &machines)),
            Err(refusal) => Some(refuse(refusal)),
        }
    }
}

fn response_to(event: PlatformEvent) -> Response {
    match event {
        PlatformEvent::Reply(StoreReply::Object(Some(object))) | PlatformEvent::Changed(object) => {
            Response::json(StatusCode::OK, &object)
        }
        PlatformEvent::Reply(StoreReply::Object(None)) => Response::text(StatusCode::NOT_FOUND, "no such object"),
        PlatformEvent::Reply(StoreReply::Written(revision)) => {
            Response::json(StatusCode::OK, &WriteAnswer { revision })
        }
        PlatformEvent::Reply(StoreReply::Conflict(current)) => Response::json(StatusCode::CONFLICT, &current),
        PlatformEvent::Unchanged => Response { status: StatusCode::NOT_MODIFIED, ..Response::default() },
        PlatformEvent::Reply(StoreReply::Unknown) | PlatformEvent::Dropped => refuse(PlatformRefusal::Down),
    }
}

fn refuse(refusal: PlatformRefusal) -> Response {
    let status = match refusal {
        PlatformRefusal::Down => StatusCode::SERVICE_UNAVAILABLE,
        PlatformRefusal::TooManyReaders => StatusCode::TOO_MANY_REQUESTS,
    };
    Response::text(status, refusal.to_string())
}
