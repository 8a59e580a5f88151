//! How nodes that can't reach the store learn from those that can: digests of what each node has, and pulls of what is
//! newer.

mod message;
mod peer_table;

pub use message::{Digest, PeerAddresses, Pull, PullAnswer};
pub use peer_table::{PeerTable, PeerTableConfig};
