//! A havengate node: sockets, threads and the adapters to callers, engines, platform and peers.

pub mod engines;
pub mod platform;
pub mod settings;
