//! The adapter to the platform: one trait, and its implementation for the platform's HTTP dialect.

mod api;
pub mod dialect;
mod http;

pub use api::PlatformApi;
pub use http::{HttpPlatformApi, PlatformTimeouts};
