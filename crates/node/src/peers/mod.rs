//! Connections between nodes: datagrams for membership, one-way connections for control, and connections that carry
//! one request at a time.

mod control_link;
mod datagrams;
mod forward_client;
mod forward_server;
mod link;
mod listener;
mod open_streams;

pub use control_link::{ControlLink, receive_control};
pub use datagrams::DatagramLink;
pub use forward_client::{ForwardClient, ForwardConnection, ForwardError};
pub use forward_server::{ForwardService, serve_forward};
pub use link::{LinkCounters, LinkCounts, LinkGate, OpenGate};
pub use listener::{ConnectionService, PeerListener};
