//! The callers' API: OpenAI-style completions over HTTP.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/models` | the models |
//! | `POST /v1/completions` | a completion of `prompt`, one body or (`stream: true`) as server-sent events |
//! | `POST /v1/chat/completions` | the same for `messages` |
//!
//! A refusal is a JSON error with a stable code; the body and the header `X-Havengate-Verdict` say whether the request
//! may have run. An interrupted stream ends with an `error` event and an unterminated body, never with `[DONE]`.

mod api;
mod assembly;
mod body;
mod check;
mod delivery;
mod directory;
mod error;
mod format;
mod handler;
mod headers;
mod record;

pub use api::CallerApi;
pub use assembly::{AnswerAssembly, PieceFault};
pub use directory::CallerDirectory;
pub use handler::{AnswerSink, CallerLimits, CallerRequest, Readiness, RequestHandler};
