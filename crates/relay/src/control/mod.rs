//! The control thread: follows the store and the peers, and publishes their state to the traffic thread.

mod announceable_updates;
mod block_keeper;
mod duties;
mod feed;
mod fetcher;
mod follower;
mod learner;
mod limit_exchange;
mod locations;
mod observed_eras;
mod peers;
mod reader_role;
mod stages;
mod thread;
pub(crate) mod transfer;
mod version_exchange;

pub use block_keeper::{BlockKeeperLink, BlockStoreLink, BlockUpdate, block_links};
pub use duties::{DutyLeaseSettings, DutySettings};
pub use learner::{Learner, Source};
pub use limit_exchange::LimitExchange;
pub use locations::{Locations, RejectedLocations};
pub use peers::PeerExchange;
pub use thread::{ControlHandle, ControlSettings, Platform, SharedWithTraffic, spawn};
pub use transfer::{
    IDLE_TIME_LIMIT, MESSAGE_TIME_LIMIT, PeersError, Progress, TransferTimeouts, read_message, write_message,
};
