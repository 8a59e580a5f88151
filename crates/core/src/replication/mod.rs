//! Replication of the store's content between nodes. A few nodes read the store and feed the others. Where that does not
//! suffice, nodes exchange digests of their versions and pull newer ones from each other.

mod configuration_update;
mod list_changes;
mod message;
mod peer_table;
mod peer_zones;
mod readers;

pub use configuration_update::{
    ConfigurationChanges, ConfigurationHistory, ConfigurationUpdate, InvalidUpdate, PackedUpdate,
};
pub use list_changes::{ListChanges, ListStep};
pub use message::{
    Digest, KnowledgeAges, LocationNotice, PeerAddresses, PeerMessage, Pull, PullAnswer, ReachNotice, StageNotice,
};
pub use peer_table::{PeerTable, PeerTableConfig};
pub use peer_zones::PeerZones;
pub use readers::{Readers, ReadersConfig};
