//! The adapter to the platform: one trait, and its implementation for the platform's HTTP dialect.

mod api;
pub mod dialect;
mod http;
mod observed;

pub use api::PlatformApi;
pub use http::{HttpPlatformApi, PlatformTimeouts};
pub use observed::ObservedPlatform;
