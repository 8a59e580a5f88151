//! Completion request bodies, in OpenAI's format.
//!
//! Unknown fields are rejected, as by OpenAI, so that a misspelt limit is not silently ignored. Sampling fields are
//! validated and then ignored, because the engines support none. Fields that would change the meaning or shape of the
//! answer are rejected.

use serde::Deserialize;
use serde::de::IgnoredAny;

use super::error::CallerError;
use super::handler::CallerLimits;

/// The two completion endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    /// `POST /v1/completions`.
    Text,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// A validated completion request body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompletionBody {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) output_tokens_maximum: u32,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// Whether a stream ends with a usage event.
    pub(super) include_usage: bool,
}

/// Request body as deserialized, with the fields of both endpoints.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBody {
    model: String,
    prompt: Option<RawPrompt>,
    messages: Option<Vec<RawMessage>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    stream_options: Option<RawStreamOptions>,
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
    stop: Option<IgnoredAny>,
    suffix: Option<IgnoredAny>,
    logprobs: Option<IgnoredAny>,
    top_logprobs: Option<IgnoredAny>,
    tools: Option<IgnoredAny>,
    tool_choice: Option<IgnoredAny>,
    response_format: Option<IgnoredAny>,
    #[serde(rename = "temperature")]
    _temperature: Option<f64>,
    #[serde(rename = "top_p")]
    _top_p: Option<f64>,
    #[serde(rename = "presence_penalty")]
    _presence_penalty: Option<f64>,
    #[serde(rename = "frequency_penalty")]
    _frequency_penalty: Option<f64>,
    #[serde(rename = "seed")]
    _seed: Option<i64>,
    #[serde(rename = "user")]
    _user: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawStreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "a string, or a list of one string")]
enum RawPrompt {
    One(String),
    List([String; 1]),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMessage {
    role: String,
    content: RawContent,
    #[serde(rename = "name")]
    _name: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "a string, or a list of text parts")]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum RawPart {
    Text { text: String },
}

impl CompletionBody {
    /// Parses and validates a request body.
    pub(super) fn read(kind: CompletionKind, body: &[u8], limits: &CallerLimits) -> Result<Self, CallerError> {
        let raw: RawBody = serde_json::from_slice(body)
            .map_err(|error| CallerError::invalid(format!("the body is not a valid request: {error}")))?;
        raw.reject_unsupported()?;
        let output_tokens_maximum = raw.output_tokens(limits)?;
        let prompt = prompt(kind, raw.prompt, raw.messages)?;
        Ok(CompletionBody {
            model: raw.model,
            prompt,
            output_tokens_maximum,
            stream: raw.stream,
            include_usage: raw.stream_options.is_some_and(|options| options.include_usage),
        })
    }
}

impl RawBody {
    fn reject_unsupported(&self) -> Result<(), CallerError> {
        let unsupported = [
            ("stop", self.stop.is_some()),
            ("suffix", self.suffix.is_some()),
            ("logprobs", self.logprobs.is_some()),
            ("top_logprobs", self.top_logprobs.is_some()),
            ("tools", self.tools.is_some()),
            ("tool_choice", self.tool_choice.is_some()),
            ("response_format", self.response_format.is_some()),
            ("echo", self.echo == Some(true)),
            ("n", self.n.is_some_and(|count| count != 1)),
            ("best_of", self.best_of.is_some_and(|count| count != 1)),
        ];
        match unsupported.into_iter().find(|(_, is_set)| *is_set) {
            Some((field, _)) => Err(CallerError::invalid(format!("field `{field}` is not supported with this value"))),
            None => Ok(()),
        }
    }

    fn output_tokens(&self, limits: &CallerLimits) -> Result<u32, CallerError> {
        let maximum = limits.output_tokens_maximum;
        let requested = self.max_completion_tokens.or(self.max_tokens);
        let tokens = requested.unwrap_or(limits.output_tokens_default);
        if tokens == 0 || tokens > maximum {
            return Err(CallerError::invalid(format!("max_tokens is {tokens}; allowed: 1 to {maximum}")));
        }
        Ok(tokens)
    }
}

fn prompt(
    kind: CompletionKind,
    prompt: Option<RawPrompt>,
    messages: Option<Vec<RawMessage>>,
) -> Result<String, CallerError> {
    let text = match (kind, prompt, messages) {
        (CompletionKind::Text, Some(RawPrompt::One(text) | RawPrompt::List([text])), None) => text,
        (CompletionKind::Chat, None, Some(messages)) => chat_prompt(messages),
        (CompletionKind::Text, ..) => return Err(CallerError::invalid("`prompt` is needed, and no `messages`")),
        (CompletionKind::Chat, ..) => return Err(CallerError::invalid("`messages` is needed, and no `prompt`")),
    };
    if text.trim().is_empty() {
        return Err(CallerError::invalid("the prompt is empty"));
    }
    Ok(text)
}

/// Builds the prompt of a chat: one `role: content` paragraph per message.
fn chat_prompt(messages: Vec<RawMessage>) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match message.content {
            RawContent::Text(text) => prompt.push_str(&text),
            RawContent::Parts(parts) => parts.iter().for_each(|RawPart::Text { text }| prompt.push_str(text)),
        }
        prompt.push_str("\n\n");
    }
    prompt
}
