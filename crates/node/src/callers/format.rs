//! Answers in OpenAI's format.

use havengate_core::request::{FinishReason, RequestId};
use serde::Serialize;

use super::body::CompletionKind;

/// Last event of a stream whose answer is complete.
pub(super) const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Fields shared by all bodies and events of one answer.
#[derive(Clone, Debug)]
pub(super) struct AnswerFormat {
    kind: CompletionKind,
    id: String,
    model: String,
    /// Seconds since 1970 (Unix time).
    created: u64,
}

/// Estimated tokens of a prompt, and tokens of its answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl Usage {
    pub(super) fn new(prompt_tokens: u32, completion_tokens: u32) -> Self {
        Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens.saturating_add(completion_tokens) }
    }
}

#[derive(Serialize)]
struct Body<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: &'a [Choice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    logprobs: Option<()>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

impl AnswerFormat {
    pub(super) fn new(kind: CompletionKind, request: RequestId, model: &str, created: u64) -> Self {
        let prefix = match kind {
            CompletionKind::Text => "cmpl",
            CompletionKind::Chat => "chatcmpl",
        };
        AnswerFormat { kind, id: format!("{prefix}-{request}"), model: model.to_owned(), created }
    }

    /// Body of an answer that is not streamed.
    pub(super) fn complete_body(&self, text: &str, finish: Option<FinishReason>, usage: Usage) -> Vec<u8> {
        let message = Message { role: Some("assistant"), content: text };
        let (object, choice) = match self.kind {
            CompletionKind::Text => ("text_completion", Choice { text: Some(text), ..Choice::new(finish) }),
            CompletionKind::Chat => ("chat.completion", Choice { message: Some(message), ..Choice::new(finish) }),
        };
        self.json(object, &[choice], Some(usage))
    }

    /// Event for one piece of a streamed answer.
    pub(super) fn event(&self, text: &str, finish: Option<FinishReason>, first: bool) -> Vec<u8> {
        let delta = Message { role: first.then_some("assistant"), content: text };
        let choice = match self.kind {
            CompletionKind::Text => Choice { text: Some(text), ..Choice::new(finish) },
            CompletionKind::Chat => Choice { delta: Some(delta), ..Choice::new(finish) },
        };
        server_sent_event(&self.json(self.event_object(), &[choice], None))
    }

    /// Usage event, sent after the answer.
    pub(super) fn usage_event(&self, usage: Usage) -> Vec<u8> {
        server_sent_event(&self.json(self.event_object(), &[], Some(usage)))
    }

    fn event_object(&self) -> &'static str {
        match self.kind {
            CompletionKind::Text => "text_completion",
            CompletionKind::Chat => "chat.completion.chunk",
        }
    }

    fn json(&self, object: &'static str, choices: &[Choice<'_>], usage: Option<Usage>) -> Vec<u8> {
        let body = Body { id: &self.id, object, created: self.created, model: &self.model, choices, usage };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

impl Choice<'_> {
    fn new(finish_reason: Option<FinishReason>) -> Self {
        Choice { index: 0, text: None, message: None, delta: None, logprobs: None, finish_reason }
    }
}

fn server_sent_event(json: &[u8]) -> Vec<u8> {
    [b"data: ", json, b"\n\n"].concat()
}

/// The body of `GET /v1/models`.
#[derive(Serialize)]
pub(super) struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

impl<'a> ModelList<'a> {
    pub(super) fn new(names: impl Iterator<Item = &'a str>) -> Self {
        let entry = |id| ModelEntry { id, object: "model", created: 0, owned_by: "havengate" };
        ModelList { object: "list", data: names.map(entry).collect() }
    }
}
