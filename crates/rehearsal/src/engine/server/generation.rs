//! Requests for an answer or a prefill, and the streams that answer them.

use crossbeam::select;
use havengate_core::prompt::PromptProfile;
use havengate_core::request::{FinishReason, RequestId};
use havengate_node::engines::dialect::{GenerateLine, GenerateRequest, KvHandle, PrefillAnswer};
use havengate_node::http_server::header::{CONTENT_TYPE, HeaderValue};
use havengate_node::http_server::{HangUp, HeaderMap, HungUp, ResponseSender, StatusCode, StreamWriter};

use super::super::answer::{answer_length, expected_text};
use super::super::model::{EngineRefusalCode, ExportedKv, GenerateWork, ImportedKv, OutputEvent, WorkKind};
use super::handler::{EngineHandler, bad_request, ok, parse_request_id, refuse};
use super::process::EngineSubmission;

impl EngineHandler {
    /// Runs a request and answers it.
    pub(super) fn run(&self, body: &[u8], kind: WorkKind, response: ResponseSender) {
        let body: GenerateRequest = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(error) => return response.send(bad_request(&error.to_string())),
        };
        let Some(request) = parse_request_id(&body.request) else {
            return response.send(bad_request("not a request id"));
        };
        match self.submit(request, &body, kind) {
            Ok(submission) => {
                let hang_up = response.hang_up().clone();
                Run { handler: self, request, submission, hang_up }.answer(response);
            }
            Err(refusal) => response.send(refuse(refusal)),
        }
    }

    fn submit(
        &self,
        request: RequestId,
        body: &GenerateRequest,
        kind: WorkKind,
    ) -> Result<EngineSubmission, EngineRefusalCode> {
        if self.process.refuses_by_fault() {
            return Err(EngineRefusalCode::Full);
        }
        let mut work = work_of(request, body, kind);
        if let Some(handle) = &body.import {
            self.process.model.with_model(|model, now| model.check(&work, now))?;
            let kv = self.kv_client.claim(handle).ok_or(EngineRefusalCode::KvLost)?;
            work.import = Some(ImportedKv { tokens: kv.tokens });
        }
        self.process.submit(work)
    }

    fn kv_handle(&self, kv: ExportedKv) -> KvHandle {
        let engine = self.address.get().map(ToString::to_string).unwrap_or_default();
        KvHandle { engine, id: kv.id.0, tokens: kv.tokens }
    }
}

fn work_of(request: RequestId, body: &GenerateRequest, kind: WorkKind) -> GenerateWork {
    let prompt = PromptProfile::of(&body.prompt);
    GenerateWork {
        request,
        model: body.model.as_str().into(),
        kind,
        prompt_tokens: prompt.tokens.max(1),
        blocks: prompt.blocks,
        max_tokens: body.max_tokens,
        answer_tokens: answer_length(&body.prompt, body.max_tokens),
        priority: body.priority,
        resume_from: body.resume_from,
        import: body.import.as_ref().map(|handle| ImportedKv { tokens: handle.tokens }),
    }
}

/// One request that the model has taken.
struct Run<'handler> {
    handler: &'handler EngineHandler,
    request: RequestId,
    submission: EngineSubmission,
    hang_up: HangUp,
}

impl Run<'_> {
    /// Answers the request. The response begins with the first output after the start, so that a request which never
    /// started can still be refused. A response that is dropped tells the client that the request failed.
    fn answer(&self, response: ResponseSender) {
        match self.next_output() {
            Some(OutputEvent::Refused(refusal)) => response.send(refuse(refusal)),
            Some(OutputEvent::Started) => self.answer_started(response),
            _ => {}
        }
    }

    fn answer_started(&self, response: ResponseSender) {
        match self.next_output() {
            Some(OutputEvent::PrefillDone(kv)) => {
                let handle = self.handler.kv_handle(kv);
                response.send(ok(&PrefillAnswer { request: self.request.to_string(), handle }));
            }
            Some(first @ OutputEvent::Tokens { .. }) => {
                self.stream(response.stream(StatusCode::OK, stream_headers()), first);
            }
            _ => {}
        }
    }

    /// Streams the answer. A writer that is dropped before its end cuts the stream.
    fn stream(&self, writer: StreamWriter, first: OutputEvent) {
        let mut output = Some(first);
        while let Some(OutputEvent::Tokens { first_token, tokens, finish }) = output {
            let line = self.line(first_token, tokens, finish);
            if self.send_line(&writer, &line).is_err() {
                return self.give_up();
            }
            if finish.is_some() {
                // The client has the last line; whether it still reads the end of the body changes nothing.
                let _ = writer.finish();
                return;
            }
            output = self.next_output();
        }
    }

    fn line(&self, first_token: u32, tokens: u32, finish: Option<FinishReason>) -> GenerateLine {
        let text = expected_text(self.request, first_token, first_token + tokens);
        GenerateLine { request: self.request.to_string(), first_token, tokens, text, finish }
    }

    /// Sends a line, with the faults that strike it.
    fn send_line(&self, writer: &StreamWriter, line: &GenerateLine) -> Result<(), StreamEnded> {
        let faults = self.handler.process.faults_of_line();
        if faults.cut {
            return Err(StreamEnded);
        }
        if faults.foreign {
            writer.send(encode(&foreign_line(self.request, line)))?;
        }
        if faults.doubled {
            writer.send(encode(&GenerateLine { finish: None, ..line.clone() }))?;
        }
        Ok(writer.send(encode(line))?)
    }

    /// The next output; `None` when the engine has died or the client has hung up.
    fn next_output(&self) -> Option<OutputEvent> {
        let output = select! {
            recv(self.submission.events) -> output => output.ok(),
            recv(self.hang_up.over()) -> _ => {
                self.give_up();
                None
            }
        };
        self.handler.process.model.wait_while_paused();
        output
    }

    fn give_up(&self) {
        self.handler.process.hang_up(&self.submission);
    }
}

/// The stream is over before its end: the client has hung up, or a fault cuts it.
struct StreamEnded;

impl From<HungUp> for StreamEnded {
    fn from(_: HungUp) -> Self {
        StreamEnded
    }
}

/// A line as another request would get it.
fn foreign_line(request: RequestId, line: &GenerateLine) -> GenerateLine {
    let other = RequestId(!request.0);
    let text = expected_text(other, line.first_token, line.first_token + line.tokens);
    GenerateLine { request: other.to_string(), text, finish: None, ..line.clone() }
}

fn stream_headers() -> HeaderMap {
    HeaderMap::from_iter([(CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"))])
}

fn encode(line: &GenerateLine) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
