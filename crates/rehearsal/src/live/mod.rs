//! A whole deployment on loopback in one process: nodes, stand-in engines and a stand-in platform.

mod bootstrap;
mod cluster;

pub use bootstrap::{BootstrapError, put_in_force};
pub use cluster::{Cluster, ClusterError};
