//! The adapter to engines: one trait, and its implementation for the engines' HTTP dialect.

mod api;
pub mod dialect;
mod http;

pub use api::{EngineApi, EngineCallError, GenerateStream, StreamError};
pub use http::{EngineTimeouts, HttpEngineApi};
