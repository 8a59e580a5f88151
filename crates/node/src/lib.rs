//! A havengate node: sockets, threads and the adapters to callers, engines, platform and peers.

pub mod callers;
pub mod clock;
pub mod control;
pub mod engines;
pub mod http_server;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod settings;
pub mod traffic;
