//! The callers' API: OpenAI-style completions over HTTP.

mod directory;
mod handler;

pub use directory::CallerDirectory;
pub use handler::{AnswerSink, CallerLimits, CallerRequest, Readiness, RequestHandler};
