//! The platform model on a real socket, in the platform's dialect.

mod call;
mod handle;
mod handler;

pub use handle::{PlatformHandle, PlatformServer};
