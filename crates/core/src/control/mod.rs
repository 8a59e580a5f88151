//! The control of one node: membership, configuration, and the authority over the pools that it may own, joined.
//!
//! [`NodeControl`] is a state machine: the caller hands in what came from sockets and time, and carries out the actions.
//! The same code runs on a node's control thread and, hundreds of times over, in simulations.

mod config;
mod message;
mod node_control;
mod pools;

pub use config::{ControlConfig, ControlConfigError};
pub use message::{ControlAction, ControlInput, ControlMessage, PoolChange, StoreCaller};
pub use node_control::{ControlStatus, NodeControl, NodeIdentity};
pub use pools::{LocalPool, link_latency};
