//! A havengate node: sockets, threads and the adapters to callers, engines, platform and peers.

pub mod admission;
pub mod callers;
pub mod clock;
pub mod control;
pub mod engines;
pub mod http_server;
pub mod logging;
pub mod machine_list;
pub mod metrics;
pub mod node;
pub mod operations;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod service;
pub mod settings;
pub mod signals;
pub mod traffic;
