//! The control thread: it follows the store and the peers, and publishes what it knows.

mod follower;
mod learner;
mod peers;
mod thread;

pub use learner::Learner;
pub use peers::{PeerExchange, PeersError};
pub use thread::{ControlHandle, ControlSettings, spawn};
