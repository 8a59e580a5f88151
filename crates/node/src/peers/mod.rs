//! Connections between nodes: datagrams for membership, one-way connections for control, and connections that carry
//! one request at a time.

mod forward_client;
mod forward_server;
mod listener;

pub use forward_client::{ForwardClient, ForwardConnection, ForwardError, RevocationResult};
pub use forward_server::{ForwardService, serve_forward};
pub use listener::{ConnectionService, PeerListener};
