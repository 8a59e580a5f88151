//! The control plane of one node: combines membership, configuration, and the authority over the pools that the node
//! may own.
//!
//! [`NodeControl`] is a state machine: the caller passes in received messages and the time, and performs the resulting
//! actions. The same code runs on a node's control thread and, in hundreds of instances, in simulations.

mod config;
mod message;
mod node_control;
mod pools;

pub use config::{ControlConfig, ControlConfigError};
pub use message::{ControlAction, ControlInput, ControlMessage, PoolChange, StoreCaller};
pub use node_control::{ControlStatus, NodeControl, NodeIdentity};
pub use pools::{LocalPool, link_latency};
