//! The adapter to engines.

pub mod dialect;
