//! The adapter to the platform.

pub mod dialect;
