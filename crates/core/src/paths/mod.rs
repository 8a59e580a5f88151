//! A node's network paths to back ends.
//!
//! A node may lose its paths to all back ends of a service while other nodes still reach them. Back ends of one service
//! and stage form a [`PathGroup`]; [`Reachability`] decides from connection attempts whether the node has lost the paths
//! to a group.

mod group;
mod reachability;

pub use group::PathGroup;
pub use reachability::{PathChange, PathCheck, PathFailure, Reachability, ReachabilityConfig};
